//! Background loops: each runs periodically on a thread of its own until it is stopped.

use std::{
    sync::{Arc, Condvar, Mutex},
    thread::{self, JoinHandle},
    time::Duration,
};

/// A flag that stops the background loops.
#[derive(Debug, Default)]
pub struct StopFlag {
    stopped: Mutex<bool>,
    changed: Condvar,
}

impl StopFlag {
    /// Stops every loop.
    pub fn set(&self) {
        *self.stopped.lock().expect("no holder of the lock panics") = true;
        self.changed.notify_all();
    }

    /// Returns whether the loops are to stop.
    pub fn is_set(&self) -> bool {
        *self.stopped.lock().expect("no holder of the lock panics")
    }

    /// Waits until the flag is set or `timeout` has passed; returns whether the flag is set.
    pub fn wait(&self, timeout: Duration) -> bool {
        let stopped = self.stopped.lock().expect("no holder of the lock panics");
        let (stopped, _) = self
            .changed
            .wait_timeout_while(stopped, timeout, |stopped| !*stopped)
            .expect("no holder of the lock panics");
        *stopped
    }
}

/// Spawns a thread that runs `f` at once and then after each `interval`, until `stop` is set.
///
/// # Panics
///
/// Panics if the thread can't be spawned; a daemon can't start without it.
pub fn spawn_periodic(
    name: &str,
    interval: Duration,
    stop: &Arc<StopFlag>,
    mut f: impl FnMut() + Send + 'static,
) -> JoinHandle<()> {
    let stop = Arc::clone(stop);
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            while !stop.is_set() {
                f();
                if stop.wait(interval) {
                    return;
                }
            }
        })
        .expect("a loop thread can be spawned at startup")
}
