//! The conversation between daemons: demand goes to the planner, who plans, orders and tells all.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    thread,
    time::Duration,
};

use tansyknot_core::{clock::Time, event, name::TargetName};

use crate::{
    keep::SharedLease,
    news::ListNews,
    outside::Action,
    peer::{self, Coming, InFlight, MAX_BYTES, Message, ModelUse, News, TargetNote},
    plan::{DAEMON_SPAN, Planner, Task},
    state::State,
    target::Target,
    task::Orders,
};

/// How often demand and news are sent when nothing has changed.
const BEAT: Duration = Duration::from_millis(300);
/// The least pause between two messages that tell of a change.
const BEAT_LEAST: Duration = Duration::from_millis(15);
/// News of a target is repeated this long, as datagrams get lost.
const NOTE_SPAN: Duration = Duration::from_millis(700);
/// Targets in one datagram.
const NOTES: usize = 4;
/// Models, or requests in flight, in one datagram.
const ENTRIES: usize = 12;

/// What this daemon has told as the planner.
#[derive(Default)]
struct Told {
    /// The revisions told, and when first.
    notes: HashMap<TargetName, (u64, Time)>,
    /// The number of the last change of the list, and the configuration's version.
    versions: (u64, u64),
    peers: HashMap<SocketAddr, Time>,
    was_planner: bool,
}

/// What all daemons together have at targets, and what is being loaded there.
struct Loads {
    in_flight: Vec<InFlight>,
    coming: Vec<Coming>,
}

/// One daemon's part in the conversation.
pub struct Conductor {
    state: Arc<State>,
    lease: Arc<SharedLease>,
    orders: Arc<Orders>,
    planner: Mutex<Planner>,
    told: Mutex<Told>,
    socket: UdpSocket,
    daemon: Arc<str>,
    incarnation: Arc<str>,
}

impl Conductor {
    /// Makes the part of the daemon `daemon` on `socket`.
    pub fn new(
        state: Arc<State>,
        orders: Arc<Orders>,
        socket: UdpSocket,
        incarnation: Arc<str>,
    ) -> Self {
        let daemon = Arc::clone(&orders.daemon);
        let lease = Arc::clone(&orders.lease);
        Self {
            state,
            lease,
            orders,
            planner: Mutex::default(),
            told: Mutex::default(),
            socket,
            daemon,
            incarnation,
        }
    }

    fn planner(&self) -> MutexGuard<'_, Planner> {
        self.planner.lock().expect("no holder of the lock panics")
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().expect("no holder of the lock panics")
    }

    /// Receives messages until the socket fails.
    ///
    /// # Errors
    ///
    /// Fails if the socket does.
    pub fn receive(&self) -> io::Result<()> {
        let mut buf = [0; 2 * MAX_BYTES];
        loop {
            match self.socket.recv_from(&mut buf) {
                Ok((n, from)) => self.take(&buf[..n], from),
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Takes one datagram in.
    pub fn take(&self, bytes: &[u8], from: SocketAddr) {
        let now = self.state.now();
        let Some(message) = peer::decode(bytes) else {
            event::DATAGRAM_DROPPED.emit(&[("from", &from)]);
            return;
        };
        match message {
            Message::Demand { daemon, incarnation, models, in_flight } => {
                self.told().peers.insert(from, now);
                let is_urgent = models.iter().any(|u| u.waiting > 0);
                self.planner().hear(&daemon, &incarnation, &models, in_flight, now);
                if is_urgent {
                    self.state.demand_changed.raise();
                }
            }
            Message::News(news) => {
                let age = Duration::from_millis(news.lease_age_ms.into());
                let sent = now.before(age);
                if !self.lease.is_mine()
                    && self.lease.hear(news.fence, news.lease_version, sent, now)
                {
                    self.take_news(news, now);
                }
            }
        }
    }

    fn take_news(&self, news: News, now: Time) {
        let mine = self.state.catalog().map_or(0, |c| c.version);
        let (changes, is_due) = {
            let mut followed = self.state.followed();
            let config_age = Duration::from_millis(news.config_age_ms.into());
            followed.config(news.config, config_age, now);
            let changes = followed.list(news.fence, news.list, now);
            let is_due = followed.list_fresh_for(now).is_zero()
                || followed.config_fresh_for(mine, now).is_zero();
            (changes, is_due)
        };
        let is_changed = !changes.is_empty() || !news.targets.is_empty();
        let mut fleet = self.state.fleet();
        fleet.daemons = usize::from(news.daemons).max(1);
        for change in changes {
            fleet.apply_news(change, now);
        }
        for note in &news.targets {
            fleet.note(note, news.fence, now);
        }
        if let Some(in_flight) = &news.in_flight {
            fleet.note_in_flight(in_flight);
        }
        if let Some(coming) = &news.coming {
            fleet.note_coming(coming, now);
        }
        drop(fleet);
        if is_changed {
            self.state.targets_changed.raise();
        }
        if is_due {
            self.state.call_due.raise();
        }
    }

    /// Sends demand, or plans and sends news, until the process ends.
    pub fn conduct(self: &Arc<Self>) {
        let mut seen = 0;
        let mut sent = self.state.now();
        loop {
            let waited = BEAT.saturating_sub(self.state.now().since(sent));
            let count = self.state.demand_changed.wait(seen, waited.max(BEAT_LEAST));
            let is_urgent = count != seen;
            seen = count;
            let is_due = self.state.now().since(sent) >= BEAT;
            if is_urgent || is_due {
                sent = self.state.now();
                self.step(is_due);
                // Changes that come together are told together.
                self.state.clock.sleep(BEAT_LEAST);
            }
        }
    }

    /// Does once what is due: demand to the planner, or planning and news.
    pub fn step(self: &Arc<Self>, is_due: bool) {
        let now = self.state.now();
        let (uses, in_flight) = {
            let mut fleet = self.state.fleet();
            fleet.expire(now);
            (fleet.uses(now), fleet.in_flight())
        };
        if self.lease.is_valid(now) {
            self.lead(uses, in_flight, is_due, now);
        } else {
            self.told().was_planner = false;
            self.send_demand(&uses, &in_flight);
        }
    }

    fn send_demand(&self, uses: &[ModelUse], in_flight: &[InFlight]) {
        let Some((daemon, address)) = self.lease.planner() else { return };
        if daemon == self.daemon {
            return;
        }
        let message = |models: &[ModelUse], in_flight: &[InFlight]| Message::Demand {
            daemon: Arc::clone(&self.daemon),
            incarnation: Arc::clone(&self.incarnation),
            models: models.to_vec(),
            in_flight: in_flight.to_vec(),
        };
        self.send(&message(uses, in_flight), address);
    }

    fn lead(
        self: &Arc<Self>,
        uses: Vec<ModelUse>,
        in_flight: Vec<InFlight>,
        is_due: bool,
        now: Time,
    ) {
        {
            let mut told = self.told();
            if !told.was_planner {
                told.was_planner = true;
                self.planner().reset();
            }
        }
        self.planner().hear(&self.daemon, &self.incarnation, &uses, in_flight, now);
        self.plan(now);
        self.send_news(is_due, now);
    }

    fn plan(self: &Arc<Self>, now: Time) {
        let Some(catalog) = self.state.catalog() else { return };
        let (targets, suspects) = {
            let fleet = self.state.fleet();
            let targets: Vec<Arc<Target>> = fleet.targets().cloned().collect();
            let suspects: Vec<TargetName> = targets
                .iter()
                .map(|t| t.name.clone())
                .filter(|name| fleet.is_suspect(name, now))
                .collect();
            (targets, suspects)
        };
        let usable = |name: &TargetName| !suspects.contains(name) && self.lease.is_open(name, now);
        let tasks = self.planner().plan(&targets, &usable, &catalog, now);
        for task in tasks {
            self.start(task);
        }
    }

    fn start(self: &Arc<Self>, task: Task) {
        let me = Arc::clone(self);
        let name = task.target.name.clone();
        let spawned = thread::Builder::new().name("task".to_owned()).spawn(move || me.run(&task));
        if let Err(e) = spawned {
            log::warn!("no thread for a task: {e}");
            self.planner().ended(&name, false, self.state.now());
        }
    }

    fn run(&self, task: &Task) {
        self.count_remote(task);
        let succeeded = self.orders.run(task);
        self.planner().ended(&task.target.name, succeeded, self.state.now());
        self.state.demand_changed.raise();
    }

    fn count_remote(&self, task: &Task) {
        let now = self.state.now();
        for step in &task.steps {
            let Action::Load { model, adapter: None } = &step.action else { continue };
            if crate::plan::Tier::of(&task.target, model) == crate::plan::Tier::Remote {
                self.planner().remote_begins(now);
            }
        }
    }

    fn send_news(&self, is_due: bool, now: Time) {
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
        let lists = self.state.fleet().log.news(after, age(contacts.list), NOTES, now);
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

    fn send(&self, message: &Message, to: SocketAddr) {
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

    /// Tells whether this daemon is the planner, whom the others follow.
    pub fn is_planner(&self) -> bool {
        self.lease.is_valid(self.state.now())
    }

    /// Tells whether a load should be done by now and has not shown in the list.
    pub fn awaits_load(&self) -> bool {
        self.orders.due.load(Ordering::SeqCst) > 0
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
