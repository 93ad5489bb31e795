//! Notifications between the threads of a daemon.

use std::{
    sync::{Condvar, Mutex},
    time::Duration,
};

/// A counter of notifications that other threads can wait on.
#[derive(Debug, Default)]
pub struct Notifier {
    count: Mutex<u64>,
    changed: Condvar,
}

impl Notifier {
    /// Wakes all waiting threads.
    pub fn notify(&self) {
        *self.count.lock().expect("no holder of the lock panics") += 1;
        self.changed.notify_all();
    }

    /// Waits up to `timeout` until the count differs from `seen`; returns the count for the next
    /// wait.
    pub fn wait(&self, seen: u64, timeout: Duration) -> u64 {
        let count = self.count.lock().expect("no holder of the lock panics");
        let (count, _) = self
            .changed
            .wait_timeout_while(count, timeout, |count| *count == seen)
            .expect("no holder of the lock panics");
        *count
    }

    /// Returns the number of notifications so far.
    pub fn count(&self) -> u64 {
        *self.count.lock().expect("no holder of the lock panics")
    }
}
