//! Requests under which targets crash: which are suspected, convicted, cleared and forgotten.
//!
//! A request that was at a target when that target crashed is suspected. Three crashes of different
//! runs convict it, and it is not sent on any more, but for one trial by one daemon. What daemons know
//! of this only grows, so that it can be merged in any order, any number of times, from any of them.
//! Nothing here has a thread or a socket: `serve` says what became of sends, `conduct` tells others,
//! `poison::keep` stores it.

mod account;
mod doubt;
pub mod evidence;
pub mod keep;
pub mod key;
mod row;
mod served;
mod trial;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tansyknot_core::{clock::Time, event, metric, telemetry::Recorder};

use account::Account;
use doubt::Doubts;
use evidence::{Digest, Evidence};
use key::{RequestKey, RunKey};
use served::Served;
use trial::Trials;

pub use doubt::{Doubted, Look, Place, Presence};

/// Crashes of different runs of targets that convict a request. Releases, racks that fail and hosts
/// that end put one on requests that have nothing to do with it, and two on few.
pub const CRASHES_CONVICT: usize = 3;
/// Requests that are suspected at once at most, some 150 bytes each. A crash puts as many under
/// suspicion as a target has slots, 64 at most on the users' sites.
const SUSPECTED_MOST: usize = 4096;
/// Requests that are convicted at once at most: as many fit in the row that outlives all daemons.
pub const CONVICTED_MOST: usize = 256;
/// Of suspected requests that are too many, this part goes at once, those asked for longest ago.
const FORGOTTEN_PART: usize = 8;
/// What this daemon has found is told again with its demand for this long, as datagrams get lost.
const FOUND_TOLD: Duration = Duration::from_millis(1000);
/// Runs of targets of which it is remembered when they ended, for those that turn out to be alive.
const ENDED_MOST: usize = 1024;

/// What a daemon knows of requests under which targets have crashed.
#[derive(Debug, Default)]
pub struct Poison {
    accounts: BTreeMap<RequestKey, Account>,
    /// The requests that are convicted, and since when.
    convicted: BTreeMap<RequestKey, Time>,
    /// When the daemon began to see what is answered.
    started: Time,
    trials: Trials,
    doubts: Doubts,
    served: Served,
    /// When this daemon has learnt that a run has ended.
    ended: BTreeMap<RunKey, Time>,
    /// What is to be told to others at once.
    untold: BTreeSet<RequestKey>,
    /// What this daemon has found itself, and when.
    found: BTreeMap<RequestKey, Time>,
    /// Rises with each use of an account.
    uses: u64,
}

/// What came of taking in what another daemon knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Whether a request is convicted now that was not.
    pub convicts: bool,
    /// What the other daemon lacks to convict a request that is convicted here.
    pub lacking: Vec<Evidence>,
}

impl Poison {
    /// Makes what a daemon knows that starts at `started`.
    pub fn new(started: Time) -> Self {
        Self { started, ..Self::default() }
    }

    /// Tells whether a request is not to be sent on.
    pub fn is_convicted(&mut self, key: RequestKey) -> bool {
        let is_convicted = self.convicted.contains_key(&key);
        if is_convicted {
            self.account(key);
        }
        is_convicted
    }

    /// Begins a trial of a convicted request, if there may be one; exactly one daemon asks for it.
    pub fn begin_trial(&mut self, key: RequestKey, now: Time) -> bool {
        let Some(since) = self.convicted.get(&key) else { return false };
        let is_open = self.accounts.get(&key).is_some_and(|a| !a.is_tried());
        is_open && self.trials.begin(key, *since, now)
    }

    /// Takes in that a target cut a request off which it was sent at `opened`; tells whether it is
    /// to be looked at, which [`Poison::looked`] ends.
    pub fn cut_off(&mut self, key: RequestKey, run: RunKey, opened: Time, now: Time) -> Look {
        if self.ended.contains_key(&run) {
            self.crashed(key, run, now.since(opened), now);
            return Look::Done;
        }
        self.doubts.add(key, run, now.since(opened), now)
    }

    /// Tells whether a request's thread looks at a target.
    pub fn is_looked_at(&self, run: RunKey) -> bool {
        self.doubts.is_looked_at(run)
    }

    /// Takes in what a look at a target, or word of it, has shown. Without a sign of its end nobody
    /// is suspected: targets cut off, reset and garble what they run and live on. Returns the
    /// requests that are suspected by this.
    pub fn looked(&mut self, run: RunKey, presence: Presence, now: Time) -> usize {
        if !presence.is_end() {
            self.doubts.keep(run);
            return 0;
        }
        let suspects = self.doubts.end(run, presence, now);
        suspects.iter().for_each(|s| self.crashed(s.key, run, s.lived, now));
        suspects.len()
    }

    /// Has a target looked at again that a first look has not shown to have ended.
    pub fn doubt(&mut self, run: RunKey, place: Place) {
        self.doubts.place(run, place);
    }

    /// Tells whether a target may have ended, as far as is known.
    pub fn is_doubted(&self, run: RunKey) -> bool {
        self.doubts.is_open(run)
    }

    /// Tells whether there are targets to look at again.
    pub fn has_doubts(&self) -> bool {
        self.doubts.has_kept()
    }

    /// Returns the targets that may have ended although a look did not show it.
    pub fn doubted(&mut self, now: Time) -> Vec<Doubted> {
        self.doubts.kept(now)
    }

    /// Takes in that a target leaves: it is alive, and no request is the cause of its end.
    pub fn leaves(&mut self, run: RunKey) {
        self.doubts.drop(run);
    }

    /// Takes in that a run of a target has ended while it had a request, for as long as `lived`.
    fn crashed(&mut self, key: RequestKey, run: RunKey, lived: Duration, now: Time) {
        self.note_end(run, now);
        if self.served.is_innocent(key, now) {
            return;
        }
        let has_failed = self.trials.has_begun(key);
        let account = self.account(key);
        account.crash(run, lived);
        if has_failed {
            account.fail_trial();
        }
        self.untold.insert(key);
        self.found.insert(key, now);
        self.judge(key, now);
    }

    /// Takes in that a run of a target has answered a request as a whole, over a connection opened
    /// at `opened`.
    ///
    /// What clears a request is that it could be run. It is told to others once the next crash would
    /// convict it. A run that others took for ended and that answers is alive: nothing was its end.
    pub fn answered(&mut self, key: RequestKey, run: RunKey, opened: Time, now: Time) {
        self.served.add(key, now);
        self.doubts.answered(run, opened);
        if self.accounts.is_empty() {
            return;
        }
        if self.ended.get(&run).is_some_and(|ended| *ended < opened) {
            self.ended.remove(&run);
            self.clear_run(run, now);
        }
        self.clear(key, now);
    }

    /// Has a run that is alive count for nobody.
    fn clear_run(&mut self, run: RunKey, now: Time) {
        let of_run = self.accounts.iter_mut().filter_map(|(key, a)| a.clear(run).then_some(*key));
        let of_run: Vec<RequestKey> = of_run.collect();
        for key in of_run {
            self.untold.insert(key);
            self.judge(key, now);
        }
    }

    /// Has nothing count that is known of a request by now.
    fn clear(&mut self, key: RequestKey, now: Time) {
        let Some(account) = self.accounts.get_mut(&key) else { return };
        if account.count() + 1 >= CRASHES_CONVICT {
            self.untold.insert(key);
        }
        account.clear_all();
        self.judge(key, now);
    }

    /// Takes in what another daemon, or the row, knows. What this daemon has seen answered a short
    /// time ago is cleared by that.
    pub fn merge(&mut self, evidence: &[Evidence], now: Time) -> Merged {
        let mut merged = Merged::default();
        for item in evidence {
            merged.convicts |= self.merge_one(item, now);
            let lacks = item.count() < CRASHES_CONVICT;
            if lacks && self.convicted.contains_key(&item.request) {
                merged.lacking.extend(self.of(item.request));
            }
        }
        merged
    }

    /// Takes in what is known of one request; tells whether that convicts it.
    fn merge_one(&mut self, item: &Evidence, now: Time) -> bool {
        item.crashes.iter().for_each(|run| self.note_end(*run, now));
        self.account(item.request).merge(item);
        if self.served.is_innocent(item.request, now) {
            self.clear(item.request, now);
        }
        // Who told it lacks what clears the request, and so may others.
        if item.count() + 1 >= CRASHES_CONVICT && self.count(item.request) < item.count() {
            self.untold.insert(item.request);
        }
        self.judge(item.request, now)
    }

    /// Tells whether there is something to be told to others at once.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Returns what is to be told to others at once, and takes it for told.
    pub fn take_untold(&mut self) -> Vec<Evidence> {
        let untold = std::mem::take(&mut self.untold);
        untold.into_iter().filter_map(|key| self.of(key)).collect()
    }

    /// Returns what this daemon has found lately.
    pub fn found(&mut self, now: Time) -> Vec<Evidence> {
        self.found.retain(|_, at| now.since(*at) < FOUND_TOLD);
        self.found.keys().filter_map(|key| self.of(*key)).collect()
    }

    /// Tells whether this daemon has found something lately.
    pub fn has_found(&self, now: Time) -> bool {
        self.found.values().any(|at| now.since(*at) < FOUND_TOLD)
    }

    /// Returns what convicts the requests that are convicted.
    pub fn convicted(&self) -> Vec<Evidence> {
        self.convicted.keys().filter_map(|key| self.of(*key)).collect()
    }

    /// Returns what two daemons have in common that convict the same requests.
    pub fn digest(&self) -> Digest {
        Digest::of(self.convicted.keys().map(|key| (*key, self.accounts[key].is_tried())))
    }

    /// Returns how many requests are suspected and not convicted.
    pub fn suspected(&self) -> usize {
        let suspected = self.accounts.values().filter(|a| a.count() > 0).count();
        suspected.saturating_sub(self.convicted.len())
    }

    /// Returns how many crashes count for a request.
    fn count(&self, key: RequestKey) -> usize {
        self.accounts.get(&key).map_or(0, Account::count)
    }

    fn of(&self, key: RequestKey) -> Option<Evidence> {
        self.accounts.get(&key).map(|account| account.evidence(key))
    }

    /// Returns the account of a request, which is in use now.
    fn account(&mut self, key: RequestKey) -> &mut Account {
        self.forget_suspected();
        self.uses += 1;
        let account = self.accounts.entry(key).or_default();
        account.used = self.uses;
        account
    }

    fn note_end(&mut self, run: RunKey, now: Time) {
        self.ended.entry(run).or_insert(now);
        if self.ended.len() > ENDED_MOST {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at).map(|(run, _)| *run);
            oldest.and_then(|run| self.ended.remove(&run));
        }
    }

    /// Decides anew whether a request is convicted; tells whether it is and was not.
    fn judge(&mut self, key: RequestKey, now: Time) -> bool {
        let was_convicted = self.convicted.contains_key(&key);
        if self.count(key) >= CRASHES_CONVICT && !was_convicted && self.is_young(now) {
            self.excuse_by_convicted(key);
        }
        let crashes = self.count(key);
        if crashes >= CRASHES_CONVICT && !was_convicted {
            self.convicted.insert(key, now);
            event::POISON_CONVICTED.emit(&[("key", &key), ("crashes", &crashes)]);
            self.forget_convicted();
            if self.is_young(now) {
                self.excuse_others(key, now);
            }
            return true;
        }
        if crashes < CRASHES_CONVICT && was_convicted {
            self.acquit(key);
        }
        false
    }

    /// Tells whether this daemon has just started, and can't know which requests are answered.
    ///
    /// A crash ends all that its target had, and mostly one request is the cause. Until answers tell
    /// which, a crash under a request that is convicted counts for no other one that its targets had
    /// lived with for longer. A harmful one that is excused by mistake crashes more.
    fn is_young(&self, now: Time) -> bool {
        now.since(self.started) < served::INNOCENT_SPAN
    }

    fn excuse_by_convicted(&mut self, key: RequestKey) {
        let Some(mut account) = self.accounts.remove(&key) else { return };
        let causes = self.convicted.keys().filter_map(|cause| self.accounts.get(cause));
        if causes.fold(false, |any, cause| account.excuse(cause) | any) {
            self.untold.insert(key);
        }
        self.accounts.insert(key, account);
    }

    fn excuse_others(&mut self, key: RequestKey, now: Time) {
        let Some(cause) = self.accounts.get(&key).cloned() else { return };
        let others = self.accounts.iter_mut().filter(|(other, _)| **other != key);
        let excused = others.filter_map(|(other, a)| a.excuse(&cause).then_some(*other));
        let excused: Vec<RequestKey> = excused.collect();
        for other in excused {
            self.untold.insert(other);
            self.judge(other, now);
        }
    }

    fn acquit(&mut self, key: RequestKey) {
        self.convicted.remove(&key);
        self.trials.forget(key);
        event::POISON_ACQUITTED.emit(&[("key", &key)]);
    }

    /// Forgets the convicted request that was asked for longest ago, if there are too many.
    fn forget_convicted(&mut self) {
        if self.convicted.len() <= CONVICTED_MOST {
            return;
        }
        let used = |key: &&RequestKey| self.accounts.get(key).map_or(0, |a| a.used);
        if let Some(key) = self.convicted.keys().min_by_key(used).copied() {
            self.acquit(key);
            self.forget(key);
        }
    }

    /// Forgets a part of the suspected requests, those asked for longest ago, if there are too many.
    fn forget_suspected(&mut self) {
        if self.accounts.len() <= SUSPECTED_MOST + CONVICTED_MOST {
            return;
        }
        let suspects = self.accounts.iter().filter(|(key, _)| !self.convicted.contains_key(key));
        let mut by_use: Vec<(u64, RequestKey)> = suspects.map(|(key, a)| (a.used, *key)).collect();
        by_use.sort_unstable();
        for (_, key) in by_use.into_iter().take(SUSPECTED_MOST / FORGOTTEN_PART) {
            self.forget(key);
        }
    }

    fn forget(&mut self, key: RequestKey) {
        self.accounts.remove(&key);
        self.found.remove(&key);
    }
}

/// Reports that a target has ended while it had so many requests.
pub(crate) fn report_end(recorder: &dyn Recorder, place: &Place, requests: usize) {
    if requests == 0 {
        return;
    }
    recorder.count(metric::CRASHED.name, &place.service, 1);
    event::TARGET_CRASHED.emit(&[
        ("target", &place.name),
        ("address", &place.address),
        ("requests", &requests),
    ]);
}
