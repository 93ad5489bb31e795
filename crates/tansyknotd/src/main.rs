//! The `tansyknotd` binary: reads the settings and runs a daemon until a signal stops it.

use std::{path::PathBuf, process::ExitCode};

use clap::{Parser, ValueEnum};
use miette::{IntoDiagnostic, WrapErr};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use tansyknot_config::fleet::FleetSettings;
#[cfg(feature = "services")]
use tansyknot_config::settings;
use tansyknot_core::event;
#[cfg(feature = "services")]
use tansyknotd::{
    daemon::{Daemon, DrainOutcome},
    telemetry,
};
use tansyknotd::{fleet::FleetDaemon, logs};

/// The exit code after a drain that aborted requests in flight.
const EXIT_ABORTED: u8 = 3;

/// The tansyknot daemon. Each host that serves callers runs one; all have the same role.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  tansyknotd --settings /etc/tansyknot/daemon.yaml\n  \
    tansyknotd --settings daemon.yaml --check\n\nSignals: SIGTERM or SIGINT drains, a second one \
    aborts the drain.\nExit codes: 0 after a complete drain, 3 if requests were aborted, 1 on \
    invalid settings."
)]
struct Args {
    /// The settings file.
    #[arg(long, value_name = "FILE", env = "TANSYKNOT_CONFIG")]
    settings: PathBuf,
    /// The kind of daemon to run.
    #[arg(long, value_enum, default_value_t)]
    serves: Serves,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

/// The kinds of daemons, by what they serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
enum Serves {
    /// Services that operators define and control by rules, on dedicated engines.
    #[cfg(feature = "services")]
    #[default]
    Services,
    /// Routes of the platform's configuration, on targets that each hold several models.
    #[cfg_attr(not(feature = "services"), default)]
    Fleet,
}

fn main() -> miette::Result<ExitCode> {
    let args = Args::parse();
    let file = args.settings.display().to_string();
    let text = std::fs::read_to_string(&args.settings)
        .into_diagnostic()
        .wrap_err_with(|| format!("{file} can't be read"))?;
    match args.serves {
        #[cfg(feature = "services")]
        Serves::Services => serve_services(&text, &file, args.check),
        Serves::Fleet => serve_fleet(&text, &file, args.check),
    }
}

fn serve_fleet(text: &str, file: &str, check: bool) -> miette::Result<ExitCode> {
    let settings = tansyknot_config::fleet::read(text, file)?;
    if check {
        println!("{file}: ok");
        return Ok(ExitCode::SUCCESS);
    }
    logs::start(&settings.telemetry, &settings.name).into_diagnostic()?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).into_diagnostic()?;
    let daemon =
        FleetDaemon::start(&settings).into_diagnostic().wrap_err("the daemon can't start")?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        check_changed_settings(file, &settings);
    }
    let aborted = daemon.stop();
    log::logger().flush();
    Ok(if aborted == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_ABORTED) })
}

/// Reads the settings file after a `SIGHUP`, and logs whether it differs from the current settings.
/// Settings only change with a restart of the daemon, so the log tells operators if one is needed.
fn check_changed_settings(file: &str, current: &FleetSettings) {
    let read = std::fs::read_to_string(file)
        .into_diagnostic()
        .and_then(|text| tansyknot_config::fleet::read(&text, file));
    match read {
        Ok(new) => event::SETTINGS_READ.emit(&[("changed", &(new != *current))]),
        Err(e) => event::SETTINGS_BAD.emit(&[("error", &e)]),
    }
}

#[cfg(feature = "services")]
fn serve_services(text: &str, file: &str, check: bool) -> miette::Result<ExitCode> {
    let settings = settings::read(text, file)?;
    if check {
        println!("{file}: ok");
        return Ok(ExitCode::SUCCESS);
    }
    telemetry::start(&settings.telemetry).into_diagnostic()?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).into_diagnostic()?;
    let daemon = Daemon::start(&settings).into_diagnostic().wrap_err("the daemon can't start")?;
    let stopper = daemon.stopper();
    std::thread::spawn(move || {
        for _ in signals.forever() {
            stopper.signal();
        }
    });
    let outcome = daemon.run_until_stopped();
    fastrace::flush();
    log::logger().flush();
    Ok(match outcome {
        DrainOutcome::Complete => ExitCode::SUCCESS,
        DrainOutcome::Aborted(_) => ExitCode::from(EXIT_ABORTED),
    })
}
