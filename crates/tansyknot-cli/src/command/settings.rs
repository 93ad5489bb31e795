//! `settings check`: validates settings files and documents of objects.

use std::process::ExitCode;

use miette::{IntoDiagnostic, WrapErr};
use tansyknot_config::{document, fleet, settings};

use crate::args::CheckArgs;

/// Runs `settings check`.
pub(crate) fn check(args: &CheckArgs) -> miette::Result<ExitCode> {
    for file in &args.files {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file)
            .into_diagnostic()
            .wrap_err_with(|| format!("{name} can't be read"))?;
        if is_document(&text) {
            let objects = document::read(&text, &name)?;
            println!("{name}: ok, {} objects", objects.len());
        } else if is_fleet_settings(&text) {
            fleet::read(&text, &name)?;
            println!("{name}: ok, settings of a daemon that serves a fleet");
        } else {
            settings::read(&text, &name)?;
            println!("{name}: ok, settings of a daemon");
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns whether the settings have a section that only daemons that serve a fleet have.
fn is_fleet_settings(text: &str) -> bool {
    text.lines().any(|line| line.starts_with("bounds:"))
}

fn is_document(text: &str) -> bool {
    text.lines().any(|line| line.starts_with("kind:"))
}
