//! `explain`: which decisions were taken for a request.

use std::process::ExitCode;

use serde_json::Value;

use super::daemons;
use crate::{
    args::{ExplainArgs, Shared},
    exit::Failure,
    output,
};

/// Runs `explain`.
pub(crate) fn run(shared: &Shared, args: &ExplainArgs) -> miette::Result<ExitCode> {
    let table = daemons::table(shared);
    for (_, row) in daemons::all(&table)? {
        let path = format!("/explain/{}", args.request);
        let Ok(Some(trail)) = daemons::get(&row, &path) else { continue };
        print(shared, &trail)?;
        return Ok(ExitCode::SUCCESS);
    }
    Err(Failure::Forgotten { request: args.request.clone() }.into())
}

fn print(shared: &Shared, trail: &Value) -> miette::Result<()> {
    if shared.output == crate::args::Output::Table {
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
        vec![format!("{after_ms:.3}"), decision(&step["decision"])]
    });
    output::print(shared.output, trail, &["AFTER MS", "DECISION"], rows)
}

fn decision(value: &Value) -> String {
    let Value::Object(fields) = value else {
        return value.as_str().unwrap_or_default().to_owned();
    };
    let parts = fields.iter().map(|(name, value)| format!("{name} {value}"));
    parts.collect::<Vec<_>>().join(", ")
}
