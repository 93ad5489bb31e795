//! The idle gaps of a service: how long it was unused between uses.

use std::time::Duration;

/// Gaps remembered for each service; older ones are forgotten.
const REMEMBERED: usize = 48;

/// The latest idle gaps of one service, in whole seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gaps {
    seconds: Vec<u32>,
    next: usize,
}

impl Gaps {
    /// Records a gap, in place of the oldest if the memory is full.
    pub fn record(&mut self, gap: Duration) {
        let s = u32::try_from(gap.as_secs()).unwrap_or(u32::MAX);
        if self.seconds.len() < REMEMBERED {
            self.seconds.push(s);
            return;
        }
        self.seconds[self.next] = s;
        self.next = (self.next + 1) % REMEMBERED;
    }

    /// Returns the number of gaps remembered.
    pub fn len(&self) -> usize {
        self.seconds.len()
    }

    /// Tells whether no gap is remembered.
    pub fn is_empty(&self) -> bool {
        self.seconds.is_empty()
    }

    /// Returns the gaps in ascending order, in seconds.
    pub fn sorted(&self) -> Vec<u32> {
        let mut gaps = self.seconds.clone();
        gaps.sort_unstable();
        gaps
    }
}
