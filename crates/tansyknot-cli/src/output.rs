//! Output of results as a table or as JSON.

use comfy_table::{Table, presets};
use miette::IntoDiagnostic;
use serde::Serialize;

use crate::args::Output;

/// Prints `doc` as JSON, or `rows` under `header` as a table.
///
/// # Errors
///
/// Fails if `doc` can't be serialized.
pub(crate) fn print<T: Serialize>(
    output: Output,
    doc: &T,
    header: &[&str],
    rows: impl IntoIterator<Item = Vec<String>>,
) -> miette::Result<()> {
    match output {
        Output::Json => {
            println!("{}", serde_json::to_string_pretty(doc).into_diagnostic()?);
        }
        Output::Table => {
            let mut table = Table::new();
            table.load_preset(presets::NOTHING).set_header(header);
            for row in rows {
                table.add_row(row);
            }
            println!("{table}");
        }
    }
    Ok(())
}
