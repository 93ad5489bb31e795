//! Which targets this daemon can connect to by itself, as its connections show.
//!
//! A daemon that loses its links to the targets can't tell by one connection whether the fault is
//! its own or the target's. It is cut off from a service once it has failed to connect to several of
//! its targets without a success in between, and until a connection succeeds.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    name::{ServiceName, TargetName},
};

use crate::target::Target;

/// Number of targets without a connection from which a daemon is cut off from a service; all targets
/// of a service that has fewer.
const MIN_FAILED_TARGETS: usize = 3;
/// Interval between probes of targets that could not be reached.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of targets that are probed at a time.
const MAX_PROBES: usize = 2;
/// A request is refused at once if nothing of its service could be reached for this long. Targets
/// that restart together are back sooner, and the requests wait for them.
pub const OUTAGE_CONFIRMATION: Duration = Duration::from_secs(1);

/// How a connection to a target is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// By this daemon itself.
    Direct,
    /// Through another daemon.
    Tunnel,
}

/// A change of a daemon's ability to reach a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The daemon reaches no target of the service any more.
    CutOff {
        /// The number of targets that it could not connect to.
        failed: usize,
    },
    /// The daemon reaches the service again after this long.
    Restored(Duration),
}

/// What a daemon knows of its paths to the targets.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    services: HashMap<ServiceName, ServicePaths>,
}

/// The paths to the targets of one service, while some of them have failed.
#[derive(Clone, Debug, Default)]
struct ServicePaths {
    /// Targets without a direct path.
    failed: BTreeSet<TargetName>,
    /// Targets that could not be connected to since the last success with any target.
    failed_in_a_row: BTreeSet<TargetName>,
    /// Since when no target can be reached directly.
    cut_off_since: Option<Time>,
    /// Since when no other daemon reaches a target either.
    isolated_since: Option<Time>,
    probed_at: Time,
    /// The last target that was probed.
    last_probed: Option<TargetName>,
}

impl Reachability {
    /// Returns how to connect to a target.
    pub fn path(&self, target: &Target) -> Path {
        let is_blocked = self
            .services
            .get(&target.service)
            .is_some_and(|s| s.cut_off_since.is_some() || s.failed.contains(&target.name));
        if is_blocked { Path::Tunnel } else { Path::Direct }
    }

    /// Returns whether this daemon reaches no target of a service by itself.
    pub fn is_cut_off(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|s| s.cut_off_since.is_some())
    }

    /// Returns whether this daemon reaches no target of any service by itself, and has not for
    /// `duration`.
    pub fn is_cut_off_for<'a>(
        &self,
        mut services: impl Iterator<Item = &'a ServiceName>,
        duration: Duration,
        now: Time,
    ) -> bool {
        let since = |service| self.services.get(service)?.cut_off_since;
        services.all(|service| since(service).is_some_and(|at| now.since(at) >= duration))
    }

    /// Returns whether no daemon that was asked last has reached a target of a service.
    pub fn is_isolated(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|s| s.isolated_since.is_some())
    }

    /// Returns whether neither this daemon nor another one has reached a target of a service for
    /// [`OUTAGE_CONFIRMATION`].
    pub fn is_outage_confirmed(&self, service: &ServiceName, now: Time) -> bool {
        let since = self.services.get(service).and_then(|s| s.isolated_since);
        since.is_some_and(|at| now.since(at) >= OUTAGE_CONFIRMATION)
    }

    /// Returns the number of services of which this daemon reaches no target by itself.
    pub fn services_cut_off(&self) -> usize {
        self.services.values().filter(|s| s.cut_off_since.is_some()).count()
    }

    /// Returns the number of targets without a direct path.
    pub fn failed_paths(&self) -> usize {
        self.services.values().map(|s| s.failed.len()).sum()
    }

    /// Returns whether a target of a service has no direct path.
    pub fn has_failed(&self, service: &ServiceName, target: &TargetName) -> bool {
        self.services.get(service).is_some_and(|s| s.failed.contains(target))
    }

    /// Returns whether a path has failed, so that targets are to be probed.
    pub fn has_failed_paths(&self) -> bool {
        !self.services.is_empty()
    }

    /// Records that this daemon has connected to a target. The next ones are probed at once, as links
    /// that have failed together often come back together.
    pub fn record_connected(&mut self, target: &Target, now: Time) -> Option<Transition> {
        let paths = self.services.get_mut(&target.service)?;
        paths.failed.remove(&target.name);
        paths.failed_in_a_row.clear();
        paths.isolated_since = None;
        paths.probed_at = Time::default();
        let cut_off_since = paths.cut_off_since.take();
        if paths.failed.is_empty() {
            self.services.remove(&target.service);
        }
        cut_off_since.map(|since| Transition::Restored(now.since(since)))
    }

    /// Records that this daemon could not connect to a target, of a service with `targets` targets.
    pub fn record_failed(
        &mut self,
        target: &Target,
        targets: usize,
        now: Time,
    ) -> Option<Transition> {
        let paths = self.services.entry(target.service.clone()).or_default();
        paths.failed.insert(target.name.clone());
        paths.failed_in_a_row.insert(target.name.clone());
        let failed = paths.failed_in_a_row.len();
        if paths.cut_off_since.is_some() || failed < targets.min(MIN_FAILED_TARGETS) {
            return None;
        }
        paths.cut_off_since = Some(now);
        Some(Transition::CutOff { failed })
    }

    /// Records that a probe could not connect to a target. It is no evidence of a cut: the targets
    /// that are probed are those that have failed before.
    pub fn record_probe_failed(&mut self, target: &Target) {
        let paths = self.services.get_mut(&target.service);
        if let Some(paths) = paths.filter(|s| s.cut_off_since.is_some()) {
            paths.failed.insert(target.name.clone());
        }
    }

    /// Records that other daemons, which reach other targets, can't reach a target either: the
    /// target itself has failed.
    pub fn record_target_down(&mut self, target: &Target) {
        let Some(paths) = self.services.get_mut(&target.service) else { return };
        if paths.cut_off_since.is_some() {
            return;
        }
        paths.failed.remove(&target.name);
        paths.failed_in_a_row.remove(&target.name);
        if paths.failed.is_empty() {
            self.services.remove(&target.service);
        }
    }

    /// Records that another daemon has connected to a target for this one.
    pub fn record_tunnelled(&mut self, target: &Target) {
        if let Some(paths) = self.services.get_mut(&target.service) {
            paths.isolated_since = None;
        }
    }

    /// Records that no other daemon reaches the service of a target.
    pub fn record_isolated(&mut self, target: &Target, now: Time) {
        let paths = self.services.get_mut(&target.service);
        if let Some(paths) = paths.filter(|s| s.cut_off_since.is_some()) {
            paths.isolated_since.get_or_insert(now);
        }
    }

    /// Returns the targets to probe now. `known` are the targets of a service in the order of their
    /// names.
    pub fn due_probes(
        &mut self,
        known: impl Fn(&ServiceName) -> Vec<TargetName>,
        now: Time,
    ) -> Vec<TargetName> {
        let mut due = Vec::new();
        self.services.retain(|service, paths| {
            let known = known(service);
            paths.failed.retain(|name| known.contains(name));
            if known.is_empty() || (paths.failed.is_empty() && paths.cut_off_since.is_none()) {
                return false;
            }
            if now.since(paths.probed_at) >= PROBE_INTERVAL {
                paths.probed_at = now;
                let candidates = match paths.cut_off_since {
                    Some(_) => known,
                    None => paths.failed.iter().cloned().collect(),
                };
                due.extend(paths.rotate(candidates));
            }
            true
        });
        due
    }
}

impl ServicePaths {
    /// Returns the next candidates after the last target that was probed.
    fn rotate(&mut self, candidates: Vec<TargetName>) -> Vec<TargetName> {
        let last = self.last_probed.take();
        let start = candidates.iter().position(|c| last.as_ref().is_some_and(|last| c > last));
        let mut chosen = candidates;
        chosen.rotate_left(start.unwrap_or(0));
        chosen.truncate(MAX_PROBES);
        self.last_probed = chosen.last().cloned();
        chosen
    }
}
