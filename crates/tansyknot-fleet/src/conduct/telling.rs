//! What is told to whom, in which datagrams.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use tansyknot_core::{clock::Time, name::TargetName};

use super::Conductor;
use crate::{
    news::{ListNews, ListRead},
    peer::{self, Coming, InFlight, Message, News, TargetNote},
    plan::DAEMON_SPAN,
};

/// News of a target is repeated this long, as datagrams get lost.
const NOTE_SPAN: Duration = Duration::from_millis(700);
/// Targets in one datagram.
const NOTES: usize = 4;
/// Models, or requests in flight, in one datagram.
const ENTRIES: usize = 12;

/// What this daemon has told as the planner.
#[derive(Default)]
pub(super) struct Told {
    /// The revisions told, and when first.
    notes: HashMap<TargetName, (u64, Time)>,
    /// The number of the last change of the list, and the configuration's version.
    versions: (u64, u64),
    pub(super) peers: HashMap<SocketAddr, Time>,
    pub(super) was_planner: bool,
}

/// What all daemons together have at targets, and what is being loaded there.
struct Loads {
    in_flight: Vec<InFlight>,
    coming: Vec<Coming>,
}

impl Conductor {
    /// Tells all daemons what is new, or on a beat all that may have been lost.
    pub(super) fn send_news(&self, is_due: bool, now: Time) {
        let mut notes = self.state.fleet().notes();
        let (after, peers): (u64, Vec<SocketAddr>) = {
            let mut told = self.told();
            let list = self.state.fleet().log.last();
            let config = self.state.catalog().map_or(0, |c| c.version);
            // Between two beats only what is new is told; a beat repeats what may have been lost.
            let after = if is_due { 0 } else { told.versions.0 };
            let has_changed = keep_news(&mut told, &mut notes, is_due, now)
                | (std::mem::replace(&mut told.versions, (list, config)) != (list, config));
            if !is_due && !has_changed {
                return;
            }
            told.peers.retain(|_, heard| now.since(*heard) < DAEMON_SPAN);
            (after, told.peers.keys().copied().collect())
        };
        let (daemons, in_flight, coming) = {
            let planner = self.planner();
            (planner.daemons(), planner.in_flight(), planner.coming(now))
        };
        {
            let mut fleet = self.state.fleet();
            fleet.daemons = daemons.max(1);
            fleet.note_in_flight(&in_flight);
            fleet.note_coming(&coming, now);
        }
        let loads = Loads { in_flight, coming };
        for message in self.messages(after, &notes, &loads, daemons, now) {
            for peer in &peers {
                self.send(&message, *peer);
            }
        }
    }

    /// Makes the news in parts that fit a datagram each.
    fn messages(
        &self,
        after: u64,
        notes: &[TargetNote],
        loads: &Loads,
        daemons: usize,
        now: Time,
    ) -> Vec<Message> {
        let contacts = *self.state.contacts();
        let age = |at: Option<Time>| at.map_or(Duration::MAX, |at| now.since(at));
        let config_age = age(contacts.config).as_millis();
        let renewed = self.lease.renewed();
        let news = News {
            fence: self.lease.fence(),
            lease_version: renewed.map_or(0, |(version, _)| version),
            lease_age_ms: u32::try_from(age(renewed.map(|(_, at)| at)).as_millis())
                .unwrap_or(u32::MAX),
            daemons: u16::try_from(daemons).unwrap_or(u16::MAX),
            config: self.state.catalog().map_or(0, |c| c.version),
            config_age_ms: u32::try_from(config_age).unwrap_or(u32::MAX),
            list: ListNews::default(),
            targets: Vec::new(),
            coming: None,
            in_flight: None,
        };
        let read = ListRead { age: age(contacts.list), version: contacts.list_version };
        let lists = self.state.fleet().log.news(after, read, NOTES, now);
        let mut parts: Vec<News> =
            lists.into_iter().map(|list| News { list, ..news.clone() }).collect();
        let last = parts[parts.len() - 1].list.to;
        let current = ListNews { from: last, to: last, ..parts[0].list.clone() };
        let current = ListNews { changes: Vec::new(), ..current };
        let bare = News { list: current, ..news };
        parts.extend(notes.chunks(NOTES).map(|n| News { targets: n.to_vec(), ..bare.clone() }));
        let coming = Some(loads.coming.iter().take(ENTRIES).cloned().collect());
        let in_flight = Some(largest(&loads.in_flight));
        match &mut parts[..] {
            [only] if only.list.changes.is_empty() => {
                only.coming = coming;
                only.in_flight = in_flight;
            }
            _ => parts.push(News { coming, in_flight, ..bare }),
        }
        parts.into_iter().map(Message::News).collect()
    }

    /// Sends a message in as many datagrams as it takes.
    pub(super) fn send(&self, message: &Message, to: SocketAddr) {
        for part in split(message) {
            let Some(bytes) = peer::encode(&part) else {
                log::warn!("a message to {to} is too long for a datagram");
                continue;
            };
            if let Err(e) = self.socket.send_to(&bytes, to) {
                log::debug!("a datagram to {to} was not sent: {e}");
            }
        }
    }
}

/// Keeps the notes that have not been told for long; tells whether one is new.
fn keep_news(told: &mut Told, notes: &mut Vec<TargetNote>, repeat: bool, now: Time) -> bool {
    let mut has_changed = false;
    notes.retain(|n| {
        let known = told.notes.get(&n.target).filter(|(revision, _)| *revision == n.revision);
        let Some((_, first)) = known else {
            told.notes.insert(n.target.clone(), (n.revision, now));
            has_changed = true;
            return true;
        };
        repeat && now.since(*first) < NOTE_SPAN
    });
    has_changed
}

/// Returns the largest numbers of requests at targets, as many as fit a datagram.
fn largest(in_flight: &[InFlight]) -> Vec<InFlight> {
    let mut largest = in_flight.to_vec();
    largest.sort_by_key(|f| std::cmp::Reverse(f.count));
    largest.truncate(2 * ENTRIES);
    largest
}

/// Splits a message whose lists are long, so that each part fits a datagram.
fn split(message: &Message) -> Vec<Message> {
    let Message::Demand { daemon, incarnation, models, in_flight } = message else {
        return vec![message.clone()];
    };
    if models.len() <= ENTRIES && in_flight.len() <= ENTRIES {
        return vec![message.clone()];
    }
    // Models in use come in several datagrams; requests in flight are a whole in each.
    let rest = largest(in_flight);
    let parts = models.chunks(ENTRIES).map(|models| Message::Demand {
        daemon: Arc::clone(daemon),
        incarnation: Arc::clone(incarnation),
        models: models.to_vec(),
        in_flight: rest.clone(),
    });
    parts.collect()
}
