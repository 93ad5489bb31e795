//! A stand-in for the platform's list of hosts.

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
    respond::{self, ConnectionAction, FullResponse},
    server::{Handler, Request},
};

use crate::server::{self, RunningServer};

/// Faults that the list can simulate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsFaults {
    /// The list responds with an error.
    pub down: bool,
    /// The delay in milliseconds after which a change becomes visible.
    pub lag_ms: u64,
}

struct Change {
    at: Instant,
    targets: Vec<Target>,
}

/// The state of the list of hosts.
#[derive(Default)]
pub struct HostsState {
    changes: Mutex<Vec<Change>>,
    /// The enabled faults.
    pub faults: Mutex<HostsFaults>,
}

#[derive(Deserialize)]
struct MarkRequest {
    target: TargetName,
    state: Option<HostState>,
}

impl HostsState {
    /// Replaces the list.
    pub fn set(&self, targets: Vec<Target>) {
        let mut changes = self.changes.lock().expect("no holder of the lock panics");
        changes.push(Change { at: Instant::now(), targets });
    }

    /// Sets the state of a target, or removes the target from the list if `state` is `None`.
    pub fn set_state(&self, name: &TargetName, state: Option<HostState>) {
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

    /// Responds with the list, or with status 304 if the client has the list with the same `ETag`.
    fn respond_with_list(
        &self,
        req: &Request,
        stream: &TcpStream,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        let body = serde_json::to_vec(&self.list())?;
        let etag = format!("\"{:016x}\"", xxhash_rust::xxh3::xxh3_64(&body));
        let is_unchanged = req.head.header("if-none-match") == Some(etag.as_str());
        let response = FullResponse {
            status: if is_unchanged { 304 } else { 200 },
            content_type: "application/json".to_owned(),
            headers: vec![("etag".to_owned(), etag)],
            body: if is_unchanged { Vec::new() } else { body },
        };
        respond::write_response(stream, &response, after)?;
        Ok(after)
    }

    /// Returns the list that is visible now.
    pub fn list(&self) -> Vec<Target> {
        let lag = self.faults.lock().expect("no holder of the lock panics").lag_ms;
        let lag = Duration::from_millis(lag);
        let changes = self.changes.lock().expect("no holder of the lock panics");
        let visible = changes.iter().rev().find(|c| c.at.elapsed() >= lag).or(changes.first());
        visible.map(|c| c.targets.clone()).unwrap_or_default()
    }
}

impl Handler for HostsState {
    fn handle(
        &self,
        req: Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        if let Some(result) = server::handle_faults(&req, stream, after, &self.faults) {
            return result;
        }
        if self.faults.lock().expect("no holder of the lock panics").down {
            return server::json(stream, after, 503, &"down");
        }
        match (req.head.method.as_str(), req.head.path.as_str()) {
            ("GET", "/hosts") => self.respond_with_list(&req, stream, after),
            ("POST", "/hosts") => {
                self.set(server::parse_body(&req)?);
                server::json(stream, after, 200, &())
            }
            ("POST", "/mark") => {
                let request: MarkRequest = server::parse_body(&req)?;
                self.set_state(&request.target, request.state);
                server::json(stream, after, 200, &())
            }
            _ => server::json(stream, after, 404, &"no such page"),
        }
    }
}

/// Starts a list of hosts on `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(address: SocketAddr) -> io::Result<(RunningServer, Arc<HostsState>)> {
    let state = Arc::new(HostsState::default());
    let running = server::start(address, Arc::clone(&state) as Arc<dyn Handler>)?;
    Ok((running, state))
}
