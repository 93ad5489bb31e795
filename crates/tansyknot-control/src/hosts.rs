//! This daemon's copy of the platform's list of hosts.

use std::{collections::BTreeMap, sync::RwLock};

use tansyknot_core::{
    Result,
    clock::Time,
    event,
    host::{HostList, HostState, Target},
    label::Selector,
    name::TargetName,
};

#[derive(Debug, Default)]
struct ListState {
    targets: BTreeMap<TargetName, Target>,
    /// When each target that was once listed was first missing from the list.
    missing_since: BTreeMap<TargetName, Time>,
    has_been_read: bool,
}

/// The latest list of targets that was read from the platform.
#[derive(Debug, Default)]
pub struct HostView {
    list_state: RwLock<ListState>,
}

impl HostView {
    /// Reads the list and returns whether it has changed. The last list stays in use on failure.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond.
    pub fn refresh(&self, list: &dyn HostList, now: Time) -> Result<bool> {
        let Some(targets) = list.list()? else { return Ok(false) };
        let fresh: BTreeMap<TargetName, Target> =
            targets.into_iter().map(|t| (t.name.clone(), t)).collect();
        let mut list_state = self.list_state.write().expect("no holder of the lock panics");
        for (name, target) in &fresh {
            let previous = list_state.targets.get(name).map(|t| t.state);
            if target.state == HostState::Leaving && previous != Some(HostState::Leaving) {
                event::TARGET_LEAVING.emit(&[("target", name)]);
            }
        }
        let missing: Vec<TargetName> =
            list_state.targets.keys().filter(|name| !fresh.contains_key(*name)).cloned().collect();
        list_state.missing_since.retain(|name, _| !fresh.contains_key(name));
        for name in missing {
            list_state.missing_since.entry(name).or_insert(now);
        }
        list_state.targets = fresh;
        list_state.has_been_read = true;
        Ok(true)
    }

    /// Returns whether the list has been read since the daemon started.
    pub fn has_been_read(&self) -> bool {
        self.list_state.read().expect("no holder of the lock panics").has_been_read
    }

    /// Returns a target by name.
    pub fn target(&self, name: &TargetName) -> Option<Target> {
        self.list_state.read().expect("no holder of the lock panics").targets.get(name).cloned()
    }

    /// Returns when a target that was once listed was first missing from the list.
    pub fn missing_since(&self, name: &TargetName) -> Option<Time> {
        self.list_state
            .read()
            .expect("no holder of the lock panics")
            .missing_since
            .get(name)
            .copied()
    }

    /// Returns a target if it is live, that is, accepts new work.
    pub fn live_target(&self, name: &TargetName) -> Option<Target> {
        self.target(name).filter(|t| t.state == HostState::Live)
    }

    /// Returns the live targets that match `selector`.
    pub fn select(&self, selector: &Selector) -> Vec<Target> {
        let list_state = self.list_state.read().expect("no holder of the lock panics");
        let live = list_state.targets.values().filter(|t| t.state == HostState::Live);
        live.filter(|t| selector.matches(&t.labels)).cloned().collect()
    }

    /// Returns every target in the list.
    pub fn all(&self) -> Vec<Target> {
        let list_state = self.list_state.read().expect("no holder of the lock panics");
        list_state.targets.values().cloned().collect()
    }
}
