//! A stand-in of a plain service that counts each call it ran.

use std::{
    collections::BTreeMap,
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_edge::http::{
    respond::After,
    server::{Handler, Request},
};

use crate::server::{self, Running};

/// Faults of the service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// A call takes this long.
    pub slow_ms: u64,
    /// Calls wait until this is switched off.
    pub hold: bool,
    /// The answer is cut off after the call has run.
    pub cut_answers: bool,
}

/// The service.
#[derive(Default)]
pub struct PlainState {
    runs: Mutex<BTreeMap<String, u64>>,
    /// The faults that are switched on.
    pub faults: Mutex<PlainFaults>,
}

#[derive(Serialize)]
struct Ran<'a> {
    path: &'a str,
    caller: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    traceparent: Option<&'a str>,
    runs: u64,
}

impl PlainState {
    /// Returns how often a call with this body was run.
    pub fn runs(&self, body: &str) -> u64 {
        self.runs.lock().expect("no holder of the lock panics").get(body).copied().unwrap_or(0)
    }
}

impl Handler for PlainState {
    fn handle(&self, req: Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        if let Some(done) = server::faults(&req, stream, after, &self.faults) {
            return done;
        }
        if req.head.path == "/runs" {
            let runs = self.runs.lock().expect("no holder of the lock panics").clone();
            return server::json(stream, after, 200, &runs);
        }
        let faults = self.faults.lock().expect("no holder of the lock panics").clone();
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let runs = {
            let mut runs = self.runs.lock().expect("no holder of the lock panics");
            let count = runs.entry(body).or_default();
            *count += 1;
            *count
        };
        thread::sleep(Duration::from_millis(faults.slow_ms));
        while self.faults.lock().expect("no holder of the lock panics").hold {
            thread::sleep(Duration::from_millis(1));
        }
        if faults.cut_answers {
            stream.shutdown(Shutdown::Both)?;
            return Ok(After::Close);
        }
        let caller = req.head.header("x-caller");
        let traceparent = req.head.header("traceparent");
        let ran = Ran { path: &req.head.path, caller, traceparent, runs };
        server::json(stream, after, 200, &ran)
    }
}

/// Starts a service on `address`.
///
/// # Errors
///
/// Fails if the address can't be taken.
pub fn start(address: SocketAddr) -> io::Result<(Running, Arc<PlainState>)> {
    let state = Arc::new(PlainState::default());
    let running = server::start(address, Arc::clone(&state) as Arc<dyn Handler>)?;
    Ok((running, state))
}
