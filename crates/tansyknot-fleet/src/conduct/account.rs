//! What the conversation between daemons costs the planner, for its log.

use std::time::Duration;

use tansyknot_core::{clock::Time, event};

/// How often the planner logs its account: a line each two seconds of one daemon is few, and a
/// second that binds still shows in it.
const EVERY: Duration = Duration::from_secs(2);

/// Datagrams and their bytes.
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

/// Spans of one kind of work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spent {
    times: u32,
    sum: Duration,
    most: Duration,
}

impl Spent {
    pub(super) fn add(&mut self, span: Duration) {
        self.times += 1;
        self.sum += span;
        self.most = self.most.max(span);
    }
}

/// What was sent, received and spent since the last line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Account {
    since: Time,
    pub(super) sent: Volume,
    pub(super) received: Volume,
    /// Rounds of planning.
    pub(super) planning: Spent,
    /// Telling all daemons, the blocking in sending with it.
    pub(super) telling: Spent,
    /// How late beats began.
    pub(super) lateness: Spent,
}

impl Account {
    /// Logs the account of the planner of `daemons` if it is due, and begins a new one.
    pub(super) fn log(&mut self, daemons: usize, now: Time) {
        if now.since(self.since) < EVERY {
            return;
        }
        event::FLEET_CONVERSATION.emit(&[
            ("daemons", &daemons),
            ("span_ms", &now.since(self.since).as_millis()),
            ("datagrams_out", &self.sent.datagrams),
            ("bytes_out", &self.sent.bytes),
            ("datagrams_in", &self.received.datagrams),
            ("bytes_in", &self.received.bytes),
            ("rounds", &self.planning.times),
            ("rounds_ms", &self.planning.sum.as_millis()),
            ("round_most_ms", &self.planning.most.as_millis()),
            ("tellings", &self.telling.times),
            ("tellings_ms", &self.telling.sum.as_millis()),
            ("telling_most_ms", &self.telling.most.as_millis()),
            ("beat_late_most_ms", &self.lateness.most.as_millis()),
        ]);
        *self = Self { since: now, ..Self::default() };
    }
}
