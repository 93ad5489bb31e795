//! A stand-in of the weight store: about three loads a second, four at once at full speed.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tansyknot_edge::http::{
    respond::After,
    server::{Handler, Request},
};

use crate::server::{self, Running};

/// Loads at once that run at full speed.
const FULL_SPEED: u32 = 4;

/// Faults of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightFaults {
    /// Every load takes this many times as long; zero counts as one.
    pub slow_factor: u32,
}

/// The store.
pub struct WeightState {
    load_ms: u64,
    loads_per_s: u32,
    next_start: Mutex<Option<Instant>>,
    running: Mutex<u32>,
    /// The faults that are switched on.
    pub faults: Mutex<WeightFaults>,
}

impl WeightState {
    /// Makes a store whose loads take `load_ms` at full speed.
    pub fn new(load_ms: u64, loads_per_s: u32) -> Self {
        Self {
            load_ms,
            loads_per_s: loads_per_s.max(1),
            next_start: Mutex::default(),
            running: Mutex::default(),
            faults: Mutex::default(),
        }
    }

    /// Waits for the turn of a load.
    fn await_turn(&self) {
        let wait = {
            let mut next = self.next_start.lock().expect("no holder of the lock panics");
            let now = Instant::now();
            let turn = next.unwrap_or(now).max(now);
            *next = Some(turn + Duration::from_secs(1) / self.loads_per_s);
            turn.saturating_duration_since(now)
        };
        thread::sleep(wait);
    }

    /// Takes as long as a load does with what else is running.
    pub fn load(&self) {
        self.await_turn();
        let at_once = {
            let mut running = self.running.lock().expect("no holder of the lock panics");
            *running += 1;
            *running
        };
        let factor = self.faults.lock().expect("no holder of the lock panics").slow_factor.max(1);
        let share = u64::from(at_once.div_ceil(FULL_SPEED));
        thread::sleep(Duration::from_millis(self.load_ms * share * u64::from(factor)));
        *self.running.lock().expect("no holder of the lock panics") -= 1;
    }
}

impl Handler for WeightState {
    fn handle(&self, req: Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        if let Some(done) = server::faults(&req, stream, after, &self.faults) {
            return done;
        }
        self.load();
        server::json(stream, after, 200, &())
    }
}

/// Starts a store on `address`.
///
/// # Errors
///
/// Fails if the address can't be taken.
pub fn start(address: SocketAddr, load_ms: u64) -> io::Result<(Running, Arc<WeightState>)> {
    const LOADS_PER_S: u32 = 3;
    let state = Arc::new(WeightState::new(load_ms, LOADS_PER_S));
    let running = server::start(address, Arc::clone(&state) as Arc<dyn Handler>)?;
    Ok((running, state))
}
