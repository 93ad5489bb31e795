//! The `tansyknot` binary: the command line for operators and callers.

mod args;
mod command;
mod exit;
mod line;
mod output;

use std::process::ExitCode;

use clap::Parser;

use crate::args::{Args, Command, SettingsCommand};

fn main() -> ExitCode {
    let args = Args::parse();
    match run(&args) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            exit::code_of(&report)
        }
    }
}

fn run(args: &Args) -> miette::Result<ExitCode> {
    let shared = &args.shared;
    match &args.command {
        Command::Apply(a) => command::apply::run(shared, a),
        Command::Delete(a) => command::apply::delete(shared, a),
        Command::Diff(a) => command::apply::diff(shared, a),
        Command::Get(a) => command::get::run(shared, a),
        Command::History(a) => command::history::run(shared, a),
        Command::Status(a) => command::status::run(shared, a),
        Command::Explain(a) if a.logs.is_empty() => command::explain::run(shared, a),
        Command::Explain(a) => command::cause::run(shared, &a.request, &a.logs),
        Command::Logs(a) => command::logs::run(shared, a),
        Command::Settings(SettingsCommand::Check(a)) => command::settings::check(a),
        Command::Key => command::key::run(),
        Command::Ask(a) => command::ask::run(a),
        Command::Completions(a) => command::completions::run(a),
    }
}
