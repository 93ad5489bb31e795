//! Daemons, started with the command of the deploy file.

use std::{net::SocketAddr, path::Path, process::Command, sync::mpsc, time::Duration};

use serde_json::Value;

use crate::{Process, caller, wait_for};

/// A daemon that is ready for callers.
pub struct Daemon {
    /// Its process.
    pub process: Process,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready: SocketAddr,
}

impl Daemon {
    /// Starts a daemon on loopback with the settings of the deploy file's template, filled in as for
    /// a small deployment, and waits until it is ready. Its log goes to a file in `temp`.
    pub fn start(root: &Path, temp: &Path, name: &str, store: SocketAddr) -> Result<Self, String> {
        let settings = temp.join(format!("{name}.yaml"));
        std::fs::write(&settings, settings_text(name, store)).map_err(|e| e.to_string())?;
        let log_path = temp.join(format!("{name}.log"));
        let mut log = std::fs::File::create(log_path).map_err(|e| e.to_string())?;
        let (tx, rx) = mpsc::channel();
        let mut command = Command::new(root.join("target/deploy/tansyknotd"));
        command.args(["--serves", "fleet", "--settings"]).arg(&settings).current_dir(root);
        let process = Process::start(&mut command, move |line| {
            use std::io::Write;
            let _ = writeln!(log, "{line}");
            let doc: Value = serde_json::from_str(line).unwrap_or_default();
            let address = |name: &str| doc["kvs"][name].as_str().and_then(|a| a.parse().ok());
            if let (Some(callers), Some(ready)) = (address("callers"), address("ready")) {
                let _ = tx.send((callers, ready));
            }
        })?;
        let (callers, ready) = rx
            .recv_timeout(Duration::from_secs(10))
            .map_err(|e| format!("{name} does not log its addresses: {e}"))?;
        let daemon = Self { process, callers, ready };
        wait_for(&format!("{name} is ready"), Duration::from_secs(15), || daemon.is_ready())?;
        Ok(daemon)
    }

    /// Asks the daemon whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        caller::send(self.ready, request, Duration::from_secs(1)).status == 200
    }
}

fn settings_text(name: &str, store: SocketAddr) -> String {
    format!(
        "name: {name}\navailability_zone: z1\nlisten:\n  callers: 127.0.0.1:0\n  \
         ready: 127.0.0.1:0\n  host: 127.0.0.1\n  peers_port: 0\n  metrics_port: 0\n\
         regions: {{\"z1\": \"r1\"}}\nstore: \"{store}\"\nlink_mbps: 1000.0\nbounds:\n  \
         order_turn: 3000ms\n  retry_ratio: 0.2\n  retry_slack: 52\n  retry_window: 10s\n  \
         leave_within: 2000ms\n  config_within: 2000ms\n  heartbeat: 1200ms\n  \
         recover_within: 3000ms\n  stop_grace: 8s\nscheduling:\n  store_outage: continue\n  \
         weight_store: observed\n  target_choice: expected_time\n  room: tokens\n  \
         admission: ordered\nlimits:\n  idle_timeout: 60s\n"
    )
}
