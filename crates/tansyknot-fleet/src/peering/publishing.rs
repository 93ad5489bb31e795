//! The planner's updates to its followers: their contents, recipients and datagrams.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    metric,
    name::{ModelName, ServiceName, TargetName},
};

use super::PeerNode;
use crate::{
    dissemination::{
        changes::{Change, ListUpdate},
        datagram,
        heartbeat::{self, StepReason},
        message::{Extent, Forward, Message, PendingLoad, PlannerUpdate, TargetLoad, millis},
        peers::{self, PeerEntry},
        recipients::{Recipients, Repair},
        relays::Group,
        scheduling::SchedulingUpdate,
    },
    fleet::UpdateId,
};

/// Updates between two heartbeats carry all loads if these make no more entries than this, summed
/// over all daemons: about 7 KB. Nine daemons and targets make 81 entries. In a fleet that makes
/// 6,900 entries, full loads in each update take half of all bytes between zones.
const MAX_FULL_LOAD_ENTRIES: usize = 500;
/// A load that changes by fewer requests is not published before the next heartbeat. With loads in
/// heartbeats only, loads are too old in a fleet of 77 daemons: 87 % of the requests with an
/// objective of 0.3 s are in time, instead of 91 %. All loads in each update double the bytes
/// between zones.
const MIN_LOAD_CHANGE: u32 = 2;
/// A change of a target's tokens by this number counts as a change by one request, so that the
/// smallest change that is published before the next heartbeat stays within the part of a cache
/// (a tenth, 8,900 tokens or more) that is left free for unannounced requests.
const TOKENS_PER_LOAD_CHANGE: u32 = 4000;
/// Maximum number of loads in an update between two heartbeats, those that changed most: half a
/// datagram. At 264 targets, nearly all loads change each time, and sending all of them takes a
/// third of the bytes to each daemon.
const MAX_CHANGED_LOADS: usize = 40;
/// A new planner begins with the changes that it recorded within this window. The previous planner
/// was active until 1.5 to 2.3 s ago and published earlier changes; a daemon that lacks one
/// reports it.
const UNPUBLISHED_WINDOW: Duration = Duration::from_millis(3000);
/// How long after a change of the planner a daemon's demand contains all signals that it has,
/// because the new planner may lack them: a few heartbeats, as datagrams may be lost.
const NEW_PLANNER_WINDOW: Duration = Duration::from_millis(1000);
/// A pending load whose due time changes by less is not published before the next heartbeat.
const DUE_TIME_TOLERANCE: Duration = Duration::from_millis(200);

/// What an update covers: a later one covers more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PublishedVersions {
    /// The number of the last change of the list.
    list: u64,
    /// The version of the configuration in force.
    config: u64,
    /// The version of the store as of which the drained zones last changed.
    zones: u64,
}

/// What this daemon has published as the planner, and the sequence of its messages.
#[derive(Default)]
pub(super) struct Published {
    /// The revision of each target's override that was published last.
    override_revisions: HashMap<TargetName, u64>,
    /// What was published last.
    versions: PublishedVersions,
    /// The sequence number of the last demand or update.
    seq: u32,
    /// The number of heartbeats published.
    heartbeats: u64,
    /// Until when the links of this daemon or its relays have used up their share for updates.
    links_busy_until: Time,
    /// Whether changes wait until then.
    is_pending: bool,
    /// When pending loads are due, as published last.
    pending_loads: HashMap<(ServiceName, ModelName), Time>,
    /// The load of each target, as published last.
    loads: HashMap<TargetName, TargetLoad>,
    pub(super) recipients: Recipients,
    pub(super) was_planner: bool,
    /// The fencing token under which this daemon last planned.
    planned_fence: u64,
    /// Whether this daemon was the planner only by the promises of its followers.
    was_extended: bool,
    /// The fencing token of the planner that this daemon follows, and since when.
    followed_planner: (u64, Time),
}

impl Published {
    /// Returns the sequence number of the next demand or update.
    pub(super) fn next_seq(&mut self) -> u32 {
        self.seq += 1;
        self.seq
    }

    /// Returns whether the planner with `fence` is new to this daemon, and records it.
    pub(super) fn is_planner_new(&mut self, fence: u64, now: Time) -> bool {
        if self.followed_planner.0 != fence {
            self.followed_planner = (fence, now);
        }
        now.since(self.followed_planner.1) < NEW_PLANNER_WINDOW
    }

    /// Records that this daemon plans under `fence`; returns whether another daemon may have planned
    /// since it last did.
    pub(super) fn begins_term(&mut self, fence: u64) -> bool {
        std::mem::replace(&mut self.planned_fence, fence) != fence
    }

    /// Records whether this daemon is the planner only by the promises of its followers; returns
    /// whether it has just become so.
    pub(super) fn begins_extension(&mut self, is_extended: bool) -> bool {
        !std::mem::replace(&mut self.was_extended, is_extended) && is_extended
    }

    /// Records that this daemon is not the planner, so that no changes wait to be published.
    pub(super) fn stop(&mut self) {
        self.was_planner = false;
        self.is_pending = false;
    }

    /// Returns how long until waiting changes may be published, or `Duration::MAX` if none wait.
    pub(super) fn publish_delay(&self, now: Time) -> Duration {
        if self.is_pending { self.links_busy_until.since(now) } else { Duration::MAX }
    }

    /// Returns the loads and pending loads to publish, and records them as published.
    fn select_entries(
        &mut self,
        extent: Extent,
        loads: Vec<TargetLoad>,
        pending_loads: Vec<PendingLoad>,
        now: Time,
    ) -> (Vec<TargetLoad>, Vec<PendingLoad>) {
        match extent {
            Extent::Full => {
                self.loads = loads.iter().map(|l| (l.target.clone(), l.clone())).collect();
                self.pending_loads =
                    pending_loads.iter().map(|c| (c.key(), c.due_at(now))).collect();
                (loads, pending_loads)
            }
            Extent::Changes => {
                (self.changed_loads(loads), self.changed_pending_loads(pending_loads, now))
            }
        }
    }

    /// Returns the loads that have changed most since they were published, including those of
    /// targets that no longer have requests.
    fn changed_loads(&mut self, loads: Vec<TargetLoad>) -> Vec<TargetLoad> {
        let current: HashSet<TargetName> = loads.iter().map(|load| load.target.clone()).collect();
        let gone = self.loads.keys().filter(|target| !current.contains(*target));
        let gone = gone.map(|target| TargetLoad { target: target.clone(), requests: 0, tokens: 0 });
        let differs = |load: TargetLoad| (difference(self.loads.get(&load.target), &load), load);
        let mut changed: Vec<(u32, TargetLoad)> =
            loads.into_iter().chain(gone).map(differs).collect();
        changed.retain(|(difference, load)| {
            *difference >= MIN_LOAD_CHANGE || (load.requests == 0 && *difference > 0)
        });
        changed.sort_by_key(|(difference, _)| std::cmp::Reverse(*difference));
        changed.truncate(MAX_CHANGED_LOADS);
        let changed: Vec<TargetLoad> = changed.into_iter().map(|(_, load)| load).collect();
        self.loads.extend(changed.iter().map(|load| (load.target.clone(), load.clone())));
        changed
    }

    /// Returns the pending loads that were not published yet, or with another due time.
    fn changed_pending_loads(
        &mut self,
        pending_loads: Vec<PendingLoad>,
        now: Time,
    ) -> Vec<PendingLoad> {
        let is_changed = |c: &PendingLoad| {
            let at = c.due_at(now);
            let published = self.pending_loads.get(&c.key());
            published.is_none_or(|published| {
                at.since(*published).max(published.since(at)) >= DUE_TIME_TOLERANCE
            })
        };
        let changed: Vec<PendingLoad> = pending_loads.into_iter().filter(is_changed).collect();
        self.pending_loads.extend(changed.iter().map(|c| (c.key(), c.due_at(now))));
        changed
    }
}

/// Returns by how many requests a load differs from the published one.
fn difference(published: Option<&TargetLoad>, load: &TargetLoad) -> u32 {
    let (requests, tokens) = published.map_or((0, 0), |l| (l.requests, l.tokens));
    let requests = u32::from(requests.abs_diff(load.requests));
    requests + tokens.abs_diff(load.tokens) / TOKENS_PER_LOAD_CHANGE
}

impl PeerNode {
    /// Starts publishing to the daemons that the previous planner announced.
    pub(super) fn start_publishing(&self, now: Time) {
        let announced: Vec<PeerEntry> = self.state.peers().all(now).cloned().collect();
        let others = announced.into_iter().filter(|p| p.address != self.me.address).collect();
        let since = self.state.fleet().log.number_before(now.saturating_sub(UNPUBLISHED_WINDOW));
        let mut published = self.published();
        published.override_revisions.clear();
        published.versions = PublishedVersions { list: since, ..PublishedVersions::default() };
        published.recipients.begin(others, now);
    }

    /// Publishes changes to all daemons, with all loads in a heartbeat, and sends repairs to
    /// daemons that lack earlier changes.
    pub(super) fn publish(&self, reason: StepReason, now: Time) {
        self.log_overrides(now);
        if self.is_due(reason, now) {
            self.publish_to_all(reason, now);
        }
        let repairs = self.published().recipients.take_repairs(self.lease.fence(), now);
        for repair in repairs {
            self.send_repair(repair, now);
        }
    }

    /// Adds overrides of targets that are new since the last update to the change log.
    fn log_overrides(&self, now: Time) {
        let mut fleet = self.state.fleet();
        let overrides = fleet.overrides();
        let mut published = self.published();
        for target_override in overrides {
            let before = published
                .override_revisions
                .insert(target_override.target.clone(), target_override.revision);
            if before != Some(target_override.revision) {
                // Version 0: an override holds at any version of the list, and a daemon that joins
                // does not need it.
                fleet.log.add(Change::Override(target_override), 0, now);
            }
        }
    }

    /// Returns whether an update is due. Changes wait while links have used up their share; a
    /// heartbeat does not.
    fn is_due(&self, reason: StepReason, now: Time) -> bool {
        let latest = self.latest_versions();
        let mut published = self.published();
        if reason == StepReason::Heartbeat {
            return true;
        }
        published.is_pending = published.versions != latest;
        published.is_pending && now >= published.links_busy_until
    }

    /// Returns what an update that is made now covers.
    fn latest_versions(&self) -> PublishedVersions {
        let config = self.state.catalog().map_or(0, |c| c.version);
        let fleet = self.state.fleet();
        let (list, zones) = (fleet.log.last_number(), fleet.zone_drains().changed_at());
        PublishedVersions { list, config, zones }
    }

    /// Publishes one update to all daemons.
    fn publish_to_all(&self, reason: StepReason, now: Time) {
        let latest = self.latest_versions();
        let (after, seq, peers, count) = {
            let mut published = self.published();
            let PublishedVersions { list: after, .. } =
                std::mem::replace(&mut published.versions, latest);
            published.is_pending = false;
            let peers = if reason == StepReason::Heartbeat {
                self.begin_heartbeat(&mut published, now)
            } else {
                vec![]
            };
            (after, published.next_seq(), peers, published.recipients.len())
        };
        let (daemons, loads, pending_loads) = {
            let planner = self.planner();
            (planner.daemon_count(), planner.loads(), planner.pending_loads(now))
        };
        let update_id = UpdateId { fence: self.lease.fence(), seq };
        {
            let mut fleet = self.state.fleet();
            fleet.raise_daemon_count(daemons);
            fleet.apply_loads(update_id, &loads, &pending_loads, now);
        }
        let extent = extent(reason, loads.len() * count);
        let (loads, pending_loads) =
            self.published().select_entries(extent, loads, pending_loads, now);
        let list = self.changes_between(after, u64::MAX, now);
        let signals = self.state.fleet().signals(now);
        let scheduling = self.scheduling_update(reason, update_id, now);
        let mut update = PlannerUpdate {
            extent,
            peers,
            pending_loads,
            loads,
            signals,
            scheduling,
            ..self.new_update(seq, list, now)
        };
        update.trim();
        let parts = datagram::datagrams(Message::Update(update));
        let groups = self.published().recipients.groups().to_vec();
        let relay_busy = groups.iter().map(|group| self.send_to_group(&parts, group, seq)).max();
        let bytes: usize = parts.iter().map(Vec::len).sum();
        let own_busy = heartbeat::link_time(bytes * groups.len(), self.me.link_mbps);
        self.published().links_busy_until = now + own_busy.max(relay_busy.unwrap_or_default());
    }

    /// Begins a heartbeat; returns the daemons that it announces.
    fn begin_heartbeat(&self, published: &mut Published, now: Time) -> Vec<PeerEntry> {
        published.heartbeats += 1;
        published.recipients.begin_heartbeat(now);
        let mut entries = published.recipients.entries();
        let (address, zone) = (self.me.address, self.me.zone.clone());
        entries.push(PeerEntry { address, zone, link_mbps: self.me.link_mbps });
        let mut announced = self.state.peers();
        entries.iter().for_each(|entry| announced.add(entry.clone(), now));
        announced.forget(now);
        peers::heartbeat_slice(&entries, published.heartbeats)
    }

    /// Creates an update with `list` and the age of this daemon's views, and without loads.
    fn new_update(&self, seq: u32, list: ListUpdate, now: Time) -> PlannerUpdate {
        let config = self.state.catalog().map_or(0, |c| c.version);
        let renewed = self.lease.last_renewal();
        let daemons = self.planner().daemon_count();
        PlannerUpdate {
            fence: self.lease.fence(),
            planner: self.me.daemon.clone(),
            address: self.me.address,
            seq,
            extent: Extent::Changes,
            lease_version: renewed.map_or(0, |(version, _)| version),
            lease_age_ms: millis(age(renewed.map(|(_, at)| at), now)),
            stamp_us: self.lease.stamp_us(now),
            daemons: u16::try_from(daemons).unwrap_or(u16::MAX),
            poison: self.state.poison().digest(),
            config,
            config_age_ms: millis(age(self.state.config_known_at(config), now)),
            drained_zones: self.state.fleet().zone_drains().current().clone(),
            list,
            peers: Vec::new(),
            pending_loads: Vec::new(),
            loads: Vec::new(),
            signals: Vec::new(),
            scheduling: SchedulingUpdate::default(),
        }
    }

    /// Returns the changes after number `after`, up to and including `to`.
    fn changes_between(&self, after: u64, to: u64, now: Time) -> ListUpdate {
        let mut fleet = self.state.fleet();
        let read = fleet.advertised_read(now);
        fleet.log.changes_between(after, to, read, now)
    }

    /// Sends `parts` to the relay of a group with the addresses of its followers; returns how long
    /// relaying them occupies the relay's link.
    fn send_to_group(&self, parts: &[Vec<u8>], group: &Group, seq: u32) -> Duration {
        let mut followers = group.followers.clone();
        // A saturated link drops the last datagrams, so another follower is last each time.
        let rotation = seq as usize % followers.len().max(1);
        followers.rotate_left(rotation);
        for part in parts {
            if group.followers.is_empty() {
                self.send_bytes(part, group.relay);
                continue;
            }
            let forward = Forward { to: followers.clone(), datagram: part.clone() };
            match datagram::encode(&Message::Forward(forward)) {
                Some(bytes) => self.send_bytes(&bytes, group.relay),
                None => log::warn!("an update for a relay does not fit into a datagram"),
            }
        }
        let bytes: usize = parts.iter().map(Vec::len).sum();
        heartbeat::link_time(bytes * group.followers.len(), group.link_mbps)
    }

    /// Sends one daemon the changes that it lacks.
    fn send_repair(&self, repair: Repair, now: Time) {
        let fence = self.lease.fence();
        let (after, to) = {
            let fleet = self.state.fleet();
            let last = fleet.log.last_number();
            match repair.known.number.filter(|_| repair.known.fence == fence) {
                Some(number) => (number, repair.known.missing_to.unwrap_or(last)),
                None => (fleet.log.number_at_version(repair.known.version).unwrap_or(last), last),
            }
        };
        let seq = self.published().seq;
        let list = self.changes_between(after, to, now);
        self.send_parts(Message::Update(self.new_update(seq, list, now)), &[repair.to]);
    }

    /// Sends a message to each address of `to`, in as many datagrams as needed.
    pub(super) fn send_parts(&self, message: Message, to: &[SocketAddr]) {
        let parts = datagram::datagrams(message);
        for to in to {
            parts.iter().for_each(|bytes| self.send_bytes(bytes, *to));
        }
    }

    /// Sends one datagram to another daemon.
    pub(super) fn send_bytes(&self, bytes: &[u8], to: SocketAddr) {
        self.stats().sent.add(bytes.len());
        self.count_metric(metric::PEER_BYTES_OUT, bytes.len());
        if let Err(e) = self.peers.send(bytes, to) {
            log::debug!("could not send a datagram to {to}: {e}");
        }
    }
}

/// Returns the extent of the loads in an update, where all loads make `entries` entries, summed
/// over all daemons.
fn extent(reason: StepReason, entries: usize) -> Extent {
    match reason {
        StepReason::Change if entries > MAX_FULL_LOAD_ENTRIES => Extent::Changes,
        _ => Extent::Full,
    }
}

/// Returns how long ago `at` was, or `Duration::MAX` if it is `None`.
fn age(at: Option<Time>, now: Time) -> Duration {
    at.map_or(Duration::MAX, |at| now.since(at))
}
