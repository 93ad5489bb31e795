//! `apply`, `delete` and `diff`: make or show changes of the configuration.

use std::{
    path::Path,
    process::ExitCode,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use miette::{IntoDiagnostic, WrapErr};
use serde::Serialize;
use serde_json::Value;
use tansyknot_config::{document, object::Object, objects_in_force::ObjectChange};
use tansyknot_control::config::{self, ApplyError, Author};
use tansyknot_platform::table::HttpTable;

use super::daemons;
use crate::{
    args::{ApplyArgs, DeleteArgs, DiffArgs, GlobalArgs},
    exit::{self, Failure},
    output,
};

/// Interval between checks of whether a version is in force at the daemons.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct Applied {
    version: u64,
    changes: Vec<String>,
    in_force: Vec<InForce>,
}

#[derive(Serialize)]
struct InForce {
    daemon: String,
    version: u64,
    after_ms: Option<u128>,
}

/// Runs `apply`.
pub(crate) fn run(global: &GlobalArgs, args: &ApplyArgs) -> miette::Result<ExitCode> {
    let objects = read(&args.file)?;
    let table = daemons::table(global);
    let (head, _) = config::read_head(&table).into_diagnostic()?;
    let current = config::read_objects(&table).into_diagnostic()?;
    let ops = config::difference(&current, &objects);
    let base = args.base.unwrap_or(head.version);
    if base != head.version {
        return Err(Failure::Conflict { accepted: head.version }.into());
    }
    if ops.is_empty() {
        println!("version {base}: nothing to change");
        return Ok(ExitCode::SUCCESS);
    }
    apply_ops(global, &table, base, &ops, &args.author, args.wait)
}

/// Runs `delete`.
pub(crate) fn delete(global: &GlobalArgs, args: &DeleteArgs) -> miette::Result<ExitCode> {
    let table = daemons::table(global);
    let (head, _) = config::read_head(&table).into_diagnostic()?;
    let mut ops = Vec::with_capacity(args.keys.len());
    for key in &args.keys {
        if !key.contains('/') {
            return Err(Failure::BadKey { key: key.clone() }.into());
        }
        ops.push(ObjectChange::Delete(key.clone()));
    }
    apply_ops(global, &table, head.version, &ops, &args.author, args.wait)
}

/// Runs `diff`.
pub(crate) fn diff(global: &GlobalArgs, args: &DiffArgs) -> miette::Result<ExitCode> {
    let objects = read(&args.file)?;
    let table = daemons::table(global);
    let current = config::read_objects(&table).into_diagnostic()?;
    let ops = config::difference(&current, &objects);
    let rows = ops.iter().map(|op| {
        let exists = current.iter().any(|stored| stored.object.key() == op.key());
        vec![if exists { "change" } else { "add" }.to_owned(), op.key()]
    });
    output::print(global.output, &ops, &["WHAT", "OBJECT"], rows)?;
    let code = if ops.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(exit::DIFFERENT) };
    Ok(code)
}

fn read(file: &Path) -> miette::Result<Vec<Object>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .into_diagnostic()
        .wrap_err_with(|| format!("{name} can't be read"))?;
    document::read(&text, &name)
}

/// Applies changes and waits until they are in force. Changes beyond the limit of one version are
/// split into several versions.
fn apply_ops(
    global: &GlobalArgs,
    table: &HttpTable,
    base: u64,
    ops: &[ObjectChange],
    author: &str,
    wait_s: u64,
) -> miette::Result<ExitCode> {
    let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let at_ms = u64::try_from(at_ms).unwrap_or(u64::MAX);
    let author = Author { name: author.to_owned(), at_ms };
    let mut version = base;
    for batch in ops.chunks(config::MAX_OPS) {
        version = match config::apply(table, version, batch, &author) {
            Ok(version) => version,
            Err(ApplyError::VersionConflict { accepted }) => {
                return Err(Failure::Conflict { accepted }.into());
            }
            Err(e) => return Err(e).into_diagnostic(),
        };
    }
    let in_force = wait_until_in_force(table, version, Duration::from_secs(wait_s))?;
    let changes = ops.iter().map(ObjectChange::key).collect();
    let applied = Applied { version, changes, in_force };
    let rows = applied.in_force.iter().map(|f| {
        let after = f.after_ms.map_or("not yet".to_owned(), |ms| format!("{ms} ms"));
        vec![f.daemon.clone(), f.version.to_string(), after]
    });
    if global.output == crate::args::Output::Table {
        println!("version {version}: {} objects changed", applied.changes.len());
    }
    output::print(global.output, &applied, &["DAEMON", "VERSION", "IN FORCE AFTER"], rows)?;
    let lagging: Vec<&str> = applied
        .in_force
        .iter()
        .filter(|f| f.after_ms.is_none())
        .map(|f| f.daemon.as_str())
        .collect();
    if lagging.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Err(Failure::NotInForce { version, daemons: lagging.join(", ") }.into())
}

/// Polls every daemon until all have the version in force or the wait is over.
fn wait_until_in_force(
    table: &HttpTable,
    version: u64,
    wait: Duration,
) -> miette::Result<Vec<InForce>> {
    let started = Instant::now();
    let daemons = daemons::read_all(table)?;
    let mut states: Vec<InForce> = daemons
        .iter()
        .map(|(name, _)| InForce { daemon: name.clone(), version: 0, after_ms: None })
        .collect();
    loop {
        for ((_, row), entry) in daemons.iter().zip(&mut states) {
            if entry.after_ms.is_some() {
                continue;
            }
            let Ok(Some(status)) = daemons::get_page(row, "/status") else { continue };
            entry.version = status.get("config_version").and_then(Value::as_u64).unwrap_or(0);
            if entry.version >= version {
                entry.after_ms = Some(started.elapsed().as_millis());
            }
        }
        if states.iter().all(|f| f.after_ms.is_some()) || started.elapsed() >= wait {
            return Ok(states);
        }
        thread::sleep(STATUS_POLL_INTERVAL);
    }
}
