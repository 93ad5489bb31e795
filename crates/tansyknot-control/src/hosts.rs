//! The list of hosts as this daemon last read it.

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
struct Known {
    targets: BTreeMap<TargetName, Target>,
    /// When a target that had been there was first missing from the list.
    missing_since: BTreeMap<TargetName, Time>,
    read_once: bool,
}

/// The targets that the platform lists.
#[derive(Debug, Default)]
pub struct HostView {
    known: RwLock<Known>,
}

impl HostView {
    /// Reads the list; tells whether it is new. The last list stays in use if that fails.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub fn refresh(&self, list: &dyn HostList, now: Time) -> Result<bool> {
        let Some(targets) = list.list()? else { return Ok(false) };
        let fresh: BTreeMap<TargetName, Target> =
            targets.into_iter().map(|t| (t.name.clone(), t)).collect();
        let mut known = self.known.write().expect("no holder of the lock panics");
        for (name, target) in &fresh {
            let before = known.targets.get(name).map(|t| t.state);
            if target.state == HostState::Leaving && before != Some(HostState::Leaving) {
                event::TARGET_LEAVING.emit(&[("target", name)]);
            }
        }
        let gone: Vec<TargetName> =
            known.targets.keys().filter(|name| !fresh.contains_key(*name)).cloned().collect();
        known.missing_since.retain(|name, _| !fresh.contains_key(name));
        for name in gone {
            known.missing_since.entry(name).or_insert(now);
        }
        known.targets = fresh;
        known.read_once = true;
        Ok(true)
    }

    /// Tells whether the list has been read since the start.
    pub fn is_known(&self) -> bool {
        self.known.read().expect("no holder of the lock panics").read_once
    }

    /// Returns a target by name.
    pub fn target(&self, name: &TargetName) -> Option<Target> {
        self.known.read().expect("no holder of the lock panics").targets.get(name).cloned()
    }

    /// Returns since when a target has been missing from the list, if it once was there.
    pub fn missing_since(&self, name: &TargetName) -> Option<Time> {
        self.known.read().expect("no holder of the lock panics").missing_since.get(name).copied()
    }

    /// Returns a target only if it takes new work.
    pub fn live_target(&self, name: &TargetName) -> Option<Target> {
        self.target(name).filter(|t| t.state == HostState::Live)
    }

    /// Returns the targets that `selector` chooses and that take new work.
    pub fn select(&self, selector: &Selector) -> Vec<Target> {
        let known = self.known.read().expect("no holder of the lock panics");
        let live = known.targets.values().filter(|t| t.state == HostState::Live);
        live.filter(|t| selector.matches(&t.labels)).cloned().collect()
    }

    /// Returns every target in the list.
    pub fn all(&self) -> Vec<Target> {
        let known = self.known.read().expect("no holder of the lock panics");
        known.targets.values().cloned().collect()
    }
}
