//! A stand-in of the platform's list of hosts.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    host::{HostState, Target},
    name::TargetName,
};
use tansyknot_edge::http::{
    respond::{self, After, Whole},
    server::{Handler, Request},
};

use crate::server::{self, Running};

/// Faults of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsFaults {
    /// The list does not answer.
    pub down: bool,
    /// A change shows this much later.
    pub lag_ms: u64,
}

struct Change {
    at: Instant,
    targets: Vec<Target>,
}

/// The list.
#[derive(Default)]
pub struct HostsState {
    changes: Mutex<Vec<Change>>,
    /// The faults that are switched on.
    pub faults: Mutex<HostsFaults>,
}

#[derive(Deserialize)]
struct Marking {
    target: TargetName,
    state: Option<HostState>,
}

impl HostsState {
    /// Replaces the list.
    pub fn set(&self, targets: Vec<Target>) {
        let mut changes = self.changes.lock().expect("no holder of the lock panics");
        changes.push(Change { at: Instant::now(), targets });
    }

    /// Marks a target, or removes it from the list if `state` is `None`.
    pub fn mark(&self, name: &TargetName, state: Option<HostState>) {
        let mut changes = self.changes.lock().expect("no holder of the lock panics");
        let mut targets = changes.last().map(|c| c.targets.clone()).unwrap_or_default();
        match state {
            Some(state) => {
                targets.iter_mut().filter(|t| t.name == *name).for_each(|t| t.state = state);
            }
            None => targets.retain(|t| t.name != *name),
        }
        changes.push(Change { at: Instant::now(), targets });
    }

    /// Answers with the list, or that it is still the one with the caller's `ETag`.
    fn answer_list(
        &self,
        req: &Request,
        stream: &mut TcpStream,
        after: After,
    ) -> io::Result<After> {
        let body = serde_json::to_vec(&self.list())?;
        let etag = format!("\"{:016x}\"", xxhash_rust::xxh3::xxh3_64(&body));
        let same = req.head.header("if-none-match") == Some(etag.as_str());
        let answer = Whole {
            status: if same { 304 } else { 200 },
            content_type: "application/json".to_owned(),
            headers: vec![("etag".to_owned(), etag)],
            body: if same { Vec::new() } else { body },
        };
        respond::write_whole(stream, &answer, after)?;
        Ok(after)
    }

    /// Returns the list as it shows now.
    pub fn list(&self) -> Vec<Target> {
        let lag = self.faults.lock().expect("no holder of the lock panics").lag_ms;
        let lag = Duration::from_millis(lag);
        let changes = self.changes.lock().expect("no holder of the lock panics");
        let shown = changes.iter().rev().find(|c| c.at.elapsed() >= lag).or(changes.first());
        shown.map(|c| c.targets.clone()).unwrap_or_default()
    }
}

impl Handler for HostsState {
    fn handle(&self, req: Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        if let Some(done) = server::faults(&req, stream, after, &self.faults) {
            return done;
        }
        if self.faults.lock().expect("no holder of the lock panics").down {
            return server::json(stream, after, 503, &"down");
        }
        match (req.head.method.as_str(), req.head.path.as_str()) {
            ("GET", "/hosts") => self.answer_list(&req, stream, after),
            ("POST", "/hosts") => {
                self.set(server::parse(&req)?);
                server::json(stream, after, 200, &())
            }
            ("POST", "/mark") => {
                let marking: Marking = server::parse(&req)?;
                self.mark(&marking.target, marking.state);
                server::json(stream, after, 200, &())
            }
            _ => server::json(stream, after, 404, &"no such page"),
        }
    }
}

/// Starts a list on `address`.
///
/// # Errors
///
/// Fails if the address can't be taken.
pub fn start(address: SocketAddr) -> io::Result<(Running, Arc<HostsState>)> {
    let state = Arc::new(HostsState::default());
    let running = server::start(address, Arc::clone(&state) as Arc<dyn Handler>)?;
    Ok((running, state))
}
