//! Coordination between daemons: each daemon sends its demand to the planner, which plans, orders
//! targets and publishes updates to all daemons.

mod config;
mod crashes;
mod origin;
mod permit;
mod planning;
mod publishing;
pub mod quota;
mod scheduling;
mod stats;

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
    access::lending::QuotaAccounts,
    admission::totals::WaitingTotals,
    backpressure::scheduler::Scheduler,
    condition::ReceivedReport,
    dissemination::{
        announced_loads::AnnouncedLoads,
        datagram::{self, FORWARD_MAX_BYTES},
        heartbeat::{self, HeartbeatSchedule, StepReason},
        message::{Demand, Extent, Forward, Message, PlannerUpdate},
        peers::PeerEntry,
        relays::MAX_FOLLOWERS,
        scheduling::SchedulingReport,
    },
    fleet::UpdateId,
    follow, lease,
    lease_keeper::{self, SharedLease},
    paths::Paths,
    plan::Planner,
    platform_api::DatagramSender,
    state::State,
    stream_origin::history::SoleVersions,
    task::TaskRunner,
};

use config::RecentVersions;
use crashes::{ListSearch, ResendTimes};
use publishing::Published;
use stats::CoordinationStats;

/// Every so many demands include what the daemon knows of the targets' software. The planner needs it
/// only after a loss of its own view.
const SOFTWARE_REPORT_DEMANDS: u32 = 8;

/// One daemon's part in the coordination between daemons.
pub struct PeerNode {
    state: Arc<State>,
    lease: Arc<SharedLease>,
    task_runner: Arc<TaskRunner>,
    planner: Mutex<Planner>,
    published: Mutex<Published>,
    stats: Mutex<CoordinationStats>,
    resend_times: Mutex<ResendTimes>,
    list_search: Mutex<ListSearch>,
    quota_accounts: Mutex<QuotaAccounts>,
    scheduler: Mutex<Scheduler>,
    announced_loads: Mutex<AnnouncedLoads>,
    waiting_totals: Mutex<WaitingTotals>,
    recent_versions: Mutex<RecentVersions>,
    peers: Arc<dyn DatagramSender>,
    paths: Paths,
    me: DaemonIdentity,
}

/// How a daemon identifies itself to the others.
#[derive(Clone, Debug)]
pub struct DaemonIdentity {
    /// The daemon's name.
    pub daemon: Arc<str>,
    /// The identifier of this run of the daemon.
    pub incarnation: Arc<str>,
    /// The address at which it receives messages from other daemons.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The rate of its network link in Mbit/s, if known.
    pub link_mbps: Option<u32>,
}

impl PeerNode {
    /// Creates the node of the daemon that `me` describes.
    pub fn new(
        state: Arc<State>,
        task_runner: Arc<TaskRunner>,
        peers: Arc<dyn DatagramSender>,
        me: DaemonIdentity,
    ) -> Self {
        let lease = Arc::clone(&task_runner.lease);
        state.peers().set_local_address(me.address);
        let paths = Paths::new(Arc::clone(&state), Arc::clone(&task_runner.recorder));
        Self {
            state,
            lease,
            task_runner,
            planner: Mutex::default(),
            published: Mutex::default(),
            stats: Mutex::default(),
            resend_times: Mutex::default(),
            list_search: Mutex::default(),
            quota_accounts: Mutex::default(),
            scheduler: Mutex::default(),
            announced_loads: Mutex::default(),
            waiting_totals: Mutex::default(),
            recent_versions: Mutex::default(),
            peers,
            paths,
            me,
        }
    }

    fn planner(&self) -> MutexGuard<'_, Planner> {
        self.planner.lock().expect("no holder of the lock panics")
    }

    fn published(&self) -> MutexGuard<'_, Published> {
        self.published.lock().expect("no holder of the lock panics")
    }

    fn stats(&self) -> MutexGuard<'_, CoordinationStats> {
        self.stats.lock().expect("no holder of the lock panics")
    }

    /// Returns the planner's quota accounts, which are reset if this daemon has become the planner
    /// since the last call.
    fn quota_accounts(&self) -> MutexGuard<'_, QuotaAccounts> {
        let mut quota_accounts = self.quota_accounts.lock().expect("no holder of the lock panics");
        quota_accounts.begin(self.lease.fence(), self.state.now());
        quota_accounts
    }

    fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler.lock().expect("no holder of the lock panics")
    }

    fn announced_loads(&self) -> MutexGuard<'_, AnnouncedLoads> {
        self.announced_loads.lock().expect("no holder of the lock panics")
    }

    fn waiting_totals(&self) -> MutexGuard<'_, WaitingTotals> {
        self.waiting_totals.lock().expect("no holder of the lock panics")
    }

    fn recent_versions(&self) -> MutexGuard<'_, RecentVersions> {
        self.recent_versions.lock().expect("no holder of the lock panics")
    }

    /// Receives and handles messages until the socket fails.
    ///
    /// # Errors
    ///
    /// Returns an error if receiving from the socket fails.
    pub fn receive(&self, socket: &UdpSocket) -> io::Result<()> {
        let mut buf = [0; 2 * FORWARD_MAX_BYTES];
        loop {
            match socket.recv_from(&mut buf) {
                Ok((n, from)) => self.handle_datagram(&buf[..n], from),
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Handles one datagram received from `from`.
    pub fn handle_datagram(&self, bytes: &[u8], from: SocketAddr) {
        let now = self.state.now();
        self.stats().received.add(bytes.len());
        self.count_metric(metric::PEER_BYTES_IN, bytes.len());
        match datagram::decode(bytes) {
            Some(Message::Demand(demand)) => self.handle_demand(demand, from, now),
            Some(Message::Update(update)) => self.handle_update(update, from, now),
            Some(Message::Forward(forward)) => self.handle_forward(&forward, from, now),
            Some(Message::Crashes(evidence)) => self.handle_crashes(&evidence, from, now),
            Some(Message::UsageReport(report)) => self.handle_usage_report(&report, from, now),
            Some(Message::UsageReply(reply)) => self.handle_usage_reply(&reply, now),
            Some(Message::QuotaRequest(request)) => self.handle_quota_request(&request, from, now),
            Some(Message::QuotaReply(quota_reply)) => self.handle_quota_reply(quota_reply),
            Some(Message::Signals(signals)) => self.handle_signals(&signals, now),
            Some(Message::PermitQuery(query)) => self.handle_permit_query(&query, from, now),
            Some(Message::PermitReply(reply)) => self.handle_permit_reply(&reply, now),
            Some(Message::PermitCancel(end)) => self.handle_permit_cancel(end, from),
            Some(Message::PromiseAcknowledged(fence)) => self.lease.record_acknowledgement(fence),
            Some(Message::StreamBegan(record)) => self.state.record_origin(record),
            Some(Message::OriginQuery(stream)) => self.handle_origin_query(stream, from, now),
            Some(Message::OriginFound(record)) => self.handle_origin_found(record),
            Some(Message::OriginUnknown(stream)) => self.handle_origin_unknown(stream, from),
            Some(Message::ConfigNotice(notice)) => self.handle_config_notice(notice, from, now),
            None => event::DATAGRAM_DROPPED.emit(&[("from", &from)]),
        }
    }

    fn handle_demand(&self, demand: Demand, from: SocketAddr, now: Time) {
        let is_urgent = demand.models.iter().any(|u| u.waiting > 0);
        self.handle_promise(&demand, from);
        let (zone, link_mbps) = (demand.zone.clone(), demand.link_mbps);
        let entry = PeerEntry { address: from, zone, link_mbps };
        self.handle_crashes(&demand.crashes, from, now);
        self.compare_poison(demand.poison, from, now);
        if self.state.fleet().merge_signals(&demand.signals, now) {
            self.state.notify_view_changed();
        }
        let needs_reply = self.published().recipients.record_demand(
            entry,
            demand.received,
            self.lease.fence(),
            now,
        );
        self.record_observations(&demand, now);
        self.state.fleet().record_software_report(&demand.software, now);
        self.waiting_totals().record(&demand, now);
        self.planner().record_demand(demand, now);
        if is_urgent || needs_reply {
            self.state.step_due.notify();
        }
    }

    /// Records a follower's promise not to take the lease over, and acknowledges its first one.
    fn handle_promise(&self, demand: &Demand, from: SocketAddr) {
        if demand.is_retired {
            return self.lease.record_retirement(&demand.daemon);
        }
        if self.lease.record_promise(&demand.daemon, &demand.incarnation, demand.promise) {
            self.send_parts(Message::PromiseAcknowledged(self.lease.fence()), &[from]);
        }
    }

    /// Records the observations of targets in a daemon's demand.
    fn record_observations(&self, demand: &Demand, now: Time) {
        let Demand { daemon, incarnation, scheduling: report, .. } = demand;
        let received = ReceivedReport { daemon, incarnation, report };
        self.state.fleet().record_report(received, now);
    }

    /// Relays an update to other followers and applies it, if it comes from the newest planner that
    /// this daemon has seen.
    fn handle_forward(&self, forward: &Forward, from: SocketAddr, now: Time) {
        let Some(Message::Update(update)) = datagram::decode(&forward.datagram) else {
            event::DATAGRAM_DROPPED.emit(&[("from", &from)]);
            return;
        };
        if forward.to.len() > MAX_FOLLOWERS {
            event::DATAGRAM_DROPPED.emit(&[("from", &from)]);
            return;
        }
        if self.accept_update(&update, now) {
            forward.to.iter().for_each(|peer| self.send_bytes(&forward.datagram, *peer));
            self.apply_update(update, from, now);
        }
    }

    fn handle_update(&self, update: PlannerUpdate, from: SocketAddr, now: Time) {
        if self.accept_update(&update, now) {
            self.apply_update(update, from, now);
        }
    }

    /// Records the contact with the planner that sent `update`. Returns whether it is another
    /// daemon and the newest planner that this one has seen.
    fn accept_update(&self, update: &PlannerUpdate, now: Time) -> bool {
        let contact = lease_keeper::PlannerStatus {
            fence: update.fence,
            daemon: Arc::clone(&update.planner),
            address: update.address,
            version: update.lease_version,
            sent: now.saturating_sub(Duration::from_millis(update.lease_age_ms.into())),
            stamp_us: update.stamp_us,
            has_lapsed: Duration::from_millis(update.lease_age_ms.into()) >= lease::LEASE_DURATION,
        };
        !self.lease.is_mine() && self.lease.record_message(contact, now)
    }

    /// Applies an update from the planner that this daemon follows.
    fn apply_update(&self, update: PlannerUpdate, from: SocketAddr, now: Time) {
        self.compare_poison(update.poison, update.address, now);
        self.state.apply_published_zones(update.drained_zones);
        let own_version = self.state.catalog().map_or(0, |c| c.version);
        let update_id = UpdateId { fence: update.fence, seq: update.seq };
        self.state.admission().elsewhere.apply(update_id, &update.scheduling.waiting, now);
        update.peers.iter().for_each(|peer| self.state.peers().add(peer.clone(), now));
        self.announced_loads().record(update_id, &update.scheduling, now);
        // The view counts the changes as received; nothing may read the list before they apply.
        let mut fleet = self.state.fleet();
        fleet.begin_updates(update.fence);
        let (changes, is_config_behind, has_new_gap) = {
            let mut view = self.state.planner_view();
            view.record_source(from, update.address, now);
            let config_age = Duration::from_millis(update.config_age_ms.into());
            view.record_config(update.config, config_age, now);
            let was_missing = view.has_gap();
            let changes = view.apply_list_update(update.fence, update.list.clone(), now);
            let is_config_behind = own_version < view.config_version();
            (changes, is_config_behind, view.has_gap() && !was_missing)
        };
        fleet.mark_signals_synced();
        let is_changed = fleet.merge_signals(&update.signals, now) || !changes.is_empty();
        fleet.raise_daemon_count(update.daemons.into());
        fleet.raise_list_version(update.list.version);
        for change in changes {
            fleet.apply_update(change, update.fence, now);
        }
        match update.extent {
            Extent::Full => {
                fleet.apply_loads(update_id, &update.loads, &update.pending_loads, now);
            }
            Extent::Changes => fleet.apply_load_changes(&update.loads, &update.pending_loads, now),
        }
        fleet.receive_conditions(&update.scheduling.conditions, now);
        drop(fleet);
        self.apply_scheduling(&update.scheduling, now);
        if is_changed {
            self.state.targets_changed.notify();
        }
        if is_config_behind || self.state.list_fresh_for(now).is_zero() {
            self.state.store_call_due.notify();
        }
        if has_new_gap {
            self.state.step_due.notify();
        }
    }

    /// Sends demand as a follower, or plans and publishes updates as the planner, until the process
    /// ends.
    pub fn run(self: &Arc<Self>) {
        let mut seen = 0;
        let mut schedule = HeartbeatSchedule::new(self.state.now());
        loop {
            let now = self.state.now();
            let max_wait = schedule.time_left(now).min(self.publish_delay(now));
            let count = self.state.step_due.wait(seen, max_wait);
            let has_changed = count != seen;
            seen = count;
            let now = self.state.now();
            let delay = schedule.overdue_by(now);
            let is_due = has_changed || self.publish_delay(now).is_zero();
            if let Some(reason) = schedule.step_reason(is_due, now) {
                if reason == StepReason::Heartbeat {
                    self.stats().heartbeat_delay.add(delay);
                }
                self.step(reason);
                self.state.clock.sleep(heartbeat::pause_after(self.state.now().since(now)));
            }
        }
    }

    /// Returns how long until waiting changes may be published, or `Duration::MAX` if none wait.
    pub fn publish_delay(&self, now: Time) -> Duration {
        self.published().publish_delay(now)
    }

    /// Runs one step: sends demand as a follower, or plans and publishes as the planner.
    pub fn step(self: &Arc<Self>, reason: StepReason) {
        let now = self.state.now();
        if reason == StepReason::Heartbeat {
            self.state.update_allowances(now);
            self.state.update_config_reader(now);
            self.publish_config_age(now);
        }
        let demand = self.current_demand(now);
        if reason == StepReason::Heartbeat {
            self.send_usage_report(now);
        }
        if self.lease.is_valid(now) {
            self.run_planner_step(demand, reason, now);
        } else {
            self.published().stop();
            self.send_demand(demand);
            self.share_signals(now);
        }
    }

    /// Returns the demand that this daemon reports to the planner.
    fn current_demand(&self, now: Time) -> Demand {
        let seq = self.published().next_seq();
        let received = self.state.planner_view().received_state(now);
        let (poison, crashes) = {
            let mut poison = self.state.poison();
            (poison.digest(), poison.findings(now))
        };
        let is_planner_new = self.published().is_planner_new(self.lease.fence(), now);
        let waiting = self.state.admission().report(now);
        self.state.record_software_view(now);
        let software = if seq.is_multiple_of(SOFTWARE_REPORT_DEMANDS) {
            self.state.sole_versions_on_routes()
        } else {
            SoleVersions::new()
        };
        let mut fleet = self.state.fleet();
        fleet.expire(now);
        if fleet.log_unresponsive_targets(now) {
            self.state.targets_unresponsive.notify();
        }
        // A new planner may have received no signals yet.
        let signals = if is_planner_new { fleet.signals(now) } else { fleet.recent_signals(now) };
        Demand {
            daemon: Arc::clone(&self.me.daemon),
            incarnation: Arc::clone(&self.me.incarnation),
            seq,
            zone: self.me.zone.clone(),
            link_mbps: self.me.link_mbps,
            received,
            models: fleet.model_uses(now),
            in_flight: fleet.in_flight(),
            poison,
            crashes,
            signals,
            scheduling: SchedulingReport { waiting, ..fleet.observation_report(now) },
            promise: self.lease.promise(now),
            is_retired: self.lease.is_retired(now),
            software,
        }
    }

    fn send_demand(&self, demand: Demand) {
        let Some((daemon, address)) = self.lease.planner() else { return };
        if daemon != self.me.daemon {
            self.send_parts(Message::Demand(demand), &[address]);
        }
    }

    fn run_planner_step(self: &Arc<Self>, demand: Demand, reason: StepReason, now: Time) {
        let is_new = !std::mem::replace(&mut self.published().was_planner, true);
        if self.published().begins_extension(self.lease.is_extended(now)) {
            event::FLEET_LEASE_EXTENDED.emit(&[("fence", &self.lease.fence())]);
        }
        if is_new {
            {
                let mut fleet = self.state.fleet();
                fleet.mark_signals_synced();
                fleet.begin_announcing_conditions(now);
            }
            if self.published().begins_term(self.lease.fence()) {
                self.reset_planner(now);
                self.waiting_totals().reset();
            }
            self.start_publishing(now);
            // The previous planner may have left the row of poison requests outdated.
            self.state.poison_changed.notify();
        }
        // A new planner announces itself to all daemons at once.
        let reason = if is_new { StepReason::Heartbeat } else { reason };
        self.record_observations(&demand, now);
        self.waiting_totals().record(&demand, now);
        self.planner().record_demand(demand, now);
        self.plan(now);
        let planned_at = self.state.now();
        self.publish(reason, planned_at);
        let published_at = self.state.now();
        let daemons = self.planner().daemon_count();
        let mut stats = self.stats();
        stats.planning.add(planned_at.since(now));
        stats.publishing.add(published_at.since(planned_at));
        stats.log(daemons, published_at);
    }

    /// Drops what this daemon knew as the planner earlier, and takes over the loads that the last
    /// planner has announced.
    fn reset_planner(&self, now: Time) {
        let announced = self.announced_loads().clone();
        let (loads, received_at) = announced.loads();
        let fleet = self.state.fleet();
        let mut planner = self.planner();
        planner.reset(now);
        planner.adopt_loads(loads, announced.capacity(), received_at, &fleet, now);
    }

    /// Adds `n` to a counter, which is recorded under the service name `peers`.
    fn count_metric(&self, metric: metric::Metric, n: usize) {
        self.task_runner.recorder.count(metric.name, &ServiceName::from("peers"), n as u64);
    }

    /// Returns whether this daemon is the planner.
    pub fn is_planner(&self) -> bool {
        self.lease.is_valid(self.state.now())
    }

    /// Returns how long this daemon leaves the store to others when its view of the list is too old.
    pub fn own_list_call_delay(&self, now: Time) -> Duration {
        follow::own_call_delay(&self.state, now)
    }

    /// Returns whether a load is due that the list of targets does not show yet.
    pub fn awaits_load(&self) -> bool {
        self.task_runner.overdue_loads.load(Ordering::SeqCst) > 0
    }
}
