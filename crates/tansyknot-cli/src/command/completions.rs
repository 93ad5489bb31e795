//! `completions`: prints a completion script for a shell.

use std::process::ExitCode;

use clap::CommandFactory;

use crate::args::{Args, CompletionsArgs};

/// Runs `completions`.
pub(crate) fn run(args: &CompletionsArgs) -> miette::Result<ExitCode> {
    clap_complete::generate(args.shell, &mut Args::command(), "tansyknot", &mut std::io::stdout());
    Ok(ExitCode::SUCCESS)
}
