//! Questions to other daemons about the origins of streams that callers resume here.

use std::{collections::HashMap, net::SocketAddr};

use super::records::StreamKey;

/// The state of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Some of the asked daemons have not replied.
    Waiting,
    /// All asked daemons have replied that they do not know the stream, or there are none.
    Unknown,
}

#[derive(Debug, Default)]
struct Lookup {
    /// The requests that wait for the reply.
    requests: u32,
    /// The daemons that were asked.
    asked: Vec<SocketAddr>,
    /// Those that do not know the stream.
    unknowing: Vec<SocketAddr>,
}

/// The open questions of this daemon.
#[derive(Debug, Default)]
pub struct Lookups {
    open: HashMap<StreamKey, Lookup>,
}

impl Lookups {
    /// Registers a request that needs the origin of a stream.
    pub fn begin(&mut self, stream: StreamKey) {
        self.open.entry(stream).or_default().requests += 1;
    }

    /// Records the daemons that keep the origin; returns those that have to be asked, as they have not
    /// replied.
    pub fn record_asked(&mut self, stream: StreamKey, keepers: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let Some(lookup) = self.open.get_mut(&stream) else { return Vec::new() };
        lookup.asked = keepers;
        let has_replied = |keeper: &SocketAddr| lookup.unknowing.contains(keeper);
        lookup.asked.iter().copied().filter(|keeper| !has_replied(keeper)).collect()
    }

    /// Records that a daemon does not know the stream; returns whether a request waits for it.
    pub fn record_unknown(&mut self, stream: StreamKey, from: SocketAddr) -> bool {
        let Some(lookup) = self.open.get_mut(&stream) else { return false };
        lookup.unknowing.push(from);
        true
    }

    /// Returns the state of a question.
    pub fn progress(&self, stream: StreamKey) -> Progress {
        let is_unknown = |l: &Lookup| l.asked.iter().all(|asked| l.unknowing.contains(asked));
        let is_unknown = self.open.get(&stream).is_some_and(is_unknown);
        if is_unknown { Progress::Unknown } else { Progress::Waiting }
    }

    /// Removes a request that no longer needs the origin.
    pub fn end(&mut self, stream: StreamKey) {
        let Some(lookup) = self.open.get_mut(&stream) else { return };
        lookup.requests -= 1;
        if lookup.requests == 0 {
            self.open.remove(&stream);
        }
    }
}
