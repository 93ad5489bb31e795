//! The readiness page and the metrics page of a daemon.

use std::{
    io,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use tansyknot_core::{clock::Time, event, metric, name::ServiceName, telemetry::Recorder};
use tansyknot_fleet::{lease_keeper::SharedLease, peering::PeerNode, state::State};
use tansyknot_http::{
    memory::RequestMemory,
    respond::{self, ConnectionAction, FullResponse},
    server::{Handler, Lifecycle, Request},
};

use crate::metrics_page::PageRecorder;

/// Maximum number of teams whose quota accounts are shown.
const MAX_TEAMS_SHOWN: usize = 100;

/// Responds with 200 if the daemon is ready for callers, else with 503.
pub(super) struct ReadyPage {
    pub(super) state: Arc<State>,
    pub(super) targets_known: Arc<AtomicBool>,
    pub(super) lifecycle: Arc<Lifecycle>,
    pub(super) was_ready: AtomicBool,
}

impl ReadyPage {
    fn is_ready(&self) -> bool {
        let Some(catalog) = self.state.catalog() else { return false };
        let is_ready = !self.lifecycle.is_draining() && self.targets_known.load(Ordering::SeqCst);
        // A daemon without fresh keys would reject nearly all callers.
        let is_ready = is_ready && self.state.keys_are_fresh();
        if is_ready && !self.was_ready.swap(true, Ordering::SeqCst) {
            let targets = self.state.fleet().targets().count();
            event::FLEET_READY.emit(&[("config", &catalog.version), ("targets", &targets)]);
        }
        is_ready
    }
}

impl Handler for ReadyPage {
    fn handle(
        &self,
        _: Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        let status = if self.is_ready() { 200 } else { 503 };
        write_text(stream, status, String::new(), after)
    }
}

/// Writes the metrics.
pub(super) struct MetricsPage {
    pub(super) recorder: Arc<PageRecorder>,
    pub(super) state: Arc<State>,
    pub(super) lease: Arc<SharedLease>,
    pub(super) peer_node: Arc<PeerNode>,
    pub(super) memory: Arc<RequestMemory>,
}

impl MetricsPage {
    /// Updates the gauges from the current state of the daemon.
    fn update_gauges(&self) {
        let daemon = ServiceName::from("daemon");
        let now = self.state.now();
        let age = |at: Option<Time>| at.map_or(-1.0, |at| now.since(at).as_secs_f64());
        let contacts = *self.state.store_contacts();
        let advertised_version = self.state.planner_view().config_version();
        let (daemons, targets, retained, suspect, unresponsive, slow, list_version, without_room) = {
            let fleet = self.state.fleet();
            let retained = fleet.retained().count();
            let suspect = fleet.suspect_targets(now);
            let unresponsive = fleet.unresponsive_targets(now);
            let slow = fleet.slow_targets(now);
            let (daemons, targets) = (fleet.daemon_count(), fleet.targets().count());
            let without_room = fleet.unplaced_count(now);
            let list_version = fleet.list_version();
            (daemons, targets, retained, suspect, unresponsive, slow, list_version, without_room)
        };
        let (catalog, view) = self.state.active_catalog_and_keys();
        let keys_as_of = catalog.filter(|c| c.teams.is_some()).and_then(|c| view.as_of(c.version));
        let (convicted, suspected) = {
            let poison = self.state.poison();
            (poison.convicted().len(), poison.suspected())
        };
        let gauges = [
            (metric::POISON_CONVICTED, convicted as f64),
            (metric::POISON_SUSPECTED, suspected as f64),
            (metric::KEYS_AGE, age(keys_as_of)),
            (metric::IS_PLANNER, f64::from(u8::from(self.lease.is_valid(now)))),
            (metric::FENCE, self.lease.fence() as f64),
            (metric::CONFIG_VERSION, self.state.catalog().map_or(0, |c| c.version) as f64),
            (metric::CONFIG_TOLD, advertised_version as f64),
            (metric::DAEMONS, daemons as f64),
            (metric::TARGETS, targets as f64),
            (metric::TARGETS_KEPT, retained as f64),
            (metric::TARGETS_SUSPECT, suspect as f64),
            (metric::TARGETS_UNRESPONSIVE, unresponsive as f64),
            (metric::TARGETS_SLOW, slow as f64),
            (metric::NO_ROOM_MODELS, without_room as f64),
            (metric::LIST_VERSION, list_version as f64),
            (metric::LIST_CALL_AGE, age(contacts.list)),
            (metric::CONFIG_CALL_AGE, age(contacts.config)),
            (metric::REQUEST_BYTES, self.memory.held_bytes() as f64),
            (metric::REQUEST_BYTES_PEAK, self.memory.peak_bytes() as f64),
            (metric::RESPONSE_BYTES, self.memory.response_bytes() as f64),
            (metric::BODIES_EVICTED, self.memory.evictions() as f64),
        ];
        let (cut_off, failed_paths) = {
            let reachability = self.state.reachability();
            (reachability.services_cut_off(), reachability.failed_paths())
        };
        self.recorder.gauge(metric::SERVICES_CUT_OFF.name, &daemon, cut_off as f64);
        self.recorder.gauge(metric::PATHS_FAILED.name, &daemon, failed_paths as f64);
        for (gauge, value) in gauges {
            self.recorder.gauge(gauge.name, &daemon, value);
        }
        for (team, remaining) in self.peer_node.remaining_quotas().into_iter().take(MAX_TEAMS_SHOWN)
        {
            self.recorder.gauge(
                metric::QUOTA_LEFT.name,
                &ServiceName::from(team.as_str()),
                remaining,
            );
        }
        for (service, retries) in self.state.retries() {
            self.recorder.gauge(metric::RETRIES_SPENT.name, &service, retries.spent as f64);
            self.recorder.gauge(metric::RETRIES_ALLOWED.name, &service, retries.allowed);
        }
    }
}

impl Handler for MetricsPage {
    fn handle(
        &self,
        _: Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        self.update_gauges();
        write_text(stream, 200, self.recorder.page(), after)
    }
}

fn write_text(
    stream: &TcpStream,
    status: u16,
    body: String,
    after: ConnectionAction,
) -> io::Result<ConnectionAction> {
    let content_type = "text/plain; charset=utf-8".to_owned();
    let response =
        FullResponse { status, content_type, headers: Vec::new(), body: body.into_bytes() };
    respond::write_response(stream, &response, after)?;
    Ok(after)
}
