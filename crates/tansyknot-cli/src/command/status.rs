//! `status`: shows every daemon with its version and replicas.

use std::process::ExitCode;

use serde::Serialize;
use serde_json::Value;

use super::daemons;
use crate::{
    args::{GlobalArgs, StatusArgs},
    output,
};

#[derive(Serialize)]
struct DaemonStatus {
    daemon: String,
    reachable: bool,
    status: Option<Value>,
}

/// Runs `status`.
pub(crate) fn run(global: &GlobalArgs, _: &StatusArgs) -> miette::Result<ExitCode> {
    let table = daemons::table(global);
    let mut statuses = Vec::new();
    for (daemon, row) in daemons::read_all(&table)? {
        let status = daemons::get_page(&row, "/status").ok().flatten();
        statuses.push(DaemonStatus { daemon, reachable: status.is_some(), status });
    }
    let header =
        ["DAEMON", "ZONE", "VERSION", "STATE", "CONNECTIONS", "REQUESTS", "READY REPLICAS"];
    output::print(global.output, &statuses, &header, statuses.iter().map(row))?;
    Ok(ExitCode::SUCCESS)
}

fn row(entry: &DaemonStatus) -> Vec<String> {
    let Some(status) = &entry.status else {
        return vec![entry.daemon.clone(), String::new(), String::new(), "unreachable".to_owned()];
    };
    let text = |name: &str| match &status[name] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let state = if status["draining"] == Value::Bool(true) { "draining" } else { "serving" };
    vec![
        entry.daemon.clone(),
        text("availability_zone"),
        text("config_version"),
        state.to_owned(),
        text("connections"),
        text("requests"),
        ready_replicas(status).join(" "),
    ]
}

fn ready_replicas(status: &Value) -> Vec<String> {
    let none = Vec::new();
    let services = status["services"].as_array().unwrap_or(&none);
    let mut ready = Vec::new();
    for service in services {
        let slots = service["slots"].as_array().unwrap_or(&none);
        for slot in slots.iter().filter(|slot| slot["state"] == "ready") {
            let name = service["service"].as_str().unwrap_or_default();
            ready.push(format!("{name}@{}", slot["target"].as_str().unwrap_or_default()));
        }
    }
    ready
}
