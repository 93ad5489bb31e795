//! What is told to whom, in which datagrams.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tansyknot_core::{clock::Time, name::TargetName};

use super::Conductor;
use crate::{
    fleet::Whole,
    news::ListRead,
    pace::Occasion,
    peer::{self, Message, News, TargetNote, millis},
    plan::DAEMON_SPAN,
};

/// News of a target is repeated this long, as datagrams get lost.
const NOTE_SPAN: Duration = Duration::from_millis(700);

/// What this daemon has told as the planner.
#[derive(Default)]
pub(super) struct Told {
    /// The revisions told, and when first.
    notes: HashMap<TargetName, (u64, Time)>,
    /// The number of the last change of the list, and the configuration's version.
    versions: (u64, u64),
    /// The number of the last demand or news.
    beat: u32,
    pub(super) peers: HashMap<SocketAddr, Time>,
    pub(super) was_planner: bool,
}

impl Told {
    /// Returns the number of the next demand or news.
    pub(super) fn next_beat(&mut self) -> u32 {
        self.beat += 1;
        self.beat
    }
}

impl Conductor {
    /// Tells all daemons what is new, or on a beat all that may have been lost.
    pub(super) fn send_news(&self, occasion: Occasion, now: Time) {
        let mut notes = self.state.fleet().notes();
        let (after, beat, peers): (u64, u32, Vec<SocketAddr>) = {
            let mut told = self.told();
            let list = self.state.fleet().log.last();
            let config = self.state.catalog().map_or(0, |c| c.version);
            // Between two beats only what is new is told; a beat repeats what may have been lost.
            let after = match occasion {
                Occasion::Beat => 0,
                Occasion::Change => told.versions.0,
            };
            let has_changed = keep_news(&mut told, &mut notes, occasion, now)
                | (std::mem::replace(&mut told.versions, (list, config)) != (list, config));
            if occasion == Occasion::Change && !has_changed {
                return;
            }
            told.peers.retain(|_, heard| now.since(*heard) < DAEMON_SPAN);
            (after, told.next_beat(), told.peers.keys().copied().collect())
        };
        let (daemons, loads, coming) = {
            let planner = self.planner();
            (planner.daemons(), planner.loads(), planner.coming(now))
        };
        let fence = self.lease.fence();
        let contacts = *self.state.contacts();
        let list = {
            let mut fleet = self.state.fleet();
            fleet.daemons = daemons.max(1);
            fleet.note_loads(Whole { fence, beat }, &loads, &coming, now);
            let read = ListRead { age: age(contacts.list, now), version: contacts.list_version };
            fleet.log.news(after, read, now)
        };
        let renewed = self.lease.renewed();
        let mut news = News {
            fence,
            beat,
            lease_version: renewed.map_or(0, |(version, _)| version),
            lease_age_ms: millis(age(renewed.map(|(_, at)| at), now)),
            daemons: u16::try_from(daemons).unwrap_or(u16::MAX),
            config: self.state.catalog().map_or(0, |c| c.version),
            config_age_ms: millis(age(contacts.config, now)),
            list,
            targets: notes,
            coming,
            loads,
        };
        news.trim(peers.len());
        self.send(Message::News(news), &peers);
    }

    /// Sends a message to each of `peers`, in as many datagrams as it takes.
    pub(super) fn send(&self, message: Message, peers: &[SocketAddr]) {
        let parts = peer::datagrams(message);
        for peer in peers {
            for bytes in &parts {
                if let Err(e) = self.socket.send_to(bytes, peer) {
                    log::debug!("a datagram to {peer} was not sent: {e}");
                }
            }
        }
    }
}

/// Returns how long ago `at` was; without one, longer than anything counts.
fn age(at: Option<Time>, now: Time) -> Duration {
    at.map_or(Duration::MAX, |at| now.since(at))
}

/// Keeps the notes that have not been told for long; tells whether one is new.
fn keep_news(told: &mut Told, notes: &mut Vec<TargetNote>, occasion: Occasion, now: Time) -> bool {
    let mut has_changed = false;
    notes.retain(|n| {
        let known = told.notes.get(&n.target).filter(|(revision, _)| *revision == n.revision);
        let Some((_, first)) = known else {
            told.notes.insert(n.target.clone(), (n.revision, now));
            has_changed = true;
            return true;
        };
        occasion == Occasion::Beat && now.since(*first) < NOTE_SPAN
    });
    has_changed
}
