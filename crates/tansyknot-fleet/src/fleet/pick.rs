//! Which target takes a request.

use std::sync::Arc;

use rand::Rng;
use tansyknot_core::{
    clock::Time,
    name::{ModelName, TargetName},
};

use super::{Fleet, Pick, Want, member::Member};
use crate::{backpressure::run_state::Availability, target::Target};

/// What a mean failure of one adds to a target's load, in slots.
const FAILURE_WEIGHT: f64 = 3.0;
/// What a target in another zone costs, in slots: a request's bytes cross zones for money.
const OTHER_ZONE: f64 = 0.02;
/// What a token of a prompt prefix that a target has read saves, in slots: reading 1000 takes some
/// 26 ms (the platform's page: 38.7 tokens in a ms), in which all others there are kept waiting.
const PREFIX_WORTH: f64 = 0.1e-3;
/// Loads closer than this, in slots, are alike and drawn among.
const ALIKE: f64 = 0.005;
/// How far beyond its slots a target is filled; it queues a few.
const OVERFILL: f64 = 1.0;

impl Fleet {
    /// Chooses a target for a request and counts the request there. One that names a limit is chosen
    /// if no other one has a free place; the request is counted there once it has a permit.
    ///
    /// `tried` are targets that have failed it; one of them is chosen only if there is no other.
    pub fn pick(
        &mut self,
        want: &Want<'_>,
        tried: &[TargetName],
        now: Time,
        rng: &mut impl Rng,
    ) -> Pick {
        if self.ready(want, now).next().is_none() {
            return Pick::NoTarget;
        }
        let (resting, awake): (Vec<&Member>, Vec<&Member>) =
            self.holding(want, now).partition(|m| self.rests_until(m, now).is_some());
        let or_at = resting.iter().filter_map(|m| self.rests_until(m, now)).min();
        if awake.is_empty() {
            return or_at.map_or(Pick::NotLoaded, Pick::Resting);
        }
        let (sound, suspect): (Vec<&Member>, Vec<&Member>) =
            awake.into_iter().partition(|m| now >= m.suspect_until);
        // A target that has just failed this very request is asked again only once it is sound.
        let choices = [untried(&sound, tried), untried(&suspect, tried), sound];
        let Some(from) = choices.into_iter().find(|c| !c.is_empty()) else {
            return Pick::NotLoaded;
        };
        let is_free = |m: &&Member| {
            now >= m.full_until && m.load() < 1.0 + OVERFILL && self.is_past_first_contact(m)
        };
        let (limited, open): (Vec<&Member>, Vec<&Member>) =
            from.into_iter().filter(is_free).partition(|m| self.limit(m.run).is_some());
        if let Some(chosen) = self.least_loaded(&open, want, rng) {
            let target = Arc::clone(&chosen.target);
            self.enter(&target.name, want.model, now);
            return Pick::Target(target);
        }
        let Some(chosen) = self.soonest(&limited) else { return Pick::Full };
        Pick::Limited { target: Arc::clone(&chosen.target), or_at }
    }

    /// Returns the one of the targets with limits whose requests should leave it first.
    fn soonest<'a>(&self, limited: &[&'a Member]) -> Option<&'a Member> {
        let load = |m: &Member| f64::from(m.own() + m.others + 1);
        let wait = |m: &Member| self.limit(m.run).map_or(0.0, |rate| load(m) / rate.per_s());
        limited.iter().copied().min_by(|a, b| wait(a).total_cmp(&wait(b)))
    }

    /// Chooses a sound target with a free slot and without a limit that is not among `tried`, and
    /// counts the request there.
    pub fn pick_elsewhere(
        &mut self,
        want: &Want<'_>,
        tried: &[TargetName],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Arc<Target>> {
        let is_sound = |m: &Member| {
            now >= m.suspect_until && now >= m.full_until && self.is_past_first_contact(m)
        };
        let is_open = |m: &Member| self.backpressure.availability(m.run, now) == Availability::Open;
        let is_free = |m: &&Member| is_sound(m) && m.load() < 1.0 && is_open(m);
        let free: Vec<&Member> = self.holding(want, now).filter(is_free).collect();
        let chosen = self.least_loaded(&untried(&free, tried), want, rng)?;
        let target = Arc::clone(&chosen.target);
        self.enter(&target.name, want.model, now);
        Some(target)
    }

    /// Returns the targets that take new work of a service.
    pub(super) fn ready(&self, want: &Want<'_>, now: Time) -> impl Iterator<Item = &Member> {
        let of_service = |m: &&Member| m.target.service == *want.service;
        self.members.values().filter(of_service).filter(move |m| m.takes_work(now))
    }

    /// Returns those of them that hold what a request wants, as far as is known.
    fn holding(&self, want: &Want<'_>, now: Time) -> impl Iterator<Item = &Member> {
        self.ready(want, now).filter(move |m| m.holds(want) && !m.is_missing(want, now))
    }

    fn least_loaded<'a>(
        &self,
        free: &[&'a Member],
        want: &Want<'_>,
        rng: &mut impl Rng,
    ) -> Option<&'a Member> {
        let preferred = want.prefix.and_then(|prefix| {
            free.iter()
                .max_by_key(|m| rendezvous(prefix.id, &m.target.name))
                .map(|m| &m.target.name)
        });
        let kept = want.prefix.map_or(0.0, |prefix| f64::from(prefix.tokens) * PREFIX_WORTH);
        let cost = |m: &Member| {
            let zone = if self.zone.as_ref() == Some(&m.target.zone) { 0.0 } else { OTHER_ZONE };
            let prefix = if preferred == Some(&m.target.name) { kept } else { 0.0 };
            m.load() + m.failures * FAILURE_WEIGHT + zone - prefix
        };
        let least = free.iter().map(|m| cost(m)).min_by(f64::total_cmp)?;
        let alike: Vec<&&Member> = free.iter().filter(|m| cost(m) <= least + ALIKE).collect();
        Some(alike[rng.random_range(0..alike.len())])
    }

    /// Counts a request at its target.
    pub fn enter(&mut self, target: &TargetName, model: Option<&ModelName>, now: Time) {
        if let Some(m) = self.members.get_mut(target) {
            *m.in_flight.entry(model.cloned()).or_default() += 1;
            self.backpressure.sends(m.run, now);
        }
    }
}

/// Returns the targets that are not among `tried`.
fn untried<'a>(members: &[&'a Member], tried: &[TargetName]) -> Vec<&'a Member> {
    let is_untried = |m: &&&Member| !tried.contains(&m.target.name);
    members.iter().filter(is_untried).copied().collect()
}

/// Ranks targets for a prefix, so that every daemon prefers the same one.
fn rendezvous(prefix: u64, target: &TargetName) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(target.as_str().as_bytes(), prefix)
}
