//! The membership as a pure state machine: probes, suspicion, refutation, bounded news.
//!
//! Each round a daemon pings one member, so its load does not grow with their number. News
//! spreads on the pings. This follows the SWIM protocol (Das, Gupta, Motivala, 2002).

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

use crate::message::{Liveness, Message, Update};

/// Options of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembersOptions {
    /// Time between two probes.
    pub round: Duration,
    /// A ping without an answer is sent through others after this long.
    pub direct_timeout: Duration,
    /// Members asked to ping on one's behalf.
    pub helpers: usize,
    /// A suspect that does not refute is dead after this long.
    pub suspicion: Duration,
    /// A dead member is forgotten after this long.
    pub forget: Duration,
}

impl Default for MembersOptions {
    fn default() -> Self {
        Self {
            round: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            helpers: 2,
            suspicion: Duration::from_secs(3),
            forget: Duration::from_secs(60),
        }
    }
}

/// This daemon as others know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Myself {
    /// The name.
    pub daemon: DaemonName,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Higher than at any earlier start, for instance the time in milliseconds.
    pub number: u64,
}

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Where it goes.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    zone: ZoneName,
    number: u64,
    liveness: Liveness,
    since: Time,
    /// How often news of it is still to be sent.
    to_send: u32,
}

#[derive(Clone, Debug)]
struct Probe {
    seq: u64,
    daemon: DaemonName,
    sent: Time,
    helped: bool,
}

/// Pings made on behalf of others: whom to answer, and with which number.
#[derive(Clone, Debug)]
struct Errand {
    to: SocketAddr,
    seq: u64,
    sent: Time,
}

/// News in one message.
const UPDATES: usize = 6;
/// Errands are forgotten after this long.
const ERRAND_SPAN: Duration = Duration::from_secs(2);

/// The membership as one daemon sees it.
#[derive(Debug)]
pub struct Members {
    options: MembersOptions,
    me: Myself,
    members: BTreeMap<DaemonName, Member>,
    order: Vec<DaemonName>,
    probe: Option<Probe>,
    errands: HashMap<u64, Errand>,
    next_seq: u64,
    next_round: Time,
    epoch: u64,
}

impl Members {
    /// Makes a membership of one.
    pub fn new(me: Myself, options: MembersOptions) -> Self {
        Self {
            options,
            me,
            members: BTreeMap::new(),
            order: Vec::new(),
            probe: None,
            errands: HashMap::new(),
            next_seq: 1,
            next_round: Time::default(),
            epoch: 0,
        }
    }

    /// Returns this daemon's name.
    pub fn me(&self) -> &DaemonName {
        &self.me.daemon
    }

    /// Returns a number that rises whenever the set of daemons that answer may have changed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the daemons that answer, this one included.
    pub fn alive(&self) -> impl Iterator<Item = &DaemonName> {
        let others = self.members.iter().filter(|(_, m)| m.liveness == Liveness::Alive);
        std::iter::once(&self.me.daemon).chain(others.map(|(name, _)| name))
    }

    /// Returns where a daemon listens for peers.
    pub fn address(&self, daemon: &DaemonName) -> Option<SocketAddr> {
        self.members.get(daemon).map(|m| m.address)
    }

    /// Takes in daemons that the table lists. Known ones stay as they are.
    pub fn join(&mut self, daemons: impl IntoIterator<Item = Update>, now: Time) {
        for update in daemons {
            if !self.members.contains_key(&update.daemon) {
                self.learn(update, now);
            }
        }
    }

    /// Moves time on: ends probes, begins the next one, declares suspects dead.
    pub fn tick(&mut self, now: Time, rng: &mut dyn RngCore) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.help_probe(now, rng, &mut out);
        self.bury(now);
        self.errands.retain(|_, e| now.since(e.sent) < ERRAND_SPAN);
        if now >= self.next_round {
            self.next_round = now + self.options.round;
            self.end_probe(now);
            self.begin_probe(now, rng, &mut out);
        }
        out
    }

    /// Takes in a message about members; others than pings and answers give nothing.
    pub fn receive(&mut self, from: SocketAddr, message: Message, now: Time) -> Vec<Outgoing> {
        match message {
            Message::Ping { seq, updates } => {
                self.learn_all(updates, now);
                let message = Message::Ack { seq, updates: self.news() };
                vec![Outgoing { to: from, message }]
            }
            Message::Ack { seq, updates } => {
                self.learn_all(updates, now);
                self.acknowledge(seq)
            }
            Message::PingFor { seq, address, updates } => {
                self.learn_all(updates, now);
                let own = self.take_seq();
                self.errands.insert(own, Errand { to: from, seq, sent: now });
                let message = Message::Ping { seq: own, updates: self.news() };
                vec![Outgoing { to: address, message }]
            }
            Message::Wake { .. } | Message::Used { .. } | Message::Changed { .. } => Vec::new(),
        }
    }

    fn acknowledge(&mut self, seq: u64) -> Vec<Outgoing> {
        if let Some(errand) = self.errands.remove(&seq) {
            let message = Message::Ack { seq: errand.seq, updates: self.news() };
            return vec![Outgoing { to: errand.to, message }];
        }
        if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
            self.probe = None;
        }
        Vec::new()
    }

    /// Has helpers ping a member that has not answered.
    fn help_probe(&mut self, now: Time, rng: &mut dyn RngCore, out: &mut Vec<Outgoing>) {
        let timeout = self.options.direct_timeout;
        let Some(probe) = self.probe.clone() else { return };
        if probe.helped || now.since(probe.sent) < timeout {
            return;
        }
        let Some(address) = self.address(&probe.daemon) else { return };
        for to in self.helpers(&probe.daemon, rng) {
            let message = Message::PingFor { seq: probe.seq, address, updates: self.news() };
            out.push(Outgoing { to, message });
        }
        if let Some(probe) = &mut self.probe {
            probe.helped = true;
        }
    }

    fn helpers(&self, except: &DaemonName, rng: &mut dyn RngCore) -> Vec<SocketAddr> {
        let others = self.members.iter();
        let mut alive: Vec<SocketAddr> = others
            .filter(|(name, m)| *name != except && m.liveness == Liveness::Alive)
            .map(|(_, m)| m.address)
            .collect();
        alive.partial_shuffle(rng, self.options.helpers).0.to_vec()
    }

    /// Suspects the member whose probe was not answered in the whole round.
    fn end_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take() else { return };
        let count = self.members.len();
        let Some(member) = self.members.get_mut(&probe.daemon) else { return };
        if member.liveness == Liveness::Alive {
            event::PEER_SUSPECT.emit(&[("daemon", &probe.daemon)]);
            member.liveness = Liveness::Suspect;
            self.epoch += 1;
            member.since = now;
            member.to_send = sends(count);
        }
    }

    fn begin_probe(&mut self, now: Time, rng: &mut dyn RngCore, out: &mut Vec<Outgoing>) {
        let Some(daemon) = self.next_to_probe(rng) else { return };
        let Some(to) = self.address(&daemon) else { return };
        let seq = self.take_seq();
        self.probe = Some(Probe { seq, daemon, sent: now, helped: false });
        out.push(Outgoing { to, message: Message::Ping { seq, updates: self.news() } });
    }

    /// Goes through all members in a random order, so that each is probed within a bound.
    fn next_to_probe(&mut self, rng: &mut dyn RngCore) -> Option<DaemonName> {
        loop {
            if self.order.is_empty() {
                let probed = self.members.iter().filter(|(_, m)| m.liveness != Liveness::Dead);
                self.order = probed.map(|(name, _)| name.clone()).collect();
                self.order.shuffle(rng);
            }
            let daemon = self.order.pop()?;
            if self.members.get(&daemon).is_some_and(|m| m.liveness != Liveness::Dead) {
                return Some(daemon);
            }
            if self.order.is_empty() && self.alive().count() == 1 {
                return None;
            }
        }
    }

    /// Declares suspects dead that have not refuted, and forgets the long dead.
    fn bury(&mut self, now: Time) {
        let count = self.members.len();
        for (name, member) in &mut self.members {
            let silent = now.since(member.since) >= self.options.suspicion;
            if member.liveness == Liveness::Suspect && silent {
                event::PEER_DEAD.emit(&[("daemon", name)]);
                member.liveness = Liveness::Dead;
                member.since = now;
                member.to_send = sends(count);
            }
        }
        let forget = self.options.forget;
        self.members.retain(|_, m| m.liveness != Liveness::Dead || now.since(m.since) < forget);
    }

    fn learn_all(&mut self, updates: Vec<Update>, now: Time) {
        for update in updates {
            self.learn(update, now);
        }
    }

    /// Takes in news of a member if it is newer than what is known.
    fn learn(&mut self, update: Update, now: Time) {
        if update.daemon == self.me.daemon {
            self.refute(&update);
            return;
        }
        let count = self.members.len();
        let mut known = self.members.get_mut(&update.daemon);
        if let Some(member) = &mut known
            && !is_newer(&update, member)
        {
            // A member that was taken for gone and speaks again must hear of it to refute it.
            if update.liveness == Liveness::Alive && member.liveness != Liveness::Alive {
                member.to_send = sends(count);
            }
            return;
        }
        if known.is_none() {
            if update.liveness == Liveness::Dead {
                return;
            }
            event::PEER_JOINED.emit(&[("daemon", &update.daemon)]);
        }
        let member = Member {
            address: update.address,
            zone: update.availability_zone,
            number: update.number,
            liveness: update.liveness,
            since: now,
            to_send: sends(self.members.len() + 1),
        };
        self.members.insert(update.daemon, member);
        self.epoch += 1;
    }

    /// Raises the own number above a rumour that this daemon is not alive.
    fn refute(&mut self, update: &Update) {
        if update.liveness != Liveness::Alive && update.number >= self.me.number {
            self.me.number = update.number + 1;
        }
    }

    /// Returns the news that has been sent least, and always word of oneself.
    fn news(&mut self) -> Vec<Update> {
        let mut names: Vec<(u32, DaemonName)> = self
            .members
            .iter()
            .filter(|(_, m)| m.to_send > 0)
            .map(|(name, m)| (m.to_send, name.clone()))
            .collect();
        names.sort_by(|a, b| b.cmp(a));
        let mut updates = vec![self.word_of_me()];
        for (_, name) in names.into_iter().take(UPDATES - 1) {
            if let Some(member) = self.members.get_mut(&name) {
                member.to_send -= 1;
                updates.push(update_of(&name, member));
            }
        }
        updates
    }

    fn word_of_me(&self) -> Update {
        Update {
            daemon: self.me.daemon.clone(),
            address: self.me.address,
            availability_zone: self.me.availability_zone.clone(),
            number: self.me.number,
            liveness: Liveness::Alive,
        }
    }

    fn take_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }
}

fn update_of(name: &DaemonName, member: &Member) -> Update {
    Update {
        daemon: name.clone(),
        address: member.address,
        availability_zone: member.zone.clone(),
        number: member.number,
        liveness: member.liveness,
    }
}

/// Returns how often news is sent so that it reaches nearly every one of `count` members.
fn sends(count: usize) -> u32 {
    3 * (usize::BITS - count.leading_zeros()).max(1)
}

/// At the same number, worse news goes before better.
fn is_newer(update: &Update, known: &Member) -> bool {
    let rank = |l: Liveness| match l {
        Liveness::Alive => 0,
        Liveness::Suspect => 1,
        Liveness::Dead => 2,
    };
    (update.number, rank(update.liveness)) > (known.number, rank(known.liveness))
}
