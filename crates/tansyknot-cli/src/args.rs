//! The arguments of the command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use jiff::Timestamp;

/// Operates and calls tansyknot.
#[derive(Debug, Parser)]
#[command(
    name = "tansyknot",
    version,
    after_help = "Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 lost a race with another \
        operator, 4 differences found, 5 refused by the daemon."
)]
pub(crate) struct Args {
    /// What every command takes.
    #[command(flatten)]
    pub(crate) shared: Shared,
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// What every command takes.
#[derive(Debug, ClapArgs)]
pub(crate) struct Shared {
    /// The table service.
    #[arg(long, global = true, env = "TANSYKNOT_TABLE", default_value = "127.0.0.1:7001")]
    pub(crate) table: SocketAddr,
    /// How results are printed.
    #[arg(long, global = true, value_enum, default_value_t = Output::Table)]
    pub(crate) output: Output,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Output {
    /// For people.
    Table,
    /// For programs.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Make a document of objects the configuration in force
    #[command(after_help = "Example:\n  tansyknot apply -f services.yaml --author awa")]
    Apply(ApplyArgs),
    /// Delete objects
    #[command(after_help = "Example:\n  tansyknot delete service/permit-old rule/old")]
    Delete(DeleteArgs),
    /// Show what a document would change
    #[command(after_help = "Example:\n  tansyknot diff -f services.yaml")]
    Diff(DiffArgs),
    /// Show objects
    #[command(after_help = "Examples:\n  tansyknot get\n  tansyknot get service --output json")]
    Get(GetArgs),
    /// Show the latest changes of the configuration
    #[command(after_help = "Example:\n  tansyknot history --limit 5")]
    History(HistoryArgs),
    /// Show daemons, replicas and targets
    #[command(after_help = "Example:\n  tansyknot status --output json")]
    Status(StatusArgs),
    /// Show which decisions were taken for a request, and by whom
    #[command(
        after_help = "Examples:\n  tansyknot explain 4f1c…  (the x-request-id of an answer)\n  \
        tansyknot explain 9c41d07be2a35f68 --logs daemon-*.log"
    )]
    Explain(ExplainArgs),
    /// Show lines of daemons' logs
    #[command(after_help = "Examples:\n  tansyknot logs daemon-*.log --event 1621,1622\n  \
        tansyknot logs daemon-*.log --about i-b94f5f7988 --output json")]
    Logs(LogsArgs),
    /// Work on settings files
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Make a caller's key and its hash
    Key,
    /// Ask a service, as a caller does
    #[command(after_help = "Example:\n  tansyknot ask --daemon 127.0.0.1:7100 --key K \
        permit-assistant \"Does load 7 match permit 12?\"")]
    Ask(AskArgs),
    /// Print a completion script for a shell
    Completions(CompletionsArgs),
}

/// Arguments of `apply`.
#[derive(Debug, ClapArgs)]
pub(crate) struct ApplyArgs {
    /// A YAML document, one object a part.
    #[arg(short, long, value_name = "FILE")]
    pub(crate) file: PathBuf,
    /// Whose name the history shows.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub(crate) author: String,
    /// Apply only on top of this version; otherwise on top of the newest.
    #[arg(long, value_name = "VERSION")]
    pub(crate) base: Option<u64>,
    /// Wait up to this many seconds until every daemon has the version in force.
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    pub(crate) wait: u64,
}

/// Arguments of `delete`.
#[derive(Debug, ClapArgs)]
pub(crate) struct DeleteArgs {
    /// Objects, as `kind/name`.
    #[arg(required = true, value_name = "KIND/NAME")]
    pub(crate) keys: Vec<String>,
    /// Whose name the history shows.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub(crate) author: String,
    /// Wait up to this many seconds until every daemon has the version in force.
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    pub(crate) wait: u64,
}

/// Arguments of `diff`.
#[derive(Debug, ClapArgs)]
pub(crate) struct DiffArgs {
    /// A YAML document, one object a part.
    #[arg(short, long, value_name = "FILE")]
    pub(crate) file: PathBuf,
}

/// Arguments of `get`.
#[derive(Debug, ClapArgs)]
pub(crate) struct GetArgs {
    /// Only this kind, or this object as `kind/name`.
    #[arg(value_name = "KIND[/NAME]")]
    pub(crate) filter: Option<String>,
}

/// Arguments of `history`.
#[derive(Debug, ClapArgs)]
pub(crate) struct HistoryArgs {
    /// Versions to show.
    #[arg(long, default_value_t = 20)]
    pub(crate) limit: u64,
}

/// Arguments of `status`.
#[derive(Debug, ClapArgs)]
pub(crate) struct StatusArgs {}

/// Arguments of `explain`.
#[derive(Debug, ClapArgs)]
pub(crate) struct ExplainArgs {
    /// The `x-request-id` of the answer, or the caller's id on the users' platform.
    pub(crate) request: String,
    /// Explain from these log files instead of asking the daemons.
    #[arg(long, value_name = "FILE", num_args = 1..)]
    pub(crate) logs: Vec<PathBuf>,
}

/// Arguments of `logs`.
#[derive(Debug, ClapArgs)]
pub(crate) struct LogsArgs {
    /// Files that collect the daemons' standard output.
    #[arg(required = true, value_name = "FILE")]
    pub(crate) files: Vec<PathBuf>,
    /// Only lines of this request.
    #[arg(long, value_name = "ID")]
    pub(crate) request: Option<String>,
    /// Only lines of this daemon.
    #[arg(long, value_name = "NAME")]
    pub(crate) daemon: Option<String>,
    /// Only these events (docs/EVENTS.md).
    #[arg(long, value_name = "NUMBER", value_delimiter = ',')]
    pub(crate) event: Vec<u16>,
    /// Only lines with this word in a field: a target, a model, a reason.
    #[arg(long, value_name = "WORD")]
    pub(crate) about: Option<String>,
    /// Only lines from this time on, as RFC 3339 has it.
    #[arg(long, value_name = "TIME")]
    pub(crate) from: Option<Timestamp>,
    /// Only lines up to this time.
    #[arg(long, value_name = "TIME")]
    pub(crate) to: Option<Timestamp>,
}

/// What to do with settings files.
#[derive(Debug, Subcommand)]
pub(crate) enum SettingsCommand {
    /// Check settings files or documents of objects
    #[command(after_help = "Example:\n  tansyknot settings check daemon.yaml objects.yaml")]
    Check(CheckArgs),
}

/// Arguments of `settings check`.
#[derive(Debug, ClapArgs)]
pub(crate) struct CheckArgs {
    /// The files; one with a `kind` is read as a document of objects.
    #[arg(required = true, value_name = "FILE")]
    pub(crate) files: Vec<PathBuf>,
}

/// Arguments of `ask`.
#[derive(Debug, ClapArgs)]
pub(crate) struct AskArgs {
    /// The service or adapter.
    pub(crate) model: String,
    /// What to ask.
    pub(crate) prompt: String,
    /// A daemon.
    #[arg(long, env = "TANSYKNOT_DAEMON", default_value = "127.0.0.1:7100")]
    pub(crate) daemon: SocketAddr,
    /// The caller's key.
    #[arg(long, env = "TANSYKNOT_KEY", hide_env_values = true)]
    pub(crate) key: String,
}

/// Arguments of `completions`.
#[derive(Debug, ClapArgs)]
pub(crate) struct CompletionsArgs {
    /// The shell.
    #[arg(value_enum)]
    pub(crate) shell: Shell,
}
