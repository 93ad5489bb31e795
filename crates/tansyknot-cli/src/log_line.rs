//! Parsing of daemons' log lines from files.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use jiff::Timestamp;
use miette::{IntoDiagnostic, WrapErr};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The name of the field with the number of the event.
const EVENT_FIELD: &str = "event";

/// A log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// The time of the line by its daemon's clock.
    pub(crate) at: Timestamp,
    /// The daemon, or the name of the file if the line does not name the daemon.
    pub(crate) daemon: String,
    /// The number of the event, or 0 if the line has none.
    pub(crate) event: u16,
    /// The message.
    pub(crate) message: String,
    /// The fields except for the number of the event.
    pub(crate) fields: BTreeMap<String, String>,
}

impl Line {
    /// Returns the value of a field, or an empty string if the line does not have the field.
    pub(crate) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns the fields that are not empty as one string.
    pub(crate) fn fields_text(&self) -> String {
        let non_empty = self.fields.iter().filter(|(_, value)| !value.is_empty());
        non_empty.map(|(name, value)| format!("{name}={value}")).collect::<Vec<_>>().join(" ")
    }
}

/// A log line as the daemons write it.
#[derive(Deserialize)]
struct LineDoc {
    timestamp: Timestamp,
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, Value>,
    #[serde(default)]
    diags: BTreeMap<String, Value>,
}

/// Reads the lines of all files and sorts them by time. Lines that are not log lines are skipped.
///
/// # Errors
///
/// Fails if a file can't be read.
pub(crate) fn read(files: &[PathBuf]) -> miette::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read_to_string(file)
            .into_diagnostic()
            .wrap_err_with(|| format!("{} can't be read", file.display()))?;
        let name = file_stem(file);
        lines.extend(text.lines().filter_map(|line| parse(line, &name)));
    }
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}

fn file_stem(file: &Path) -> String {
    file.file_stem().map_or_else(String::new, |stem| stem.to_string_lossy().into_owned())
}

/// Parses a line. Log collectors may put a prefix before the JSON document.
fn parse(line: &str, file: &str) -> Option<Line> {
    let doc: LineDoc = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    let mut fields: BTreeMap<String, String> =
        doc.kvs.iter().map(|(name, value)| (name.clone(), to_plain_text(value))).collect();
    let event = fields.remove(EVENT_FIELD).and_then(|number| number.parse().ok()).unwrap_or(0);
    let daemon = doc.diags.get("daemon").map_or_else(|| file.to_owned(), to_plain_text);
    Some(Line { at: doc.timestamp, daemon, event, message: doc.message, fields })
}

fn to_plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), ToOwned::to_owned)
}
