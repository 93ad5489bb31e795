//! The conversation between daemons: demand goes to the planner, who plans, orders and tells all.

mod telling;

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    thread,
    time::Duration,
};

use tansyknot_core::{clock::Time, event, name::TargetName};

use crate::{
    fleet::Whole,
    keep::SharedLease,
    outside::Action,
    pace::{self, Occasion, Pace},
    peer::{self, Demand, Extent, MAX_BYTES, Message, News},
    plan::{Planner, Task, Tier},
    state::State,
    target::Target,
    task::{Orders, TaskEnd},
};

use telling::Told;

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
            Message::Demand(demand) => {
                self.told().peers.insert(from, now);
                let is_urgent = demand.models.iter().any(|u| u.waiting > 0);
                self.planner().hear(demand, now);
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
        fleet.set_daemons(news.daemons.into());
        for change in changes {
            fleet.apply_news(change, now);
        }
        for note in &news.targets {
            fleet.note(note, news.fence, now);
        }
        match news.extent {
            Extent::All => {
                let whole = Whole { fence: news.fence, beat: news.beat };
                fleet.note_loads(whole, &news.loads, &news.coming, now);
            }
            Extent::Changes => fleet.note_changes(&news.loads, &news.coming, now),
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
        let mut pace = Pace::new(self.state.now());
        loop {
            let left = pace.left(self.state.now());
            let count = self.state.demand_changed.wait(seen, left);
            let has_changed = count != seen;
            seen = count;
            if let Some(occasion) = pace.occasion(has_changed, self.state.now()) {
                self.step(occasion);
                // Changes that come together are told together.
                self.state.clock.sleep(pace::PAUSE_LEAST);
            }
        }
    }

    /// Does once what is due: demand to the planner, or planning and news.
    pub fn step(self: &Arc<Self>, occasion: Occasion) {
        let now = self.state.now();
        let demand = self.demand(now);
        if self.lease.is_valid(now) {
            self.lead(demand, occasion, now);
        } else {
            self.told().was_planner = false;
            self.send_demand(demand);
        }
    }

    /// Returns what this daemon asks for.
    fn demand(&self, now: Time) -> Demand {
        let beat = self.told().next_beat();
        let mut fleet = self.state.fleet();
        fleet.expire(now);
        Demand {
            daemon: Arc::clone(&self.daemon),
            incarnation: Arc::clone(&self.incarnation),
            beat,
            models: fleet.uses(now),
            in_flight: fleet.in_flight(),
        }
    }

    fn send_demand(&self, demand: Demand) {
        let Some((daemon, address)) = self.lease.planner() else { return };
        if daemon != self.daemon {
            self.send(Message::Demand(demand), &[address]);
        }
    }

    fn lead(self: &Arc<Self>, demand: Demand, occasion: Occasion, now: Time) {
        {
            let mut told = self.told();
            if !told.was_planner {
                told.was_planner = true;
                self.planner().reset();
            }
        }
        self.planner().hear(demand, now);
        self.plan(now);
        self.send_news(occasion, now);
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
        let opens_at = |name: &TargetName| {
            let is_reached = !suspects.contains(name);
            is_reached.then(|| self.lease.opens_at(name, now)).flatten()
        };
        let tasks = self.planner().plan(&targets, &opens_at, &catalog, now);
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
            self.planner().ended(&name, TaskEnd::Failed, self.state.now());
        }
    }

    fn run(&self, task: &Task) {
        self.count_remote(task);
        let end = self.orders.run(task);
        self.planner().ended(&task.target.name, end, self.state.now());
        self.state.demand_changed.raise();
    }

    fn count_remote(&self, task: &Task) {
        let now = self.state.now();
        for step in &task.steps {
            let Action::Load { model, adapter: None } = &step.action else { continue };
            if Tier::of(&task.target, model) == Tier::Remote {
                self.planner().remote_begins(now);
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
