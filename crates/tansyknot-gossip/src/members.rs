//! The membership as a pure state machine: probes, suspicion, refutation, bounded updates.
//!
//! Each daemon pings one member per probe interval, so its load does not grow with the number of
//! members. Updates are piggybacked on pings and acknowledgements. This follows the SWIM protocol
//! (Das, Gupta, Motivala, 2002).

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use rand::{RngCore, seq::SliceRandom};
use tansyknot_core::{
    clock::Time,
    event,
    name::{DaemonName, ZoneName},
};

use crate::message::{Liveness, MemberUpdate, Message};

/// Options of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembersOptions {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time without an acknowledgement after which a member is probed indirectly.
    pub ack_timeout: Duration,
    /// Number of members that ping for this daemon in an indirect probe.
    pub indirect_probes: usize,
    /// Time after which a suspect that has not refuted is declared dead.
    pub suspicion_timeout: Duration,
    /// Time after which a dead member is removed.
    pub dead_retention: Duration,
}

impl Default for MembersOptions {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            indirect_probes: 2,
            suspicion_timeout: Duration::from_secs(3),
            dead_retention: Duration::from_secs(60),
        }
    }
}

/// The identity of this daemon in the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalMember {
    /// The name.
    pub daemon: DaemonName,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// The incarnation number: higher than at any earlier start, for instance the time in ms.
    pub incarnation: u64,
}

/// A message and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The destination.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    zone: ZoneName,
    incarnation: u64,
    liveness: Liveness,
    liveness_since: Time,
    /// How often the member's state is still to be sent.
    sends_left: u32,
}

#[derive(Clone, Debug)]
struct Probe {
    seq: u64,
    daemon: DaemonName,
    sent_at: Time,
    is_indirect: bool,
}

/// A ping sent for another member, with the destination and sequence number of the reply.
#[derive(Clone, Debug)]
struct IndirectPing {
    to: SocketAddr,
    seq: u64,
    sent_at: Time,
}

/// Maximum number of member updates in one message.
const MAX_UPDATES: usize = 6;
/// Time after which an unacknowledged ping for another member is dropped.
const INDIRECT_PING_TIMEOUT: Duration = Duration::from_secs(2);

/// One daemon's view of the membership.
#[derive(Debug)]
pub struct Members {
    options: MembersOptions,
    me: LocalMember,
    members: BTreeMap<DaemonName, Member>,
    probe_order: Vec<DaemonName>,
    probe: Option<Probe>,
    indirect_pings: HashMap<u64, IndirectPing>,
    next_seq: u64,
    next_probe_at: Time,
    epoch: u64,
}

impl Members {
    /// Creates a membership with only this daemon.
    pub fn new(me: LocalMember, options: MembersOptions) -> Self {
        Self {
            options,
            me,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            indirect_pings: HashMap::new(),
            next_seq: 1,
            next_probe_at: Time::default(),
            epoch: 0,
        }
    }

    /// Returns this daemon's name.
    pub fn me(&self) -> &DaemonName {
        &self.me.daemon
    }

    /// Returns a number that rises whenever the set of live daemons may have changed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the live daemons, including this one.
    pub fn alive(&self) -> impl Iterator<Item = &DaemonName> {
        let others = self.members.iter().filter(|(_, m)| m.liveness == Liveness::Alive);
        std::iter::once(&self.me.daemon).chain(others.map(|(name, _)| name))
    }

    /// Returns the address at which a daemon listens for peers.
    pub fn address(&self, daemon: &DaemonName) -> Option<SocketAddr> {
        self.members.get(daemon).map(|m| m.address)
    }

    /// Adds daemons that the table lists; existing members stay unchanged.
    pub fn join(&mut self, daemons: impl IntoIterator<Item = MemberUpdate>, now: Time) {
        for update in daemons {
            if !self.members.contains_key(&update.daemon) {
                self.apply_update(update, now);
            }
        }
    }

    /// Advances the time: ends the probe, starts the next one and declares suspects dead.
    pub fn tick(&mut self, now: Time, rng: &mut dyn RngCore) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.probe_indirectly(now, rng, &mut out);
        self.expire_members(now);
        self.indirect_pings.retain(|_, p| now.since(p.sent_at) < INDIRECT_PING_TIMEOUT);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.options.probe_interval;
            self.end_probe(now);
            self.begin_probe(now, rng, &mut out);
        }
        out
    }

    /// Processes a membership message and returns the replies; ignores other messages.
    pub fn receive(&mut self, from: SocketAddr, message: Message, now: Time) -> Vec<Outgoing> {
        match message {
            Message::Ping { seq, updates } => {
                self.apply_updates(updates, now);
                let message = Message::Ack { seq, updates: self.next_updates() };
                vec![Outgoing { to: from, message }]
            }
            Message::Ack { seq, updates } => {
                self.apply_updates(updates, now);
                self.acknowledge(seq)
            }
            Message::PingFor { seq, address, updates } => {
                self.apply_updates(updates, now);
                let ping_seq = self.allocate_seq();
                self.indirect_pings.insert(ping_seq, IndirectPing { to: from, seq, sent_at: now });
                let message = Message::Ping { seq: ping_seq, updates: self.next_updates() };
                vec![Outgoing { to: address, message }]
            }
            Message::Demand { .. } | Message::Use { .. } | Message::RowChanged { .. } => Vec::new(),
        }
    }

    fn acknowledge(&mut self, seq: u64) -> Vec<Outgoing> {
        if let Some(ping) = self.indirect_pings.remove(&seq) {
            let message = Message::Ack { seq: ping.seq, updates: self.next_updates() };
            return vec![Outgoing { to: ping.to, message }];
        }
        if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
            self.probe = None;
        }
        Vec::new()
    }

    /// Requests indirect probes of a member that has not acknowledged the direct ping.
    fn probe_indirectly(&mut self, now: Time, rng: &mut dyn RngCore, out: &mut Vec<Outgoing>) {
        let timeout = self.options.ack_timeout;
        let Some(probe) = self.probe.clone() else { return };
        if probe.is_indirect || now.since(probe.sent_at) < timeout {
            return;
        }
        let Some(address) = self.address(&probe.daemon) else { return };
        for to in self.choose_helpers(&probe.daemon, rng) {
            let message =
                Message::PingFor { seq: probe.seq, address, updates: self.next_updates() };
            out.push(Outgoing { to, message });
        }
        if let Some(probe) = &mut self.probe {
            probe.is_indirect = true;
        }
    }

    fn choose_helpers(&self, except: &DaemonName, rng: &mut dyn RngCore) -> Vec<SocketAddr> {
        let others = self.members.iter();
        let mut alive: Vec<SocketAddr> = others
            .filter(|(name, m)| *name != except && m.liveness == Liveness::Alive)
            .map(|(_, m)| m.address)
            .collect();
        alive.partial_shuffle(rng, self.options.indirect_probes).0.to_vec()
    }

    /// Suspects the member that did not acknowledge its probe within the probe interval.
    fn end_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take() else { return };
        let count = self.members.len();
        let Some(member) = self.members.get_mut(&probe.daemon) else { return };
        if member.liveness == Liveness::Alive {
            event::PEER_SUSPECT.emit(&[("daemon", &probe.daemon)]);
            member.liveness = Liveness::Suspect;
            self.epoch += 1;
            member.liveness_since = now;
            member.sends_left = send_count(count);
        }
    }

    fn begin_probe(&mut self, now: Time, rng: &mut dyn RngCore, out: &mut Vec<Outgoing>) {
        let Some(daemon) = self.next_to_probe(rng) else { return };
        let Some(to) = self.address(&daemon) else { return };
        let seq = self.allocate_seq();
        self.probe = Some(Probe { seq, daemon, sent_at: now, is_indirect: false });
        out.push(Outgoing { to, message: Message::Ping { seq, updates: self.next_updates() } });
    }

    /// Returns the next member to probe. Each round probes every member that is not dead once, in
    /// random order, which bounds the time between two probes of the same member.
    fn next_to_probe(&mut self, rng: &mut dyn RngCore) -> Option<DaemonName> {
        loop {
            if self.probe_order.is_empty() {
                let probed = self.members.iter().filter(|(_, m)| m.liveness != Liveness::Dead);
                self.probe_order = probed.map(|(name, _)| name.clone()).collect();
                self.probe_order.shuffle(rng);
            }
            let daemon = self.probe_order.pop()?;
            if self.members.get(&daemon).is_some_and(|m| m.liveness != Liveness::Dead) {
                return Some(daemon);
            }
            if self.probe_order.is_empty() && self.alive().count() == 1 {
                return None;
            }
        }
    }

    /// Declares suspects dead that have not refuted in time, and removes expired dead members.
    fn expire_members(&mut self, now: Time) {
        let count = self.members.len();
        for (name, member) in &mut self.members {
            let timed_out = now.since(member.liveness_since) >= self.options.suspicion_timeout;
            if member.liveness == Liveness::Suspect && timed_out {
                event::PEER_DEAD.emit(&[("daemon", name)]);
                member.liveness = Liveness::Dead;
                member.liveness_since = now;
                member.sends_left = send_count(count);
            }
        }
        let retention = self.options.dead_retention;
        self.members
            .retain(|_, m| m.liveness != Liveness::Dead || now.since(m.liveness_since) < retention);
    }

    fn apply_updates(&mut self, updates: Vec<MemberUpdate>, now: Time) {
        for update in updates {
            self.apply_update(update, now);
        }
    }

    /// Applies the update of a member if it supersedes the stored state.
    fn apply_update(&mut self, update: MemberUpdate, now: Time) {
        if update.daemon == self.me.daemon {
            self.refute(&update);
            return;
        }
        let count = self.members.len();
        let mut existing = self.members.get_mut(&update.daemon);
        if let Some(member) = &mut existing
            && !supersedes(&update, member)
        {
            // A live member that is stored as suspect or dead must receive that state to refute it.
            if update.liveness == Liveness::Alive && member.liveness != Liveness::Alive {
                member.sends_left = send_count(count);
            }
            return;
        }
        if existing.is_none() {
            if update.liveness == Liveness::Dead {
                return;
            }
            event::PEER_JOINED.emit(&[("daemon", &update.daemon)]);
        }
        let member = Member {
            address: update.address,
            zone: update.availability_zone,
            incarnation: update.incarnation,
            liveness: update.liveness,
            liveness_since: now,
            sends_left: send_count(self.members.len() + 1),
        };
        self.members.insert(update.daemon, member);
        self.epoch += 1;
    }

    /// Raises this daemon's incarnation number above that of an update that reports it as not alive.
    fn refute(&mut self, update: &MemberUpdate) {
        if update.liveness != Liveness::Alive && update.incarnation >= self.me.incarnation {
            self.me.incarnation = update.incarnation + 1;
        }
    }

    /// Returns this daemon's own update, then those with the most sends left.
    fn next_updates(&mut self) -> Vec<MemberUpdate> {
        let mut names: Vec<(u32, DaemonName)> = self
            .members
            .iter()
            .filter(|(_, m)| m.sends_left > 0)
            .map(|(name, m)| (m.sends_left, name.clone()))
            .collect();
        names.sort_by(|a, b| b.cmp(a));
        let mut updates = vec![self.own_update()];
        for (_, name) in names.into_iter().take(MAX_UPDATES - 1) {
            if let Some(member) = self.members.get_mut(&name) {
                member.sends_left -= 1;
                updates.push(update_of(&name, member));
            }
        }
        updates
    }

    fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            daemon: self.me.daemon.clone(),
            address: self.me.address,
            availability_zone: self.me.availability_zone.clone(),
            incarnation: self.me.incarnation,
            liveness: Liveness::Alive,
        }
    }

    fn allocate_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }
}

fn update_of(name: &DaemonName, member: &Member) -> MemberUpdate {
    MemberUpdate {
        daemon: name.clone(),
        address: member.address,
        availability_zone: member.zone.clone(),
        incarnation: member.incarnation,
        liveness: member.liveness,
    }
}

/// Returns how often an update is sent to reach nearly all of `count` members.
fn send_count(count: usize) -> u32 {
    3 * (usize::BITS - count.leading_zeros()).max(1)
}

/// Returns whether an update replaces the stored state: a higher incarnation number does, and at
/// the same number dead replaces suspect and suspect replaces alive.
fn supersedes(update: &MemberUpdate, existing: &Member) -> bool {
    let rank = |l: Liveness| match l {
        Liveness::Alive => 0,
        Liveness::Suspect => 1,
        Liveness::Dead => 2,
    };
    (update.incarnation, rank(update.liveness)) > (existing.incarnation, rank(existing.liveness))
}
