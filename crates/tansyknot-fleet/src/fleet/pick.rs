//! Selects the target of a request.

use std::sync::Arc;

use rand::Rng;
use tansyknot_core::{
    clock::Time,
    name::{ModelName, TargetName},
};

use tansyknot_policy::choice::{self, Prospect};

use super::{Fleet, Pick, TargetRequirements, member::Member};
use crate::{backpressure::run_state::Availability, scheduling::TargetChoice, target::Target};

/// The relative load (requests per slot) that a failure rate of 1 adds to a target.
const FAILURE_COST: f64 = 3.0;
/// The relative load that a target in another availability zone is charged, as traffic between
/// zones costs money.
const CROSS_ZONE_COST: f64 = 0.02;
/// The relative load that a token of a cached prompt prefix saves. All other requests at the target
/// wait while a prompt is read.
const PREFIX_SAVING_PER_TOKEN: f64 = 0.1e-3;
/// Targets whose costs differ by at most this relative load are tied; one of them is drawn.
const TIE_MARGIN: f64 = 0.005;

impl Fleet {
    /// Selects a target for a request and counts the request there. A target with a rate limit is
    /// selected if no other target has a free slot; the request is counted there once it has a
    /// permit.
    ///
    /// `tried` are targets that have failed the request; one of them is selected only if there is
    /// no other.
    pub fn pick(
        &mut self,
        want: &TargetRequirements<'_>,
        tried: &[TargetName],
        now: Time,
        rng: &mut impl Rng,
    ) -> Pick {
        if self.ready(want, now).next().is_none() {
            return self.exclusion(want, now).map_or(Pick::NoTarget, Pick::Excluded);
        }
        let (backing_off, available): (Vec<&Member>, Vec<&Member>) =
            self.holding(want, now).partition(|m| self.backing_off_until(m, now).is_some());
        let available_at = backing_off.iter().filter_map(|m| self.backing_off_until(m, now)).min();
        if available.is_empty() {
            return available_at.map_or(Pick::NotLoaded, Pick::BackingOff);
        }
        let (healthy, suspect): (Vec<&Member>, Vec<&Member>) =
            available.into_iter().partition(|m| now >= m.suspect_until && m.is_preferred(now));
        // A target that has just failed this request is tried again only once it is not suspect.
        let choices = [untried(&healthy, tried), untried(&suspect, tried), healthy];
        let Some(candidates) = choices.into_iter().find(|c| !c.is_empty()) else {
            return Pick::NotLoaded;
        };
        let service_time = self.bounding_service_time(want);
        let is_free = |m: &&Member| {
            now >= m.full_until
                && m.gets_requests(now)
                && self.has_place(m, service_time, now)
                && self.is_past_first_contact(m)
                && self.has_room(m, want, now)
        };
        let (limited, open): (Vec<&Member>, Vec<&Member>) = candidates
            .into_iter()
            .filter(is_free)
            .partition(|m| self.rate_limit(m.run, now).is_some());
        let open = self.prefer_ample_room(open, want, now);
        if let Some(chosen) = self.select(&open, want, now, rng) {
            let target = Arc::clone(&chosen.target);
            self.begin_request(&target.name, want.model, want.cache.tokens, now);
            self.check_unreported(&target.name, want, now);
            return Pick::Target(target);
        }
        let Some(chosen) = self.shortest_wait(&limited, now) else { return Pick::Full };
        Pick::Limited { target: Arc::clone(&chosen.target), available_at }
    }

    /// Returns the rate-limited target at which another request should wait for the shortest time.
    fn shortest_wait<'a>(&self, limited: &[&'a Member], now: Time) -> Option<&'a Member> {
        let load = |m: &Member| f64::from(m.own_requests() + m.other_requests + 1);
        let wait =
            |m: &Member| self.rate_limit(m.run, now).map_or(0.0, |rate| load(m) / rate.per_s());
        limited.iter().copied().min_by(|a, b| wait(a).total_cmp(&wait(b)))
    }

    /// Selects a target with a free slot and without a rate limit that is neither suspect nor among
    /// `tried`, and counts the request there.
    pub fn pick_other(
        &mut self,
        want: &TargetRequirements<'_>,
        tried: &[TargetName],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Arc<Target>> {
        let is_healthy = |m: &Member| {
            now >= m.suspect_until
                && now >= m.full_until
                && m.is_responsive(now)
                && self.is_past_first_contact(m)
        };
        let is_open = |m: &Member| self.availability(m.run, now) == Availability::Open;
        let has_slot = |m: &Member| {
            m.load() < 1.0
                && self.brittle_places(m, now).is_none_or(|places| places > 0)
                && self.has_room(m, want, now)
        };
        let is_free = |m: &&Member| is_healthy(m) && has_slot(m) && is_open(m);
        let free: Vec<&Member> = self.holding(want, now).filter(is_free).collect();
        let free = self.prefer_ample_room(free, want, now);
        let chosen = self.select(&untried(&free, tried), want, now, rng)?;
        let target = Arc::clone(&chosen.target);
        self.begin_request(&target.name, want.model, want.cache.tokens, now);
        self.check_unreported(&target.name, want, now);
        Some(target)
    }

    /// Returns the targets that accept new work and may serve a request.
    pub(super) fn ready(
        &self,
        want: &TargetRequirements<'_>,
        now: Time,
    ) -> impl Iterator<Item = &Member> {
        let is_allowed = |m: &&Member| want.allows(&m.target);
        self.members.values().filter(is_allowed).filter(move |m| self.takes_requests(m, now))
    }

    /// Returns the targets that accept new work and hold what a request needs, as far as this
    /// daemon knows.
    pub(super) fn holding(
        &self,
        want: &TargetRequirements<'_>,
        now: Time,
    ) -> impl Iterator<Item = &Member> {
        self.ready(want, now).filter(move |m| m.holds(want) && !m.is_missing(want, now))
    }

    /// Selects one of the targets that can take a request.
    fn select<'a>(
        &self,
        free: &[&'a Member],
        want: &TargetRequirements<'_>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<&'a Member> {
        match self.target_choice {
            TargetChoice::LeastRequests => self.least_loaded(free, want, rng),
            TargetChoice::ExpectedTime => self.fastest(free, want, now, rng),
        }
    }

    /// Returns the target with the shortest expected time for a request.
    fn fastest<'a>(
        &self,
        free: &[&'a Member],
        want: &TargetRequirements<'_>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<&'a Member> {
        let preferred = preferred_for_prefix(free, want);
        let prefix_tokens = want.prefix.map_or(0, |prefix| prefix.tokens);
        let usual_time = self.conditions.request_time(want.service);
        let cost = |m: &&Member| {
            let prospect = Prospect {
                condition: self.conditions.condition(&m.target.name, m.load() > 0.0, now),
                load: m.load(),
                is_same_zone: self.zone.as_ref() == Some(&m.target.zone),
                cached_tokens: if preferred == Some(&m.target.name) { prefix_tokens } else { 0 },
            };
            let silent_s = m.response_waits.silent_for(now).as_secs_f64();
            choice::cost_s(&prospect, usual_time).max(silent_s)
        };
        let costs: Vec<f64> = free.iter().map(cost).collect();
        choice::cheapest(&costs, usual_time, rng).map(|at| free[at])
    }

    fn least_loaded<'a>(
        &self,
        free: &[&'a Member],
        want: &TargetRequirements<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Member> {
        let preferred = preferred_for_prefix(free, want);
        let prefix_saving =
            want.prefix.map_or(0.0, |prefix| f64::from(prefix.tokens) * PREFIX_SAVING_PER_TOKEN);
        let cost = |m: &Member| {
            let zone_cost =
                if self.zone.as_ref() == Some(&m.target.zone) { 0.0 } else { CROSS_ZONE_COST };
            let saving = if preferred == Some(&m.target.name) { prefix_saving } else { 0.0 };
            m.load() + m.failure_rate * FAILURE_COST + zone_cost - saving
        };
        let min_cost = free.iter().map(|m| cost(m)).min_by(f64::total_cmp)?;
        let tied: Vec<&&Member> =
            free.iter().filter(|m| cost(m) <= min_cost + TIE_MARGIN).collect();
        Some(tied[rng.random_range(0..tied.len())])
    }

    /// Counts a request and its tokens at its target.
    pub fn begin_request(
        &mut self,
        target: &TargetName,
        model: Option<&ModelName>,
        tokens: u32,
        now: Time,
    ) {
        let tokens = self.counted(tokens);
        if let Some(m) = self.members.get_mut(target) {
            let held = m.in_flight.entry(model.cloned()).or_default();
            held.requests += 1;
            held.tokens = held.tokens.saturating_add(tokens);
            self.backpressure.record_choice(m.run, now);
        }
    }
}

/// Returns the targets that are not among `tried`.
fn untried<'a>(members: &[&'a Member], tried: &[TargetName]) -> Vec<&'a Member> {
    let is_untried = |m: &&&Member| !tried.contains(&m.target.name);
    members.iter().filter(is_untried).copied().collect()
}

/// Returns the target that every daemon prefers for the prefix of a request's prompt.
fn preferred_for_prefix<'a>(
    free: &[&'a Member],
    want: &TargetRequirements<'_>,
) -> Option<&'a TargetName> {
    let prefix = want.prefix?;
    let preferred = free.iter().max_by_key(|m| rendezvous(prefix.id, &m.target.name))?;
    Some(&preferred.target.name)
}

/// Ranks targets for a prefix by rendezvous hashing, so that every daemon prefers the same target.
fn rendezvous(prefix: u64, target: &TargetName) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(target.as_str().as_bytes(), prefix)
}
