//! `apply`, `delete` and `diff`: changes of the configuration.

use std::{
    path::Path,
    process::ExitCode,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use miette::{IntoDiagnostic, WrapErr};
use serde::Serialize;
use serde_json::Value;
use tansyknot_config::{document, object::Object, store::Op};
use tansyknot_control::config::{self, ApplyError, Author};
use tansyknot_platform::table::HttpTable;

use super::daemons;
use crate::{
    args::{ApplyArgs, DeleteArgs, DiffArgs, Shared},
    exit::{self, Failure},
    output,
};

/// How often daemons are asked whether a version is in force.
const ASK_EVERY: Duration = Duration::from_millis(100);

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
pub(crate) fn run(shared: &Shared, args: &ApplyArgs) -> miette::Result<ExitCode> {
    let objects = read(&args.file)?;
    let table = daemons::table(shared);
    let (head, _) = config::read_head(&table).into_diagnostic()?;
    let current = config::read_objects(&table).into_diagnostic()?;
    let ops = config::difference(&current, &objects);
    let base = args.base.unwrap_or(head.version);
    if base != head.version {
        return Err(Failure::Lost { won: head.version }.into());
    }
    if ops.is_empty() {
        println!("version {base}: nothing to change");
        return Ok(ExitCode::SUCCESS);
    }
    change(shared, &table, base, &ops, &args.author, args.wait)
}

/// Runs `delete`.
pub(crate) fn delete(shared: &Shared, args: &DeleteArgs) -> miette::Result<ExitCode> {
    let table = daemons::table(shared);
    let (head, _) = config::read_head(&table).into_diagnostic()?;
    let mut ops = Vec::with_capacity(args.keys.len());
    for key in &args.keys {
        if !key.contains('/') {
            return Err(Failure::BadKey { key: key.clone() }.into());
        }
        ops.push(Op::Delete(key.clone()));
    }
    change(shared, &table, head.version, &ops, &args.author, args.wait)
}

/// Runs `diff`.
pub(crate) fn diff(shared: &Shared, args: &DiffArgs) -> miette::Result<ExitCode> {
    let objects = read(&args.file)?;
    let table = daemons::table(shared);
    let current = config::read_objects(&table).into_diagnostic()?;
    let ops = config::difference(&current, &objects);
    let rows = ops.iter().map(|op| {
        let known = current.iter().any(|stored| stored.object.key() == op.key());
        vec![if known { "change" } else { "add" }.to_owned(), op.key()]
    });
    output::print(shared.output, &ops, &["WHAT", "OBJECT"], rows)?;
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

/// Applies changes, in several versions if they are many, and waits until they are in force.
fn change(
    shared: &Shared,
    table: &HttpTable,
    base: u64,
    ops: &[Op],
    author: &str,
    wait_s: u64,
) -> miette::Result<ExitCode> {
    let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let at_ms = u64::try_from(at_ms).unwrap_or(u64::MAX);
    let author = Author { name: author.to_owned(), at_ms };
    let mut version = base;
    for part in ops.chunks(config::MAX_OPS) {
        version = match config::apply(table, version, part, &author) {
            Ok(version) => version,
            Err(ApplyError::Lost { won }) => return Err(Failure::Lost { won }.into()),
            Err(e) => return Err(e).into_diagnostic(),
        };
    }
    let in_force = await_in_force(table, version, Duration::from_secs(wait_s))?;
    let changes = ops.iter().map(Op::key).collect();
    let applied = Applied { version, changes, in_force };
    let rows = applied.in_force.iter().map(|f| {
        let after = f.after_ms.map_or("not yet".to_owned(), |ms| format!("{ms} ms"));
        vec![f.daemon.clone(), f.version.to_string(), after]
    });
    if shared.output == crate::args::Output::Table {
        println!("version {version}: {} objects changed", applied.changes.len());
    }
    output::print(shared.output, &applied, &["DAEMON", "VERSION", "IN FORCE AFTER"], rows)?;
    let late: Vec<&str> = applied
        .in_force
        .iter()
        .filter(|f| f.after_ms.is_none())
        .map(|f| f.daemon.as_str())
        .collect();
    if late.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Err(Failure::NotInForce { version, daemons: late.join(", ") }.into())
}

/// Asks every daemon until it has the version in force or the time is over.
fn await_in_force(table: &HttpTable, version: u64, wait: Duration) -> miette::Result<Vec<InForce>> {
    let began = Instant::now();
    let daemons = daemons::all(table)?;
    let mut found: Vec<InForce> = daemons
        .iter()
        .map(|(name, _)| InForce { daemon: name.clone(), version: 0, after_ms: None })
        .collect();
    loop {
        for ((_, row), entry) in daemons.iter().zip(&mut found) {
            if entry.after_ms.is_some() {
                continue;
            }
            let Ok(Some(status)) = daemons::get(row, "/status") else { continue };
            entry.version = status.get("config_version").and_then(Value::as_u64).unwrap_or(0);
            if entry.version >= version {
                entry.after_ms = Some(began.elapsed().as_millis());
            }
        }
        if found.iter().all(|f| f.after_ms.is_some()) || began.elapsed() >= wait {
            return Ok(found);
        }
        thread::sleep(ASK_EVERY);
    }
}
