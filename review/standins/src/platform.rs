//! The platform: its store, and the entries of runners, which it keeps as the runners would.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    process::Command,
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use serde_json::{Value, json};
use tansyknot_adapter_standins::store::Store;

use crate::{Process, record::Record};

/// The interval at which runners write their entries.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A runner's process, and what its entry says.
struct Member {
    process: Process,
    entry: Value,
    /// Heartbeats since its end; it no longer writes its entry then.
    silent: u32,
}

/// The runners of the platform and their entries in the store.
#[derive(Clone)]
pub struct Runners {
    store: Store,
    record: Record,
    members: Arc<Mutex<BTreeMap<String, Member>>>,
    /// How often each request has begun to run.
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Runners {
    /// Keeps the entries of runners in `store`.
    pub fn new(store: Store, record: Record) -> Self {
        let runners = Self { store, record, members: Arc::default(), runs: Arc::default() };
        let heartbeats = runners.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                heartbeats.beat();
            }
        });
        runners
    }

    /// Returns these runners with a place where they count their runs of each request.
    #[must_use]
    pub fn with_runs(self, runs: Arc<Mutex<BTreeMap<String, u32>>>) -> Self {
        Self { runs, ..self }
    }

    /// Starts a runner's process with `args` and writes its entry.
    pub fn start(
        &self,
        temp: &Path,
        id: &str,
        service: &str,
        models: &[&str],
        args: &[&str],
    ) -> Result<(), String> {
        let (tx, rx) = mpsc::channel();
        let exe = std::env::current_exe().map_err(|e| e.to_string())?.with_file_name("runner");
        let record = self.record.clone();
        let (name, runs) = (id.to_owned(), Arc::clone(&self.runs));
        let mut command = Command::new(exe);
        command.arg(id).args(args).current_dir(temp);
        let process =
            Process::start(&mut command, move |line| match line.strip_prefix("listening ") {
                Some(address) => drop(tx.send(address.to_owned())),
                None => {
                    record.line(&format!("runner {name} {line}"));
                    let run = line.strip_prefix("runs ").and_then(|l| l.split(' ').next());
                    if let Some(id) = run {
                        let mut runs = runs.lock().expect("no holder panics");
                        *runs.entry(id.to_owned()).or_default() += 1;
                    }
                }
            })?;
        let address = rx.recv_timeout(Duration::from_secs(5)).map_err(|e| e.to_string())?;
        let address: SocketAddr = address.parse().map_err(|_| "no address")?;
        let models: Vec<Value> = models
            .iter()
            .map(|name| json!({ "name": name, "version": 1, "adapters": [] }))
            .collect();
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "z1", "version": "v1",
            "slots": 64, "state": "ready", "seq-no": 1, "cold-left-ms": 0, "stage": "combined",
            "models": models, "at-hand": { "in-memory": [], "on-disk": [] },
        });
        self.store.put("servers", id, &entry);
        self.record.line(&format!("platform: entry of {id} is there, ready, at {address}"));
        let member = Member { process, entry, silent: 0 };
        self.members.lock().expect("no holder panics").insert(id.to_owned(), member);
        Ok(())
    }

    /// Has a runner report that it is draining and is gone after `remaining`.
    pub fn drain(&self, id: &str, remaining: Duration) {
        let mut members = self.members.lock().expect("no holder panics");
        let member = members.get_mut(id).expect("the runner is there");
        member.entry["state"] = json!("draining");
        member.entry["remaining-ms"] = json!(remaining.as_millis() as u64);
        self.store.put("servers", id, &member.entry);
        self.record.line(&format!("platform: {id} reports draining, gone in {remaining:?}"));
    }

    /// Kills a runner's process.
    pub fn kill(&self, id: &str) {
        let mut members = self.members.lock().expect("no holder panics");
        members.get_mut(id).expect("the runner is there").process.kill();
        self.record.line(&format!("platform: {id} is gone (killed)"));
    }

    /// Has runners that run write their entries, and removes the entries of those that have been
    /// silent for three heartbeats.
    fn beat(&self) {
        let mut members = self.members.lock().expect("no holder panics");
        members.retain(|id, member| {
            if !member.process.has_ended() {
                let seq_no = member.entry["seq-no"].as_u64().unwrap_or(0) + 1;
                member.entry["seq-no"] = json!(seq_no);
                self.store.put("servers", id, &member.entry);
                return true;
            }
            member.silent += 1;
            if member.silent < 3 {
                return true;
            }
            self.store.remove("servers", id);
            self.record.line(&format!("platform: entry of {id} is removed"));
            false
        });
    }
}
