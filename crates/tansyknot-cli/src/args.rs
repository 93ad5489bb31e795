//! The arguments of the command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use jiff::Timestamp;

/// Command line of tansyknot for operators and callers.
#[derive(Debug, Parser)]
#[command(
    name = "tansyknot",
    version,
    after_help = "Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 conflict with another \
        operator's change, 4 differences found, 5 rejected by the daemon."
)]
pub(crate) struct Args {
    /// Options of every command.
    #[command(flatten)]
    pub(crate) global: GlobalArgs,
    /// The command.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Options of every command.
#[derive(Debug, ClapArgs)]
pub(crate) struct GlobalArgs {
    /// Address of the table service.
    #[arg(long, global = true, env = "TANSYKNOT_TABLE", default_value = "127.0.0.1:7001")]
    pub(crate) table: SocketAddr,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t = Output::Table)]
    pub(crate) output: Output,
}

/// Output formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Output {
    /// A table for people.
    Table,
    /// JSON for programs.
    Json,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Apply a document of objects to the configuration
    #[command(after_help = "Example:\n  tansyknot apply -f services.yaml --author awa")]
    Apply(ApplyArgs),
    /// Delete objects
    #[command(after_help = "Example:\n  tansyknot delete service/permit-old rule/old")]
    Delete(DeleteArgs),
    /// Show the changes that a document would make
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
    /// Show the decisions taken for a request and the daemon that took them
    #[command(
        after_help = "Examples:\n  tansyknot explain 4f1c…  (the x-request-id of a response)\n  \
        tansyknot explain 9c41d07be2a35f68 --logs daemon-*.log"
    )]
    Explain(ExplainArgs),
    /// Show and filter log lines of daemons
    #[command(after_help = "Examples:\n  tansyknot logs daemon-*.log --event 1621,1622\n  \
        tansyknot logs daemon-*.log --about i-b94f5f7988 --output json")]
    Logs(LogsArgs),
    /// Commands for settings files
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Generate a key for a caller and its hash
    Key,
    /// Send a request to a service as a caller
    #[command(after_help = "Example:\n  tansyknot ask --daemon 127.0.0.1:7100 --key K \
        permit-assistant \"Does load 7 match permit 12?\"")]
    Ask(AskArgs),
    /// Print a completion script for a shell
    Completions(CompletionsArgs),
}

/// Arguments of `apply`.
#[derive(Debug, ClapArgs)]
pub(crate) struct ApplyArgs {
    /// A YAML file with one document per object.
    #[arg(short, long, value_name = "FILE")]
    pub(crate) file: PathBuf,
    /// The author that the history shows.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub(crate) author: String,
    /// Apply only if this version is the newest; the default is the newest version.
    #[arg(long, value_name = "VERSION")]
    pub(crate) base: Option<u64>,
    /// Maximum wait, in seconds, until the version is in force at every daemon.
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    pub(crate) wait: u64,
}

/// Arguments of `delete`.
#[derive(Debug, ClapArgs)]
pub(crate) struct DeleteArgs {
    /// The objects, as `kind/name`.
    #[arg(required = true, value_name = "KIND/NAME")]
    pub(crate) keys: Vec<String>,
    /// The author that the history shows.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub(crate) author: String,
    /// Maximum wait, in seconds, until the version is in force at every daemon.
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    pub(crate) wait: u64,
}

/// Arguments of `diff`.
#[derive(Debug, ClapArgs)]
pub(crate) struct DiffArgs {
    /// A YAML file with one document per object.
    #[arg(short, long, value_name = "FILE")]
    pub(crate) file: PathBuf,
}

/// Arguments of `get`.
#[derive(Debug, ClapArgs)]
pub(crate) struct GetArgs {
    /// Show only this kind, or only this object, given as `kind/name`.
    #[arg(value_name = "KIND[/NAME]")]
    pub(crate) filter: Option<String>,
}

/// Arguments of `history`.
#[derive(Debug, ClapArgs)]
pub(crate) struct HistoryArgs {
    /// Number of versions to show.
    #[arg(long, default_value_t = 20)]
    pub(crate) limit: u64,
}

/// Arguments of `status`.
#[derive(Debug, ClapArgs)]
pub(crate) struct StatusArgs {}

/// Arguments of `explain`.
#[derive(Debug, ClapArgs)]
pub(crate) struct ExplainArgs {
    /// The `x-request-id` of the response; for daemons that serve a fleet, the `Attempt-Id` that
    /// the caller sent.
    pub(crate) request: String,
    /// Read these log files instead of querying the daemons.
    #[arg(long, value_name = "FILE", num_args = 1..)]
    pub(crate) logs: Vec<PathBuf>,
}

/// Arguments of `logs`.
#[derive(Debug, ClapArgs)]
pub(crate) struct LogsArgs {
    /// Files with the standard output of daemons.
    #[arg(required = true, value_name = "FILE")]
    pub(crate) files: Vec<PathBuf>,
    /// Show only lines of this request.
    #[arg(long, value_name = "ID")]
    pub(crate) request: Option<String>,
    /// Show only lines of this daemon.
    #[arg(long, value_name = "NAME")]
    pub(crate) daemon: Option<String>,
    /// Show only events with these numbers (docs/EVENTS.md).
    #[arg(long, value_name = "NUMBER", value_delimiter = ',')]
    pub(crate) event: Vec<u16>,
    /// Show only lines with this text in a field, such as a target, a model or a reason.
    #[arg(long, value_name = "WORD")]
    pub(crate) about: Option<String>,
    /// Show only lines from this time on, in RFC 3339 format.
    #[arg(long, value_name = "TIME")]
    pub(crate) from: Option<Timestamp>,
    /// Show only lines up to this time.
    #[arg(long, value_name = "TIME")]
    pub(crate) to: Option<Timestamp>,
}

/// The commands for settings files.
#[derive(Debug, Subcommand)]
pub(crate) enum SettingsCommand {
    /// Validate settings files or documents of objects
    #[command(after_help = "Example:\n  tansyknot settings check daemon.yaml objects.yaml")]
    Check(CheckArgs),
}

/// Arguments of `settings check`.
#[derive(Debug, ClapArgs)]
pub(crate) struct CheckArgs {
    /// The files. A file with a `kind` is read as a document of objects.
    #[arg(required = true, value_name = "FILE")]
    pub(crate) files: Vec<PathBuf>,
}

/// Arguments of `ask`.
#[derive(Debug, ClapArgs)]
pub(crate) struct AskArgs {
    /// The name of the service or adapter.
    pub(crate) model: String,
    /// The prompt.
    pub(crate) prompt: String,
    /// Address of the daemon.
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
