//! Loads and removals of replicas on the replay's hosts.

use std::cmp::Reverse;

use tansyknot_core::{clock::Time, engine::Tier};
use tansyknot_policy::{
    placement::{NearestCheckpoint, Placement, PlacementCandidate, PlacementRequirements},
    staging::{self, Staging},
};

use super::{Event, Replica, Simulation, target, zone};

const MEMORY_LOAD_US: u64 = 1_500_000;
const DISK_LOAD_US: u64 = 4_000_000;
pub(super) const REMOTE_LOAD_US: u64 = 10_000_000;
/// Concurrent loads that the weight store serves at full speed.
const FULL_SPEED_LOADS: u32 = 4;
/// Maximum number of checkpoints of removed models in a host's main memory.
const MAX_CACHED_IN_MEMORY: usize = 2;

impl Simulation<'_> {
    /// Loads one more replica, after an eviction if needed; returns whether a load was started.
    pub(super) fn load(&mut self, id: usize, prewarm: bool) -> bool {
        let Some(host) = self.choose_host(id).or_else(|| self.evict_idle_replica(id, prewarm))
        else {
            return false;
        };
        let ready_us = self.load_end(id, host);
        let h = &mut self.hosts[host];
        h.used_bytes += self.options.model_bytes;
        h.loading += 1;
        if h.used_bytes > self.options.memory_bytes {
            self.tally.memory_violations += 1;
        }
        let now_us = self.now_us;
        let s = &mut self.services[id];
        s.replicas.push(Replica {
            host,
            ready: false,
            load_started_us: now_us,
            active_requests: 0,
            busy_since_us: 0,
            busy_us: 0,
            adapters: Vec::new(),
            idle_since_us: now_us,
        });
        if s.replicas.len() > self.options.replicas as usize {
            self.tally.replica_limit_violations += 1;
        }
        s.pool.expect_ready(Some(Time::from_micros(ready_us)));
        let count = if prewarm { &mut self.tally.prewarms } else { &mut self.tally.cold_starts };
        *count += 1;
        self.events.push(Reverse((ready_us, Event::Loaded { service: id, host })));
        true
    }

    /// Stages the checkpoint of an unused service; the operators' objects list all services from the
    /// start.
    pub(super) fn stage(&mut self, id: usize) {
        let Some(service) = self.services.get(id) else { return };
        let hosts = 0..self.hosts.len();
        let staging = Staging {
            nearest: hosts.map(|host| self.tier(id, host)).min().unwrap_or(Tier::Remote),
            loading: self.hosts.iter().map(|h| h.loading).sum(),
            has_room: self.choose_host(id).is_some(),
        };
        let untouched = service.replicas.is_empty();
        if untouched && staging::wants_staging(&staging) {
            self.load(id, true);
        } else if untouched && staging.nearest == Tier::Remote {
            // Too many loads run or no host has room: staging tries this service again in 1 s.
            self.events.push(Reverse((self.now_us + 1_000_000, Event::Stage { service: id })));
            return;
        }
        self.events.push(Reverse((self.now_us, Event::Stage { service: id + 1 })));
    }

    fn tier(&self, id: usize, host: usize) -> Tier {
        let h = &self.hosts[host];
        match (h.memory.contains(&id), h.disk.contains(&id)) {
            (true, _) => Tier::Memory,
            (false, true) => Tier::Disk,
            (false, false) => Tier::Remote,
        }
    }

    fn load_end(&mut self, id: usize, host: usize) -> u64 {
        match self.tier(id, host) {
            Tier::Memory => self.now_us + MEMORY_LOAD_US,
            Tier::Disk => self.now_us + DISK_LOAD_US,
            Tier::Remote => {
                let start = self.next_load_us.max(self.now_us);
                self.next_load_us = start + (1e6 / self.options.loads_per_s) as u64;
                self.remote_loads += 1;
                let share = u64::from(self.remote_loads.div_ceil(FULL_SPEED_LOADS));
                start + REMOTE_LOAD_US * share
            }
        }
    }

    fn choose_host(&self, id: usize) -> Option<usize> {
        let taken = &self.services[id].replicas;
        let need = PlacementRequirements {
            memory_bytes: self.options.model_bytes,
            occupied_zones: taken.iter().map(|x| zone(x.host)).collect(),
            occupied_targets: taken.iter().map(|x| target(x.host)).collect(),
        };
        let places: Vec<PlacementCandidate> = (0..self.hosts.len())
            .map(|host| PlacementCandidate {
                target: target(host),
                availability_zone: zone(host),
                free_bytes: self.options.memory_bytes - self.hosts[host].used_bytes,
                tier: self.tier(id, host),
                loading: self.hosts[host].loading,
                in_flight: 0,
            })
            .collect();
        NearestCheckpoint.rank(&need, &places).first().copied()
    }

    /// Evicts the replica that has been idle longest and returns its host.
    fn evict_idle_replica(&mut self, id: usize, prewarm: bool) -> Option<usize> {
        if prewarm || !self.evicts {
            return None;
        }
        let mut best: Option<(u64, usize, usize)> = None;
        for (other, s) in self.services.iter().enumerate().filter(|(other, _)| *other != id) {
            for (at, x) in s.replicas.iter().enumerate() {
                let idle = x.ready && x.active_requests == 0;
                if idle && best.is_none_or(|(since, ..)| x.idle_since_us < since) {
                    best = Some((x.idle_since_us, other, at));
                }
            }
        }
        let (_, other, at) = best?;
        let host = self.services[other].replicas[at].host;
        self.remove_replica(other, at);
        self.publish(other);
        Some(host)
    }

    /// Removes idle replicas beyond the first: they were added for a queue that has drained.
    pub(super) fn remove_extra(&mut self, id: usize) {
        while self.services[id].replicas.len() > 1 {
            let idle = |x: &Replica| x.ready && x.active_requests == 0;
            let Some(at) = self.services[id].replicas.iter().rposition(idle) else { break };
            self.remove_replica(id, at);
        }
        self.publish(id);
    }

    pub(super) fn remove_replica(&mut self, id: usize, at: usize) {
        let replica = self.services[id].replicas.remove(at);
        let loaded_us = self.now_us - replica.load_started_us;
        let hours = |us: u64| us as f64 / 3.6e9;
        self.tally.busy_accelerator_hours += hours(replica.busy_us);
        self.tally.idle_accelerator_hours += hours(loaded_us - replica.busy_us);
        let host = &mut self.hosts[replica.host];
        host.used_bytes -= self.options.model_bytes;
        host.memory.retain(|m| *m != id);
        host.memory.push(id);
        if host.memory.len() > MAX_CACHED_IN_MEMORY {
            host.memory.remove(0);
        }
    }
}
