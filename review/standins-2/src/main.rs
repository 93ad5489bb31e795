//! Drivers and stand-ins of the cases `review/5` and `review/6`.

mod client;
mod memory;
mod runner;
mod slow_runner;
mod world;

use std::{env, io, path::Path, process::ExitCode};

use world::Record;

fn run(name: &str, record: Record) -> io::Result<bool> {
    match name {
        "memory" => memory::run(record),
        "slow-runner" => slow_runner::run(record),
        _ => Err(io::Error::other("unknown case")),
    }
}

/// Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match args[..] {
        ["runner", id, mode] => runner::run(id, mode).map(|()| true),
        [name, path] => Record::create(Path::new(path)).and_then(|record| run(name, record)),
        _ => Err(io::Error::other("usage: CASE RECORD")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
