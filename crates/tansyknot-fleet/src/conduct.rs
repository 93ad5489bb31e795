//! The conversation between daemons: demand goes to the planner, who plans, orders and tells all.

mod account;
mod crashes;
mod permit;
mod planning;
pub mod quota;
mod telling;

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    event, metric,
    name::{ServiceName, ZoneName},
};

use crate::{
    access::lending::Books,
    backpressure::scheduler::Scheduler,
    dissemination::{
        datagram::{self, FORWARD_MAX_BYTES},
        message::{Demand, Extent, Forward, Message, News},
        pace::{self, Occasion, Pace},
        peers::PeerEntry,
        relays::FOLLOWERS_MOST,
    },
    fleet::Whole,
    keep::{self, SharedLease},
    outside::Datagrams,
    plan::Planner,
    state::State,
    task::Orders,
};

use account::Account;
use crashes::Resent;
use telling::Told;

/// One daemon's part in the conversation.
pub struct Conductor {
    state: Arc<State>,
    lease: Arc<SharedLease>,
    orders: Arc<Orders>,
    planner: Mutex<Planner>,
    told: Mutex<Told>,
    account: Mutex<Account>,
    resent: Mutex<Resent>,
    books: Mutex<Books>,
    scheduler: Mutex<Scheduler>,
    peers: Arc<dyn Datagrams>,
    me: Me,
}

/// What a daemon says of itself to the others.
#[derive(Clone, Debug)]
pub struct Me {
    /// Its name.
    pub daemon: Arc<str>,
    /// This run of it.
    pub incarnation: Arc<str>,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its link in Mbit/s, if it is known.
    pub link_mbps: Option<u32>,
}

impl Conductor {
    /// Makes the part of the daemon that `me` describes.
    pub fn new(state: Arc<State>, orders: Arc<Orders>, peers: Arc<dyn Datagrams>, me: Me) -> Self {
        let lease = Arc::clone(&orders.lease);
        state.peers().set_me(me.address);
        Self {
            state,
            lease,
            orders,
            planner: Mutex::default(),
            told: Mutex::default(),
            account: Mutex::default(),
            resent: Mutex::default(),
            books: Mutex::default(),
            scheduler: Mutex::default(),
            peers,
            me,
        }
    }

    fn planner(&self) -> MutexGuard<'_, Planner> {
        self.planner.lock().expect("no holder of the lock panics")
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().expect("no holder of the lock panics")
    }

    fn account(&self) -> MutexGuard<'_, Account> {
        self.account.lock().expect("no holder of the lock panics")
    }

    /// Returns the planner's books, new ones if this daemon has become the planner since.
    fn books(&self) -> MutexGuard<'_, Books> {
        let mut books = self.books.lock().expect("no holder of the lock panics");
        books.begin(self.lease.fence(), self.state.now());
        books
    }

    fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler.lock().expect("no holder of the lock panics")
    }

    /// Receives messages until the socket fails.
    ///
    /// # Errors
    ///
    /// Fails if the socket does.
    pub fn receive(&self, socket: &UdpSocket) -> io::Result<()> {
        let mut buf = [0; 2 * FORWARD_MAX_BYTES];
        loop {
            match socket.recv_from(&mut buf) {
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
        self.account().received.add(bytes.len());
        self.count(metric::PEER_BYTES_IN, bytes.len());
        match datagram::decode(bytes) {
            Some(Message::Demand(demand)) => self.take_demand(demand, from, now),
            Some(Message::News(news)) => self.take_news(news, now),
            Some(Message::Forward(forward)) => self.take_forward(&forward, from, now),
            Some(Message::Crashes(evidence)) => self.take_crashes(&evidence, from, now),
            Some(Message::Question(question)) => self.take_question(&question, from, now),
            Some(Message::Answer(answer)) => self.take_answer(&answer, now),
            Some(Message::Take(take)) => self.take_take(&take, from, now),
            Some(Message::Taken(taken)) => self.take_taken(taken),
            Some(Message::Signals(signals)) => self.take_signals(&signals, now),
            Some(Message::PermitAsk(ask)) => self.take_permit_ask(&ask, from, now),
            Some(Message::PermitAnswer(answer)) => self.take_permit_answer(&answer, now),
            Some(Message::PermitEnd(end)) => self.take_permit_end(end, from),
            None => event::DATAGRAM_DROPPED.emit(&[("from", &from)]),
        }
    }

    fn take_demand(&self, demand: Demand, from: SocketAddr, now: Time) {
        let is_urgent = demand.models.iter().any(|u| u.waiting > 0);
        let (zone, link_mbps) = (demand.zone.clone(), demand.link_mbps);
        let entry = PeerEntry { address: from, zone, link_mbps };
        self.take_crashes(&demand.crashes, from, now);
        self.compare_poison(demand.poison, from, now);
        if self.state.fleet().merge_signals(&demand.signals, now) {
            self.state.view_changed();
        }
        let lacks = self.told().audience.hear(entry, demand.known, self.lease.fence(), now);
        self.planner().hear(demand, now);
        if is_urgent || lacks {
            self.state.demand_changed.raise();
        }
    }

    /// Passes news on, if they are of the newest planner known, and takes them in.
    fn take_forward(&self, forward: &Forward, from: SocketAddr, now: Time) {
        let Some(Message::News(news)) = datagram::decode(&forward.datagram) else {
            event::DATAGRAM_DROPPED.emit(&[("from", &from)]);
            return;
        };
        if forward.to.len() > FOLLOWERS_MOST {
            event::DATAGRAM_DROPPED.emit(&[("from", &from)]);
            return;
        }
        if self.hear(&news, now) {
            forward.to.iter().for_each(|peer| self.send_bytes(&forward.datagram, *peer));
            self.follow(news, now);
        }
    }

    fn take_news(&self, news: News, now: Time) {
        if self.hear(&news, now) {
            self.follow(news, now);
        }
    }

    /// Tells whether news are of the newest planner known, and another daemon.
    fn hear(&self, news: &News, now: Time) -> bool {
        let told = keep::Told {
            fence: news.fence,
            daemon: Arc::clone(&news.planner),
            address: news.address,
            version: news.lease_version,
            sent: now.before(Duration::from_millis(news.lease_age_ms.into())),
        };
        !self.lease.is_mine() && self.lease.hear(told, now)
    }

    /// Takes in news of the planner that this daemon follows.
    fn follow(&self, news: News, now: Time) {
        self.compare_poison(news.poison, news.address, now);
        let mine = self.state.catalog().map_or(0, |c| c.version);
        let (changes, is_behind, begins_to_lack) = {
            let mut followed = self.state.followed();
            let config_age = Duration::from_millis(news.config_age_ms.into());
            followed.config(news.config, config_age, now);
            let lacked = followed.is_missing();
            let changes = followed.list(news.fence, news.list.clone(), now);
            let is_behind = mine < followed.config_version();
            (changes, is_behind, followed.is_missing() && !lacked)
        };
        {
            let mut peers = self.state.peers();
            news.peers.into_iter().for_each(|peer| peers.add(peer, now));
        }
        let mut fleet = self.state.fleet();
        fleet.signals_synced();
        let is_changed = fleet.merge_signals(&news.signals, now) || !changes.is_empty();
        fleet.set_daemons(news.daemons.into());
        fleet.set_list_version(news.list.version);
        for change in changes {
            fleet.apply_news(change, news.fence, now);
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
        if is_behind || self.state.list_fresh_for(now).is_zero() {
            self.state.call_due.raise();
        }
        if begins_to_lack {
            self.state.demand_changed.raise();
        }
    }

    /// Sends demand, or plans and sends news, until the process ends.
    pub fn conduct(self: &Arc<Self>) {
        let mut seen = 0;
        let mut pace = Pace::new(self.state.now());
        loop {
            let now = self.state.now();
            let left = pace.left(now).min(self.left(now));
            let count = self.state.demand_changed.wait(seen, left);
            let has_changed = count != seen;
            seen = count;
            let now = self.state.now();
            let late = pace.late(now);
            let is_due = has_changed || self.left(now).is_zero();
            if let Some(occasion) = pace.occasion(is_due, now) {
                if occasion == Occasion::Beat {
                    self.account().lateness.add(late);
                }
                self.step(occasion);
                self.state.clock.sleep(pace::pause_after(self.state.now().since(now)));
            }
        }
    }

    /// Returns how long to wait until something new may be told; a long time if nothing waits.
    pub fn left(&self, now: Time) -> Duration {
        self.told().left(now)
    }

    /// Does once what is due: demand to the planner, or planning and news.
    pub fn step(self: &Arc<Self>, occasion: Occasion) {
        let now = self.state.now();
        let demand = self.demand(now);
        if occasion == Occasion::Beat {
            self.ask_planner(now);
        }
        if self.lease.is_valid(now) {
            self.lead(demand, occasion, now);
        } else {
            self.told().end();
            self.send_demand(demand);
            self.share_signals(now);
        }
    }

    /// Returns what this daemon asks for.
    fn demand(&self, now: Time) -> Demand {
        let beat = self.told().next_beat();
        let known = self.state.followed().known(now);
        let (poison, crashes) = {
            let mut poison = self.state.poison();
            (poison.digest(), poison.found(now))
        };
        let is_planner_new = self.told().is_planner_new(self.lease.fence(), now);
        let mut fleet = self.state.fleet();
        fleet.expire(now);
        // A new planner may have received no signals yet.
        let signals =
            if is_planner_new { fleet.known_signals(now) } else { fleet.recent_signals(now) };
        Demand {
            daemon: Arc::clone(&self.me.daemon),
            incarnation: Arc::clone(&self.me.incarnation),
            beat,
            zone: self.me.zone.clone(),
            link_mbps: self.me.link_mbps,
            known,
            models: fleet.uses(now),
            in_flight: fleet.in_flight(),
            poison,
            crashes,
            signals,
        }
    }

    fn send_demand(&self, demand: Demand) {
        let Some((daemon, address)) = self.lease.planner() else { return };
        if daemon != self.me.daemon {
            self.send_parts(Message::Demand(demand), &[address]);
        }
    }

    fn lead(self: &Arc<Self>, demand: Demand, occasion: Occasion, now: Time) {
        let is_new = !std::mem::replace(&mut self.told().was_planner, true);
        if is_new {
            self.state.fleet().signals_synced();
            self.planner().reset();
            self.begin_telling(now);
            // The planner before may have left the row of poison requests behind.
            self.state.poison_changed.raise();
        }
        // All are told at once that there is a new planner.
        let occasion = if is_new { Occasion::Beat } else { occasion };
        self.planner().hear(demand, now);
        self.plan(now);
        let planned = self.state.now();
        self.send_news(occasion, planned);
        let told = self.state.now();
        let daemons = self.planner().daemons();
        let mut account = self.account();
        account.planning.add(planned.since(now));
        account.telling.add(told.since(planned));
        account.log(daemons, told);
    }

    /// Adds to a counter of this daemon's conversation.
    fn count(&self, metric: metric::Metric, n: usize) {
        self.orders.recorder.count(metric.name, &ServiceName::from("peers"), n as u64);
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
