//! Telling the other daemons of requests under which targets have crashed.
//!
//! What a daemon finds goes straight to all others, so that they know within a round trip whether or
//! not there is a planner. What was lost on the way is found out by the digest that goes with each
//! beat, and sent again between the planner and the daemon that differs. The planner is the one that
//! hears everybody: it tells all when what it has put together convicts a request.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tansyknot_core::clock::Time;
use xxhash_rust::xxh3;

use super::Conductor;
use crate::{
    dissemination::message::Message,
    exchange::{self, LOOK_TIMEOUT},
    fleet::list::Standing,
    poison::{
        self, Doubted, Presence,
        evidence::{Digest, Evidence},
    },
};

/// How often two daemons that differ send each other all that they convict, 11 KB at most. They
/// differ for long only if there are more such requests than each of them keeps.
const RESEND: Duration = Duration::from_millis(600);
/// Daemons that answer one which has not heard of a convicted request: one of them may be lost, and
/// all of them would be hundreds.
const ANSWERERS: u64 = 3;
/// How often targets that may have ended are looked after: the list is looked up, which costs
/// microseconds.
const DOUBT_PACE: Duration = Duration::from_millis(50);
/// How long to wait for something to tell when nothing is.
const IDLE: Duration = Duration::from_secs(60);

/// When each daemon was last sent all that is convicted here.
#[derive(Default)]
pub(super) struct Resent {
    at: HashMap<SocketAddr, Time>,
}

impl Resent {
    /// Tells whether a daemon may be sent it again, and takes it for sent.
    fn is_due(&mut self, to: SocketAddr, now: Time) -> bool {
        self.at.retain(|_, at| now.since(*at) < RESEND);
        let is_due = !self.at.contains_key(&to);
        if is_due {
            self.at.insert(to, now);
        }
        is_due
    }
}

impl Conductor {
    /// Tells others at once what this daemon finds, until the process ends.
    pub fn tell_crashes_on(&self) {
        loop {
            let seen = self.state.poison_changed.count();
            self.look_again();
            self.tell_crashes();
            let has_doubts = self.state.poison().has_doubts();
            let pause = if has_doubts { DOUBT_PACE } else { IDLE };
            self.state.poison_changed.wait(seen, pause);
        }
    }

    /// Finds out of targets that have cut requests off, and that somebody listens for, whether they
    /// have ended.
    pub fn look_again(&self) {
        let doubted = self.state.poison().doubted(self.state.now());
        for Doubted { run, place, is_look_due } in doubted {
            let standing = self.state.fleet().standing(&place.name, place.address);
            let presence = match standing {
                Standing::Leaving => {
                    self.state.poison().leaves(run);
                    continue;
                }
                Standing::Gone => Presence::Gone,
                Standing::Listed if is_look_due => exchange::look(place.address, LOOK_TIMEOUT),
                Standing::Listed => continue,
            };
            let suspected = self.state.poison().looked(run, presence, self.state.now());
            poison::report_end(self.orders.recorder.as_ref(), &place, suspected);
        }
    }

    /// Tells all others what has been found and not been told yet.
    pub fn tell_crashes(&self) {
        let untold = self.state.poison().take_untold();
        self.tell_all_of(untold);
    }

    fn tell_all_of(&self, evidence: Vec<Evidence>) {
        if evidence.is_empty() {
            return;
        }
        self.send_parts(Message::Crashes(evidence), &self.others());
    }

    /// Returns where all other daemons hear, as far as they are known; the planner first.
    pub(super) fn others(&self) -> Vec<SocketAddr> {
        let planner = self.lease.planner().map(|(_, address)| address);
        let peers = self.state.peers();
        let now = self.state.now();
        let others = peers.all(now).map(|p| p.address).filter(|a| Some(*a) != planner);
        planner.into_iter().chain(others).filter(|address| *address != self.me.address).collect()
    }

    /// Takes in what another daemon knows; tells it what it lacks, and all if this is the planner.
    pub(super) fn take_crashes(&self, evidence: &[Evidence], from: SocketAddr, now: Time) {
        let merged = self.state.merge_poison(evidence);
        if merged.convicts && self.lease.is_valid(now) {
            let convicted = self.state.poison().convicted();
            let is_told = |item: &Evidence| evidence.iter().any(|e| e.request == item.request);
            self.tell_all_of(convicted.into_iter().filter(is_told).collect());
        }
        if !merged.lacking.is_empty() && self.answers(from) {
            self.send_crashes(merged.lacking, from);
        }
    }

    /// Tells whether this daemon is one of the few that answer `from`.
    fn answers(&self, from: SocketAddr) -> bool {
        let others = self.state.peers().all(self.state.now()).count() as u64;
        let draw = xxh3::xxh3_64(format!("{from} {}", self.me.address).as_bytes());
        draw % others.max(1) < ANSWERERS
    }

    /// Takes in which requests another daemon convicts; sends it all that are convicted here if it
    /// differs.
    pub(super) fn compare_poison(&self, theirs: Digest, from: SocketAddr, now: Time) {
        let evidence = {
            let poison = self.state.poison();
            if poison.digest() == theirs {
                return;
            }
            poison.convicted()
        };
        let is_due = self.resent.lock().expect("no holder of the lock panics").is_due(from, now);
        if is_due && !evidence.is_empty() {
            self.send_crashes(evidence, from);
        }
    }

    fn send_crashes(&self, evidence: Vec<Evidence>, to: SocketAddr) {
        self.send_parts(Message::Crashes(evidence), &[to]);
    }
}
