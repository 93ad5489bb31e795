//! The log lines of daemons, read from files that collect their standard output.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use jiff::Timestamp;
use miette::{IntoDiagnostic, WrapErr};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The field that holds an event's number.
const EVENT: &str = "event";

/// One log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// When it was written, by its daemon's clock.
    pub(crate) at: Timestamp,
    /// The daemon; the name of the file if the line does not say.
    pub(crate) daemon: String,
    /// The number of the event; 0 for lines without one.
    pub(crate) event: u16,
    /// What it says.
    pub(crate) message: String,
    /// Its fields but the number.
    pub(crate) fields: BTreeMap<String, String>,
}

impl Line {
    /// Returns a field; an empty text if the line does not have it.
    pub(crate) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns the fields as one text.
    pub(crate) fn text(&self) -> String {
        let all = self.fields.iter().filter(|(_, value)| !value.is_empty());
        all.map(|(name, value)| format!("{name}={value}")).collect::<Vec<_>>().join(" ")
    }
}

/// A line as it is written.
#[derive(Deserialize)]
struct LineDoc {
    timestamp: Timestamp,
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, Value>,
    #[serde(default)]
    diags: BTreeMap<String, Value>,
}

/// Reads the lines of all files in the order of their time. What is not a log line is passed over.
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
        let name = stem(file);
        lines.extend(text.lines().filter_map(|line| parse(line, &name)));
    }
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}

fn stem(file: &Path) -> String {
    file.file_stem().map_or_else(String::new, |stem| stem.to_string_lossy().into_owned())
}

/// Parses a line; a collector may have put something before the JSON document.
fn parse(line: &str, file: &str) -> Option<Line> {
    let doc: LineDoc = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    let mut fields: BTreeMap<String, String> =
        doc.kvs.iter().map(|(name, value)| (name.clone(), plain(value))).collect();
    let event = fields.remove(EVENT).and_then(|number| number.parse().ok()).unwrap_or(0);
    let daemon = doc.diags.get("daemon").map_or_else(|| file.to_owned(), plain);
    Some(Line { at: doc.timestamp, daemon, event, message: doc.message, fields })
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), ToOwned::to_owned)
}
