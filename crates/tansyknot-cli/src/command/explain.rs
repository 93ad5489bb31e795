//! `explain`: shows the decisions that daemons took for a request.

use std::process::ExitCode;

use serde_json::Value;

use super::daemons;
use crate::{
    args::{ExplainArgs, GlobalArgs},
    exit::Failure,
    output,
};

/// Runs `explain` against the daemons.
pub(crate) fn run(global: &GlobalArgs, args: &ExplainArgs) -> miette::Result<ExitCode> {
    let table = daemons::table(global);
    for (_, row) in daemons::read_all(&table)? {
        let path = format!("/explain/{}", args.request);
        let Ok(Some(trail)) = daemons::get_page(&row, &path) else { continue };
        print(global, &trail)?;
        return Ok(ExitCode::SUCCESS);
    }
    Err(Failure::UnknownRequest { request: args.request.clone() }.into())
}

fn print(global: &GlobalArgs, trail: &Value) -> miette::Result<()> {
    if global.output == crate::args::Output::Table {
        println!(
            "request {} at {}, service {}, configuration version {}",
            trail["request"].as_str().unwrap_or_default(),
            trail["daemon"].as_str().unwrap_or_default(),
            trail["service"].as_str().unwrap_or("none"),
            trail["config_version"],
        );
    }
    let none = Vec::new();
    let steps = trail["steps"].as_array().unwrap_or(&none);
    let rows = steps.iter().map(|step| {
        let after_ms = step["after_us"].as_f64().unwrap_or_default() / 1000.0;
        vec![format!("{after_ms:.3}"), format_decision(&step["decision"])]
    });
    output::print(global.output, trail, &["AFTER MS", "DECISION"], rows)
}

fn format_decision(value: &Value) -> String {
    let Value::Object(fields) = value else {
        return value.as_str().unwrap_or_default().to_owned();
    };
    let parts = fields.iter().map(|(name, value)| format!("{name} {value}"));
    parts.collect::<Vec<_>>().join(", ")
}
