//! A stand-in for the weight store. It starts up to three loads per second, and up to four
//! concurrent loads run at full speed.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tansyknot_edge::http::{
    respond::ConnectionAction,
    server::{Handler, Request},
};

use crate::server::{self, RunningServer};

/// Number of concurrent loads that run at full speed.
const MAX_FULL_SPEED_LOADS: u32 = 4;

/// Faults that the weight store can simulate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightFaults {
    /// The factor by which every load takes longer. Zero counts as one.
    pub slow_factor: u32,
}

/// The state of a weight store.
pub struct WeightState {
    load_ms: u64,
    loads_per_s: u32,
    next_start: Mutex<Option<Instant>>,
    running: Mutex<u32>,
    /// The enabled faults.
    pub faults: Mutex<WeightFaults>,
}

impl WeightState {
    /// Creates a store whose loads take `load_ms` at full speed.
    pub fn new(load_ms: u64, loads_per_s: u32) -> Self {
        Self {
            load_ms,
            loads_per_s: loads_per_s.max(1),
            next_start: Mutex::default(),
            running: Mutex::default(),
            faults: Mutex::default(),
        }
    }

    /// Waits until the rate limit allows the load to start.
    fn wait_for_start(&self) {
        let wait = {
            let mut next = self.next_start.lock().expect("no holder of the lock panics");
            let now = Instant::now();
            let start = next.unwrap_or(now).max(now);
            *next = Some(start + Duration::from_secs(1) / self.loads_per_s);
            start.saturating_duration_since(now)
        };
        thread::sleep(wait);
    }

    /// Blocks for the duration of a load, which depends on the number of concurrent loads.
    pub fn load(&self) {
        self.wait_for_start();
        let concurrent = {
            let mut running = self.running.lock().expect("no holder of the lock panics");
            *running += 1;
            *running
        };
        let slow_factor =
            self.faults.lock().expect("no holder of the lock panics").slow_factor.max(1);
        let slowdown = u64::from(concurrent.div_ceil(MAX_FULL_SPEED_LOADS));
        thread::sleep(Duration::from_millis(self.load_ms * slowdown * u64::from(slow_factor)));
        *self.running.lock().expect("no holder of the lock panics") -= 1;
    }
}

impl Handler for WeightState {
    fn handle(
        &self,
        req: Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        if let Some(result) = server::handle_faults(&req, stream, after, &self.faults) {
            return result;
        }
        self.load();
        server::json(stream, after, 200, &())
    }
}

/// Starts a weight store on `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(address: SocketAddr, load_ms: u64) -> io::Result<(RunningServer, Arc<WeightState>)> {
    const LOADS_PER_S: u32 = 3;
    let state = Arc::new(WeightState::new(load_ms, LOADS_PER_S));
    let running = server::start(address, Arc::clone(&state) as Arc<dyn Handler>)?;
    Ok((running, state))
}
