//! Exit codes, and the failures that determine them.

use std::process::ExitCode;

use miette::Diagnostic;
use thiserror::Error;

/// The exit code when another operator's change was accepted first.
const CONFLICT: u8 = 3;
/// The exit code when a comparison finds differences.
pub(crate) const DIFFERENT: u8 = 4;
/// The exit code when a daemon rejects a request.
const REJECTED: u8 = 5;
/// The exit code of all other failures.
const FAILED: u8 = 1;

/// Failures of commands.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum Failure {
    /// Another operator's change was accepted first.
    #[error("version {accepted} was accepted first; nothing of this change is in force")]
    #[diagnostic(help("read `tansyknot history`, then apply again"))]
    Conflict {
        /// The version that was accepted.
        accepted: u64,
    },
    /// A daemon rejected a request.
    #[error("the daemon responded with status {status}: {text}")]
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        text: String,
    },
    /// No daemon has a record of a request.
    #[error("no daemon has a record of request {request}")]
    #[diagnostic(help("each daemon keeps records of its latest 4096 requests"))]
    UnknownRequest {
        /// The request's id.
        request: String,
    },
    /// The log files have no line of a request.
    #[error("none of {lines} log lines has request {request}")]
    #[diagnostic(help(
        "give the log files of all daemons; lines above the rate limit are dropped (event 1651)"
    ))]
    NotLogged {
        /// The request's id.
        request: String,
        /// The number of lines read.
        lines: usize,
    },
    /// The key of an object does not have the form `kind/name`.
    #[error("{key:?} is not the key of an object")]
    #[diagnostic(help("use kind/name, for instance service/permit-assistant"))]
    BadKey {
        /// The key as given.
        key: String,
    },
    /// A version is not in force at every daemon yet.
    #[error("version {version} is accepted but not in force at: {daemons}")]
    #[diagnostic(help("`tansyknot status` shows the version of each daemon"))]
    NotInForce {
        /// The version.
        version: u64,
        /// The names of the daemons without the version in force.
        daemons: String,
    },
}

/// Returns the exit code of a failure.
pub(crate) fn code_of(report: &miette::Report) -> ExitCode {
    ExitCode::from(match report.downcast_ref::<Failure>() {
        Some(Failure::Conflict { .. }) => CONFLICT,
        Some(Failure::Rejected { .. }) => REJECTED,
        _ => FAILED,
    })
}
