//! Stand-ins for the cases of the review: runners and daemons as processes of their own, the
//! platform, and callers.

pub mod caller;
pub mod daemon;
pub mod platform;
pub mod record;
pub mod runner;

use std::{
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    time::{Duration, Instant},
};

/// How a run of a case has ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Paths and the switch that `run.sh` passes on.
pub struct Case {
    /// The root of the repository.
    pub root: PathBuf,
    /// The folder of the case, to which `record.txt` is written.
    pub folder: PathBuf,
    /// An empty temporary folder.
    pub temp: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// Runs a case; the exit code is 0 if the rule held, 1 if it was broken and 2 if it could not run.
pub fn main(run: impl FnOnce(&Case) -> Result<Verdict, String>) -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, root, folder, temp] = &args[..] else {
        eprintln!("usage: CASE ROOT FOLDER TEMP");
        return ExitCode::from(2);
    };
    let case = Case {
        root: root.into(),
        folder: folder.into(),
        temp: temp.into(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    match std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&case))) {
        Ok(Ok(Verdict::Held)) => ExitCode::SUCCESS,
        Ok(Ok(Verdict::Broken)) => ExitCode::from(1),
        Ok(Err(e)) => {
            eprintln!("could not run: {e}");
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}

/// A process that is killed when this value is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a process and passes each line of its standard output to `on_line`.
    pub fn start(
        command: &mut Command,
        mut on_line: impl FnMut(&str) + Send + 'static,
    ) -> Result<Self, String> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{command:?}: {e}"))?;
        let stdout = child.stdout.take().ok_or("no standard output")?;
        std::thread::spawn(move || {
            BufReader::new(stdout).lines().map_while(Result::ok).for_each(|line| on_line(&line));
        });
        Ok(Self { child })
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let mut command = Command::new("kill");
        let status = command.arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("kill -{name}: {other:?}")),
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `condition` holds.
pub fn wait_for(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<(), String> {
    let until = Instant::now() + timeout;
    while !condition() {
        if Instant::now() >= until {
            return Err(format!("{what}: not within {timeout:?}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
