//! Background loops: a thread each, at a steady pace, until told to stop.

use std::{
    sync::{Arc, Condvar, Mutex},
    thread::{self, JoinHandle},
    time::Duration,
};

/// Tells loops to stop.
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

    /// Tells whether loops are to stop.
    pub fn is_set(&self) -> bool {
        *self.stopped.lock().expect("no holder of the lock panics")
    }

    /// Waits for `span` or until told to stop; tells whether to stop.
    pub fn wait(&self, span: Duration) -> bool {
        let stopped = self.stopped.lock().expect("no holder of the lock panics");
        let (stopped, _) = self
            .changed
            .wait_timeout_while(stopped, span, |stopped| !*stopped)
            .expect("no holder of the lock panics");
        *stopped
    }
}

/// Runs `f` at once and then every `span` until `stop` is set.
///
/// # Panics
///
/// Panics if the system has no thread left, which the start of a daemon can't outlive.
pub fn every(
    name: &str,
    span: Duration,
    stop: &Arc<StopFlag>,
    mut f: impl FnMut() + Send + 'static,
) -> JoinHandle<()> {
    let stop = Arc::clone(stop);
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            while !stop.is_set() {
                f();
                if stop.wait(span) {
                    return;
                }
            }
        })
        .expect("the system has a thread left at the start")
}
