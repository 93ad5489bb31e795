//! Distribution of evidence about requests under which targets have crashed.
//!
//! A daemon sends new evidence directly to all others, so that it arrives within a round trip
//! whether or not there is a planner. Losses are detected by the digest in each heartbeat, after
//! which the planner and the daemon whose digest differs send each other their evidence again. The
//! planner receives evidence from every daemon, and notifies all of them when the combined evidence
//! convicts a request.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tansyknot_core::clock::Time;
use xxhash_rust::xxh3;

use super::PeerNode;
use crate::{
    dissemination::message::Message,
    fleet::list::ListStatus,
    poison::{
        self, Presence, SuspectTarget, TargetIdentity,
        evidence::{Digest, Evidence},
    },
};

/// How often two daemons with different digests send each other all their convicted requests, at
/// most 11 KB. Digests differ for long only if there are more such requests than a daemon keeps.
const EVIDENCE_RESEND_INTERVAL: Duration = Duration::from_millis(600);
/// How many daemons, on average, reply to one that lacks evidence of a convicted request: a single
/// reply may be lost, and replies of all daemons would be hundreds.
const REPLYING_DAEMONS: u64 = 3;
/// How often targets with an unconfirmed crash are checked. A check reads the local list, which
/// takes microseconds.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often the list is searched for suspect targets while it has not changed: an entry that is
/// retained for now goes without a new version of the list.
const UNCHANGED_LIST_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long to wait for new evidence if no target is under a crash check.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// When all evidence of convicted requests was last sent to each daemon.
#[derive(Default)]
pub(super) struct ResendTimes {
    sent_at: HashMap<SocketAddr, Time>,
}

impl ResendTimes {
    /// Returns whether evidence may be sent to `to` again, and if so records it as sent.
    fn is_due(&mut self, to: SocketAddr, now: Time) -> bool {
        self.sent_at.retain(|_, at| now.since(*at) < EVIDENCE_RESEND_INTERVAL);
        let is_due = !self.sent_at.contains_key(&to);
        if is_due {
            self.sent_at.insert(to, now);
        }
        is_due
    }
}

/// When the list was last searched for suspect targets, and its version then.
#[derive(Default)]
pub(super) struct ListSearch {
    last: Option<(u64, Time)>,
}

impl ListSearch {
    /// Returns whether the list is to be searched again, and if so records it as searched.
    fn is_due(&mut self, version: u64, now: Time) -> bool {
        let is_current = |(last_version, at): (u64, Time)| {
            last_version == version && now.since(at) < UNCHANGED_LIST_CHECK_INTERVAL
        };
        if self.last.is_some_and(is_current) {
            return false;
        }
        self.last = Some((version, now));
        true
    }
}

impl PeerNode {
    /// Sends new evidence to the other daemons as soon as it is found, until the process ends.
    pub fn run_crash_reports(&self) {
        loop {
            let seen = self.state.poison_changed.count();
            self.check_suspect_targets();
            self.publish_evidence();
            let has_suspects = self.state.poison().has_suspect_targets();
            let max_wait = if has_suspects { CRASH_CHECK_INTERVAL } else { IDLE_WAIT };
            self.state.poison_changed.wait(seen, max_wait);
        }
    }

    /// Checks whether suspect targets have ended: targets that closed connections early and whose
    /// address still accepted connections at the first check, and targets at which requests were
    /// abandoned.
    pub fn check_suspect_targets(&self) {
        let now = self.state.now();
        let suspects = self.state.poison().suspect_targets(now);
        let version = self.state.fleet().list_version();
        let is_search_due =
            self.list_search.lock().expect("no holder of the lock panics").is_due(version, now);
        for SuspectTarget { run, identity, is_check_due, has_only_abandoned } in suspects {
            if !is_check_due && !is_search_due {
                continue;
            }
            let status = self.state.fleet().list_status(&identity.name, identity.address);
            let presence = match status {
                ListStatus::Draining => {
                    self.state.poison().record_draining(run);
                    continue;
                }
                ListStatus::Removed => Presence::Gone,
                // The connections of other requests would show the target's end.
                ListStatus::Listed if has_only_abandoned && self.has_requests_at(&identity) => {
                    continue;
                }
                ListStatus::Listed if is_check_due => self.probe(&identity),
                ListStatus::Listed => continue,
            };
            let suspected = self.state.poison().record_check(run, presence, self.state.now());
            poison::report_crash(self.task_runner.recorder.as_ref(), &identity, suspected);
        }
    }

    fn has_requests_at(&self, identity: &TargetIdentity) -> bool {
        self.state.fleet().own_requests(&identity.name) > 0
    }

    fn probe(&self, identity: &TargetIdentity) -> Presence {
        let target = self.state.fleet().target(&identity.name).cloned();
        target.map_or(Presence::Unknown, |target| self.paths.probe(&target))
    }

    /// Sends all other daemons the evidence that has not been sent yet.
    pub fn publish_evidence(&self) {
        let evidence_to_send = self.state.poison().take_unsent();
        self.send_evidence_to_all(evidence_to_send);
    }

    fn send_evidence_to_all(&self, evidence: Vec<Evidence>) {
        if evidence.is_empty() {
            return;
        }
        self.send_parts(Message::Crashes(evidence), &self.other_daemons());
    }

    /// Returns the addresses of all other known daemons, the planner's first.
    pub(super) fn other_daemons(&self) -> Vec<SocketAddr> {
        let planner = self.lease.planner().map(|(_, address)| address);
        let peers = self.state.peers();
        let now = self.state.now();
        let others = peers.all(now).map(|p| p.address).filter(|a| Some(*a) != planner);
        planner.into_iter().chain(others).filter(|address| *address != self.me.address).collect()
    }

    /// Merges evidence from another daemon. Sends it what it lacks, and as the planner notifies all
    /// daemons of requests that are now convicted.
    pub(super) fn handle_crashes(&self, evidence: &[Evidence], from: SocketAddr, now: Time) {
        let merged = self.state.merge_poison(evidence);
        if merged.convicts && self.lease.is_valid(now) {
            let convicted = self.state.poison().convicted();
            let is_received = |item: &Evidence| evidence.iter().any(|e| e.suspect == item.suspect);
            self.send_evidence_to_all(convicted.into_iter().filter(is_received).collect());
        }
        if !merged.lacking.is_empty() && self.is_replier_to(from) {
            self.send_evidence(merged.lacking, from);
        }
    }

    /// Returns whether this daemon is one of the few that reply to `from`.
    fn is_replier_to(&self, from: SocketAddr) -> bool {
        let others = self.state.peers().all(self.state.now()).count() as u64;
        let draw = xxh3::xxh3_64(format!("{from} {}", self.me.address).as_bytes());
        draw % others.max(1) < REPLYING_DAEMONS
    }

    /// Compares the convicted requests of another daemon with this daemon's, and sends it the
    /// evidence of all requests convicted here if the digests differ.
    pub(super) fn compare_poison(&self, theirs: Digest, from: SocketAddr, now: Time) {
        let evidence = {
            let poison = self.state.poison();
            if poison.digest() == theirs {
                return;
            }
            poison.convicted()
        };
        let is_due =
            self.resend_times.lock().expect("no holder of the lock panics").is_due(from, now);
        if is_due && !evidence.is_empty() {
            self.send_evidence(evidence, from);
        }
    }

    fn send_evidence(&self, evidence: Vec<Evidence>, to: SocketAddr) {
        self.send_parts(Message::Crashes(evidence), &[to]);
    }
}
