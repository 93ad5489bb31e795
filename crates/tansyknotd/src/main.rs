//! The `tansyknotd` binary: settings in, a daemon that runs until it is told to stop.

use std::{path::PathBuf, process::ExitCode, thread};

use clap::Parser;
use miette::{IntoDiagnostic, WrapErr};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use tansyknot_config::settings;
use tansyknotd::{
    daemon::{Daemon, Stopped},
    telemetry,
};

/// The exit code of a drain that was ended with requests in flight.
const EXIT_CUT: u8 = 3;

/// The tansyknot daemon. Every entry host runs one; all have the same role.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  tansyknotd --settings /etc/tansyknot/daemon.yaml\n  \
    tansyknotd --settings daemon.yaml --check\n\nSignals: SIGTERM or SIGINT drains, a second one \
    ends at once.\nExit codes: 0 after a whole drain, 3 if requests were cut, 1 on bad settings."
)]
struct Args {
    /// The settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> miette::Result<ExitCode> {
    let args = Args::parse();
    let file = args.settings.display().to_string();
    let text = std::fs::read_to_string(&args.settings)
        .into_diagnostic()
        .wrap_err_with(|| format!("{file} can't be read"))?;
    let settings = settings::read(&text, &file)?;
    if args.check {
        println!("{file}: ok");
        return Ok(ExitCode::SUCCESS);
    }
    telemetry::start(&settings.telemetry).into_diagnostic()?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).into_diagnostic()?;
    let daemon = Daemon::start(&settings).into_diagnostic().wrap_err("the daemon can't start")?;
    let stop = daemon.stopper();
    thread::spawn(move || {
        for _ in signals.forever() {
            stop.signal();
        }
    });
    let stopped = daemon.run_until_stopped();
    fastrace::flush();
    log::logger().flush();
    Ok(match stopped {
        Stopped::Whole => ExitCode::SUCCESS,
        Stopped::Cut(_) => ExitCode::from(EXIT_CUT),
    })
}
