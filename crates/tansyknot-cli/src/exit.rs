//! Exit codes and the failures that have one of their own.

use std::process::ExitCode;

use miette::Diagnostic;
use thiserror::Error;

/// Another operator's change came first.
const LOST: u8 = 3;
/// A comparison has found differences.
pub(crate) const DIFFERENT: u8 = 4;
/// A daemon refused a request.
const REFUSED: u8 = 5;
/// Anything else.
const FAILED: u8 = 1;

/// Failures of commands.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum Failure {
    /// Another operator's change came first.
    #[error("version {won} was accepted first; nothing of this change is in force")]
    #[diagnostic(help("look at `tansyknot history`, then apply again"))]
    Lost {
        /// The version that won.
        won: u64,
    },
    /// A daemon refused a request.
    #[error("the daemon answered {status}: {text}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// What it said.
        text: String,
    },
    /// No daemon remembers a request.
    #[error("no daemon remembers request {request}")]
    #[diagnostic(help("each daemon remembers its latest 4096 requests"))]
    Forgotten {
        /// The request.
        request: String,
    },
    /// No line of the log files has a request.
    #[error("none of {lines} log lines has request {request}")]
    #[diagnostic(help("give the files of all daemons; lines beyond the rate are left out (1651)"))]
    NotLogged {
        /// The request.
        request: String,
        /// The lines that were read.
        lines: usize,
    },
    /// An object is named in another way than `kind/name`.
    #[error("{key:?} does not name an object")]
    #[diagnostic(help("write kind/name, for instance service/permit-assistant"))]
    BadKey {
        /// What was written.
        key: String,
    },
    /// Some daemon does not have a version in force yet.
    #[error("version {version} is accepted but not in force at: {daemons}")]
    #[diagnostic(help("`tansyknot status` shows the version of each daemon"))]
    NotInForce {
        /// The version.
        version: u64,
        /// The daemons that lag.
        daemons: String,
    },
}

/// Returns the exit code of a failure.
pub(crate) fn code_of(report: &miette::Report) -> ExitCode {
    ExitCode::from(match report.downcast_ref::<Failure>() {
        Some(Failure::Lost { .. }) => LOST,
        Some(Failure::Refused { .. }) => REFUSED,
        _ => FAILED,
    })
}
