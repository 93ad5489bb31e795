//! Origins of streams: sent to the daemons that keep them, and asked for when a stream is resumed.

use std::net::SocketAddr;

use tansyknot_core::clock::Time;

use super::PeerNode;
use crate::{
    dissemination::message::Message,
    stream_origin::{
        OriginDirectory,
        records::{StreamKey, StreamRecord},
    },
};

/// How many other daemons keep the origin of a stream. It outlasts the end of as many daemons at once,
/// and each costs a datagram a stream.
const KEEPERS: usize = 4;

impl PeerNode {
    /// Returns the daemons that keep the origin of a stream. One that has just started knows few
    /// others, but the planner.
    fn keepers(&self, stream: StreamKey) -> Vec<SocketAddr> {
        let now = self.state.now();
        let mut keepers = self.state.peers().highest_ranked(stream.short_hash(), KEEPERS, now);
        let planner = self.remote_planner().filter(|planner| !keepers.contains(planner));
        if keepers.len() < KEEPERS {
            keepers.extend(planner);
        }
        keepers
    }

    pub(super) fn handle_origin_query(&self, stream: StreamKey, from: SocketAddr, now: Time) {
        let record = self.state.origins().records.record(stream, now);
        let reply = record.map_or(Message::OriginUnknown(stream), Message::OriginFound);
        self.send_parts(reply, &[from]);
    }

    pub(super) fn handle_origin_found(&self, record: StreamRecord) {
        self.state.record_origin(record);
        self.state.origins_changed.notify();
    }

    pub(super) fn handle_origin_unknown(&self, stream: StreamKey, from: SocketAddr) {
        if self.state.origins().lookups.record_unknown(stream, from) {
            self.state.origins_changed.notify();
        }
    }
}

impl OriginDirectory for PeerNode {
    fn publish(&self, record: &StreamRecord) {
        let keepers = self.keepers(record.stream);
        self.send_parts(Message::StreamBegan(record.clone()), &keepers);
    }

    fn query(&self, stream: StreamKey) {
        let keepers = self.keepers(stream);
        let to = self.state.origins().lookups.record_asked(stream, keepers);
        self.send_parts(Message::OriginQuery(stream), &to);
    }
}
