//! Statistics of the planner's message exchange with other daemons, for its log.

use std::time::Duration;

use tansyknot_core::{clock::Time, event};

/// How often the planner logs its statistics. One line every two seconds from a single daemon is
/// cheap, and an overload of one second still shows.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Counts of datagrams and their bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Volume {
    datagrams: u64,
    bytes: u64,
}

impl Volume {
    pub(super) fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

/// Number, total and maximum of the durations of one kind of work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timing {
    count: u32,
    total: Duration,
    longest: Duration,
}

impl Timing {
    pub(super) fn add(&mut self, duration: Duration) {
        self.count += 1;
        self.total += duration;
        self.longest = self.longest.max(duration);
    }
}

/// Traffic and time spent since the last log line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CoordinationStats {
    since: Time,
    pub(super) sent: Volume,
    pub(super) received: Volume,
    /// Planning rounds.
    pub(super) planning: Timing,
    /// Publishing updates to all daemons, including time blocked in sending.
    pub(super) publishing: Timing,
    /// Delays of heartbeats against their schedule.
    pub(super) heartbeat_delay: Timing,
}

impl CoordinationStats {
    /// Logs the statistics of a planner of `daemons` daemons and resets them, if a line is due.
    pub(super) fn log(&mut self, daemons: usize, now: Time) {
        if now.since(self.since) < LOG_INTERVAL {
            return;
        }
        event::FLEET_CONVERSATION.emit(&[
            ("daemons", &daemons),
            ("span_ms", &now.since(self.since).as_millis()),
            ("datagrams_out", &self.sent.datagrams),
            ("bytes_out", &self.sent.bytes),
            ("datagrams_in", &self.received.datagrams),
            ("bytes_in", &self.received.bytes),
            ("rounds", &self.planning.count),
            ("rounds_ms", &self.planning.total.as_millis()),
            ("round_most_ms", &self.planning.longest.as_millis()),
            ("tellings", &self.publishing.count),
            ("tellings_ms", &self.publishing.total.as_millis()),
            ("telling_most_ms", &self.publishing.longest.as_millis()),
            ("beat_late_most_ms", &self.heartbeat_delay.longest.as_millis()),
        ]);
        *self = Self { since: now, ..Self::default() };
    }
}
