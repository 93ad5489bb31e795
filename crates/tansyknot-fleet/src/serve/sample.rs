//! A few of many alike, so that a flood of refusals is seen in the logs and does not fill them.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tansyknot_core::clock::Time;

/// Of a flood, as many are let through in a second.
const PER_SECOND: u32 = 20;

/// How many were let through in this second.
#[derive(Debug, Default)]
pub(super) struct Sample(Mutex<(Time, u32)>);

impl Sample {
    /// Tells whether one more is let through.
    pub(super) fn admits(&self, now: Time) -> bool {
        // What is counted is whole whoever panicked with it.
        let mut counted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(counted.0) >= Duration::from_secs(1) {
            *counted = (now, 0);
        }
        counted.1 += 1;
        counted.1 <= PER_SECOND
    }
}
