//! The `tansyknot` binary, the command line for operators and callers.

mod args;
mod command;
mod exit;
mod log_line;
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
    let global = &args.global;
    match &args.command {
        Command::Apply(a) => command::apply::run(global, a),
        Command::Delete(a) => command::apply::delete(global, a),
        Command::Diff(a) => command::apply::diff(global, a),
        Command::Get(a) => command::get::run(global, a),
        Command::History(a) => command::history::run(global, a),
        Command::Status(a) => command::status::run(global, a),
        Command::Explain(a) if a.logs.is_empty() => command::explain::run(global, a),
        Command::Explain(a) => command::explain_logs::run(global, &a.request, &a.logs),
        Command::Logs(a) => command::logs::run(global, a),
        Command::Settings(SettingsCommand::Check(a)) => command::settings::check(a),
        Command::Key => command::key::run(),
        Command::Ask(a) => command::ask::run(a),
        Command::Completions(a) => command::completions::run(a),
    }
}
