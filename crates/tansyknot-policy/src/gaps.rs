//! The idle gaps of a service: the times between two uses.

use std::time::Duration;

/// Maximum number of gaps stored for each service; the oldest is overwritten.
const MAX_GAPS: usize = 48;

/// The latest idle gaps of one service, in whole seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gaps {
    seconds: Vec<u32>,
    next: usize,
}

impl Gaps {
    /// Records a gap; replaces the oldest one if the maximum number is stored.
    pub fn record(&mut self, gap: Duration) {
        let s = u32::try_from(gap.as_secs()).unwrap_or(u32::MAX);
        if self.seconds.len() < MAX_GAPS {
            self.seconds.push(s);
            return;
        }
        self.seconds[self.next] = s;
        self.next = (self.next + 1) % MAX_GAPS;
    }

    /// Returns the number of stored gaps.
    pub fn len(&self) -> usize {
        self.seconds.len()
    }

    /// Returns whether no gap is stored.
    pub fn is_empty(&self) -> bool {
        self.seconds.is_empty()
    }

    /// Returns the stored gaps in seconds, in ascending order.
    pub fn sorted(&self) -> Vec<u32> {
        let mut gaps = self.seconds.clone();
        gaps.sort_unstable();
        gaps
    }
}
