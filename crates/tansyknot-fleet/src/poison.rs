//! Requests, and parts of prompts, under which targets crash: tracks which are suspected, convicted,
//! cleared and forgotten.
//!
//! A request that was at a target when the target crashed is suspected, and so are the parts of its
//! prompt if the target had not begun its response. Three crashes of different runs convict a request,
//! four a part, if no other part explains all but two of them better. What is convicted is no longer
//! sent to targets, except for one trial by one daemon. The
//! evidence that daemons hold only grows, so that it can be merged in any order, any number of
//! times, from any of them. This module has no threads or sockets: `serve` reports the outcomes of
//! sends, `peering` sends evidence to other daemons, and `poison::keeper` stores it.

mod account;
mod crash_check;
pub mod evidence;
pub mod keeper;
pub mod key;
mod row;
mod served;
mod trial;

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tansyknot_core::{clock::Time, event, metric, telemetry::Recorder};

use account::Account;
use crash_check::{CrashChecks, Ending, Suspect};
use evidence::{Digest, Evidence};
use key::{RequestSuspects, RunKey, SoftwareKey, SuspectKey};
use served::Served;
use trial::Trials;

pub use crash_check::{CheckState, Presence, SuspectTarget, TargetIdentity};

/// The number of crashes of different runs of targets that convicts a request. Releases, failing
/// racks and ending hosts cause crashes that count for requests that did not cause them: one crash
/// for most of these requests, and two for few.
pub const CRASHES_TO_CONVICT: usize = 3;
/// The same for a part of prompts. Many requests contain it, so that each crash of a rack gives
/// evidence on it sooner than on a request.
pub const PART_CRASHES_TO_CONVICT: usize = 4;
/// How many more crashes convict a part that targets have answered before.
const CRASHES_AFTER_ANSWER: usize = 2;
/// A request with this many crashes needs one less that no part explains: a harmful part is convicted by
/// then, so that fewer of the further crashes are its.
const CRASHES_DESPITE_PART: usize = 5;
/// A part with this many crashes can explain those under other suspects.
const CRASHES_TO_EXPLAIN: usize = 3;
/// That a request or part is cleared is sent to the other daemons if so many crashes counted before:
/// the next ones could convict it.
const CRASHES_TO_REPORT_CLEARED: usize = 2;
/// A request is not sent again after a crash if so many targets have crashed under a part of its
/// prompt.
const CRASHES_TO_WITHHOLD: usize = 2;
/// A request accuses the parts of its prompt until so many targets have crashed under it: one that comes
/// again and again is itself the likelier cause, and parts with as many crashes would explain it.
const CRASHES_THAT_ACCUSE_PARTS: usize = 2;
/// The maximum number of suspected requests and parts, about 150 bytes each. A crash makes as many requests
/// suspected as a target has slots, up to 64.
const MAX_SUSPECTED: usize = 4096;
/// The maximum number of convicted requests: as many as fit in their row of the store.
pub const MAX_CONVICTED: usize = 256;
/// When there are too many suspected requests, the maximum divided by this number is removed at
/// once, the least recently used first.
const EVICTION_DIVISOR: usize = 8;
/// How long this daemon's own findings are sent again with its demand, because datagrams get lost.
const FINDING_SEND_DURATION: Duration = Duration::from_millis(1000);
/// The maximum number of runs whose end time is stored, for runs that turn out to be alive.
const MAX_ENDED_RUNS: usize = 1024;

/// A daemon's evidence on requests under which targets have crashed.
#[derive(Debug, Default)]
pub struct Poison {
    accounts: BTreeMap<SuspectKey, Account>,
    /// The convicted requests, and when they were convicted.
    convicted: BTreeMap<SuspectKey, Time>,
    /// When the daemon began to see which requests are answered.
    started: Time,
    /// The accounts with enough crashes to convict or to explain others.
    strong: BTreeSet<SuspectKey>,
    trials: Trials,
    crash_checks: CrashChecks,
    served: Served,
    /// When this daemon learned that a run has ended.
    ended: BTreeMap<RunKey, Time>,
    /// The requests whose evidence is to be sent to other daemons at once.
    unsent: BTreeSet<SuspectKey>,
    /// The requests on which this daemon itself has found evidence, and when.
    findings: BTreeMap<SuspectKey, Time>,
    /// A counter that rises with each use of an account.
    use_count: u64,
}

/// The result of merging another daemon's evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Whether a request is now convicted that was not before.
    pub convicts: bool,
    /// The evidence that the other daemon lacks to convict requests that are convicted here.
    pub lacking: Vec<Evidence>,
}

/// Why a request is no longer convicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acquittal {
    /// A target has answered it, or is alive.
    Cleared,
    /// A part of prompts explains its crashes better.
    Explained,
    /// Too many requests are convicted.
    Evicted,
}

impl Acquittal {
    /// Returns the name that logs use.
    fn name(self) -> &'static str {
        match self {
            Acquittal::Cleared => "cleared",
            Acquittal::Explained => "explained",
            Acquittal::Evicted => "evicted",
        }
    }
}

impl Poison {
    /// Creates the state of a daemon that starts at `started`, without evidence.
    pub fn new(started: Time) -> Self {
        Self { started, ..Self::default() }
    }

    /// Returns whether a request must not be sent to targets.
    pub fn is_convicted(&mut self, key: SuspectKey) -> bool {
        let is_convicted = self.convicted.contains_key(&key);
        if is_convicted {
            self.account(key);
        }
        is_convicted
    }

    /// Returns what is convicted of a request and the parts of its prompt.
    pub fn convicted_of(&mut self, suspects: &RequestSuspects) -> Vec<SuspectKey> {
        suspects.all().filter(|key| self.is_convicted(*key)).collect()
    }

    /// Returns whether a request that a crash has cut off is not to be sent again, because other
    /// targets have crashed under a part of its prompt as well.
    pub fn withholds(&self, suspects: &RequestSuspects) -> bool {
        suspects.parts.iter().any(|part| self.count(*part) >= CRASHES_TO_WITHHOLD)
    }

    /// Returns whether a request may serve as the trial of `key`: another suspect in it could be
    /// the cause of a crash.
    pub fn may_try(&self, key: SuspectKey, suspects: &RequestSuspects) -> bool {
        suspects.all().filter(|other| *other != key).all(|k| self.count(k) < CRASHES_TO_WITHHOLD)
    }

    /// Begins a trial of a convicted request or part, if one is allowed; exactly one daemon calls this for
    /// a request.
    pub fn begin_trial(&mut self, key: SuspectKey, now: Time) -> bool {
        let Some(since) = self.convicted.get(&key) else { return false };
        let is_open = self.accounts.get(&key).is_some_and(|a| !a.is_tried());
        is_open && self.trials.begin(key, *since, now)
    }

    /// Returns what the end of a target accuses of a request that it had, to which it had begun to
    /// respond or not. A target that has begun a response has read the prompt and lived on.
    pub fn accused(&self, suspects: &RequestSuspects, has_begun: bool) -> Vec<SuspectKey> {
        let accuses_parts = !has_begun && self.count(suspects.request) < CRASHES_THAT_ACCUSE_PARTS;
        let parts = suspects.parts.iter().copied().filter(|_| accuses_parts);
        std::iter::once(suspects.request).chain(parts).collect()
    }

    /// Records that a target closed the connection of a request early, which was opened at
    /// `opened`; returns whether the target is to be checked. [`Poison::record_check`] records the
    /// result of the check.
    pub fn record_early_close(
        &mut self,
        key: SuspectKey,
        run: RunKey,
        opened: Time,
        now: Time,
    ) -> CheckState {
        self.record_close(Ending::CutOff, key, run, opened, now)
    }

    /// Records that a target closed the connection of a request, which was opened at `opened`, after a
    /// response whose end is that of the connection; returns whether the target is to be checked. The
    /// request counts as answered once the target has answered a later one.
    pub fn record_close_after_response(
        &mut self,
        key: SuspectKey,
        run: RunKey,
        opened: Time,
        now: Time,
    ) -> CheckState {
        self.record_close(Ending::Answered, key, run, opened, now)
    }

    fn record_close(
        &mut self,
        ending: Ending,
        key: SuspectKey,
        run: RunKey,
        opened: Time,
        now: Time,
    ) -> CheckState {
        let lived = now.since(opened);
        if self.ended.contains_key(&run) {
            self.record_crash(key, run, lived, now);
            return CheckState::Done;
        }
        self.crash_checks.add_closed(run, Suspect { key, lived, ending, ended_at: now })
    }

    /// Returns whether a run is known to have ended.
    pub fn has_ended(&self, run: RunKey) -> bool {
        self.ended.contains_key(&run)
    }

    /// Records that this daemon has abandoned a request at a target, to which it was sent at `opened`:
    /// the caller has left, the target was too slow, or the path to it was lost. If the target ends
    /// while it may still run the request, the request is suspected like one that was cut off.
    pub fn record_abandoned(
        &mut self,
        key: SuspectKey,
        run: RunKey,
        place: &TargetIdentity,
        opened: Time,
        now: Time,
    ) {
        let lived = now.since(opened);
        match self.ended.get(&run) {
            Some(ended) if *ended >= opened => self.record_crash(key, run, lived, now),
            Some(_) => {}
            None => self.crash_checks.add_abandoned(key, run, lived, place, now),
        }
    }

    /// Returns whether a request's thread is checking a target.
    pub fn is_being_checked(&self, run: RunKey) -> bool {
        self.crash_checks.is_being_checked(run)
    }

    /// Records what a check of a target, or a message about it, has shown. Without a sign that the
    /// target has ended, no request is suspected: a target that closes connections early, resets
    /// them or sends malformed responses may still be running. Returns the number of requests whose
    /// connections the target's end may have closed.
    pub fn record_check(&mut self, run: RunKey, presence: Presence, now: Time) -> usize {
        if !presence.is_end() {
            self.crash_checks.finish_check(run);
            return 0;
        }
        let suspects = self.crash_checks.confirm_end(run, presence, now);
        suspects.iter().for_each(|s| self.record_crash(s.key, run, s.lived, now));
        suspects.iter().filter(|s| !s.key.is_part()).count()
    }

    /// Has a target checked again, because the first check has not shown that it ended.
    pub fn recheck(&mut self, run: RunKey, place: TargetIdentity) {
        self.crash_checks.set_target(run, place);
    }

    /// Returns whether a target may have ended, as far as is known.
    pub fn is_suspect_target(&self, run: RunKey) -> bool {
        self.crash_checks.is_suspect(run)
    }

    /// Returns whether there are targets to check again.
    pub fn has_suspect_targets(&self) -> bool {
        self.crash_checks.has_rechecks()
    }

    /// Returns the targets that may have ended although no check has shown it.
    pub fn suspect_targets(&mut self, now: Time) -> Vec<SuspectTarget> {
        self.crash_checks.suspect_targets(now)
    }

    /// Records that a target is draining: it is alive, and no request causes its end.
    pub fn record_draining(&mut self, run: RunKey) {
        self.crash_checks.discard(run);
    }

    /// Records that a run of a target has ended while it had a request or part, which it had for `lived`.
    fn record_crash(&mut self, key: SuspectKey, run: RunKey, lived: Duration, now: Time) {
        self.record_end(run, now);
        if self.served.was_answered_recently(key, run.software(), now) {
            return;
        }
        // The trial of a part that was answered before may fail once by coincidence: many sound requests
        // may contain it.
        let was_answered = key.is_part() && self.served.answered_at(key, run.software()).is_some();
        let is_in_trial =
            self.trials.has_begun(key) && (!was_answered || self.trials.was_last(key));
        self.make_room(key);
        let account = self.account(key);
        account.add_crash(run, lived);
        if is_in_trial {
            account.fail_trial();
        }
        self.unsent.insert(key);
        self.findings.insert(key, now);
        self.judge(key, now);
    }

    /// Records that a run of a target has answered a request completely, or has begun the response to
    /// one that contains a part, over a connection opened at `opened`.
    ///
    /// The request or part is cleared of the crashes of runs with the same software, because a target
    /// could run it. This is sent to other daemons if the next crash would convict the request. A run
    /// that answers is alive even if it was taken for ended, so its supposed crash counts for no request.
    pub fn record_answer(&mut self, key: SuspectKey, run: RunKey, opened: Time, now: Time) {
        let answered_before = self.crash_checks.record_answer(run, opened);
        let answered = || std::iter::once(key).chain(answered_before.iter().copied());
        answered().for_each(|key| self.served.add(key, run.software(), now));
        if self.accounts.is_empty() {
            return;
        }
        if self.ended.get(&run).is_some_and(|ended| *ended < opened) {
            self.ended.remove(&run);
            self.clear_run(run, now);
        }
        answered().for_each(|key| self.clear(key, run.software(), now));
    }

    /// Clears a run that is alive from the evidence on all requests.
    fn clear_run(&mut self, run: RunKey, now: Time) {
        let affected = self.accounts.iter_mut().filter_map(|(key, a)| a.clear(run).then_some(*key));
        let affected: Vec<SuspectKey> = affected.collect();
        for key in affected {
            self.unsent.insert(key);
            self.judge(key, now);
        }
    }

    /// Clears the evidence on a request that is known so far, of runs with this software.
    fn clear(&mut self, key: SuspectKey, software: SoftwareKey, now: Time) {
        let Some(account) = self.accounts.get_mut(&key) else { return };
        if account.count() >= CRASHES_TO_REPORT_CLEARED {
            self.unsent.insert(key);
        }
        account.clear_software(software);
        self.judge(key, now);
    }

    /// Merges the evidence of another daemon or of the row. It is cleared for requests that this
    /// daemon has seen answered recently.
    pub fn merge(&mut self, evidence: &[Evidence], now: Time) -> Merged {
        let mut merged = Merged::default();
        for item in evidence {
            merged.convicts |= self.merge_one(item, now);
            let lacks = item.count() < item.suspect.crashes_to_convict();
            if lacks && self.convicted.contains_key(&item.suspect) {
                merged.lacking.extend(self.evidence_of(item.suspect));
            }
        }
        merged
    }

    /// Merges the evidence on one request; returns whether that convicts it.
    fn merge_one(&mut self, item: &Evidence, now: Time) -> bool {
        for run in &item.crashes {
            let abandoned = self.crash_checks.take_abandoned(*run, now);
            abandoned.iter().for_each(|s| self.record_crash(s.key, *run, s.lived, now));
            self.record_end(*run, now);
        }
        if item.crashes.iter().any(|run| !self.has_crash(item.suspect, *run)) {
            self.make_room(item.suspect);
        }
        self.account(item.suspect).merge(item);
        let software = self.accounts.get(&item.suspect).map(Account::software);
        for software in software.unwrap_or_default() {
            if self.served.was_answered_recently(item.suspect, software, now) {
                self.clear(item.suspect, software, now);
            }
        }
        // The daemon that sent the evidence lacks what clears the request, and others may lack it
        // too.
        if item.count() >= CRASHES_TO_REPORT_CLEARED && self.count(item.suspect) < item.count() {
            self.unsent.insert(item.suspect);
        }
        self.judge(item.suspect, now)
    }

    /// Returns whether there is evidence to be sent to other daemons at once.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Returns the evidence to be sent to other daemons at once, and counts it as sent.
    pub fn take_unsent(&mut self) -> Vec<Evidence> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent.into_iter().filter_map(|key| self.evidence_of(key)).collect()
    }

    /// Returns the evidence that this daemon has found recently.
    pub fn findings(&mut self, now: Time) -> Vec<Evidence> {
        self.findings.retain(|_, at| now.since(*at) < FINDING_SEND_DURATION);
        self.findings.keys().filter_map(|key| self.evidence_of(*key)).collect()
    }

    /// Returns whether this daemon has found evidence recently.
    pub fn has_findings(&self, now: Time) -> bool {
        self.findings.values().any(|at| now.since(*at) < FINDING_SEND_DURATION)
    }

    /// Returns the evidence on the convicted requests.
    pub fn convicted(&self) -> Vec<Evidence> {
        self.convicted.keys().filter_map(|key| self.evidence_of(*key)).collect()
    }

    /// Returns a digest that is equal for daemons that convict the same requests.
    pub fn digest(&self) -> Digest {
        Digest::of(self.convicted.keys().map(|key| (*key, self.accounts[key].is_tried())))
    }

    /// Returns the number of requests that are suspected and not convicted.
    pub fn suspected(&self) -> usize {
        let suspected = self.accounts.values().filter(|a| a.count() > 0).count();
        suspected.saturating_sub(self.convicted.len())
    }

    /// Returns the number of crashes that count for a request.
    fn count(&self, key: SuspectKey) -> usize {
        self.accounts.get(&key).map_or(0, Account::count)
    }

    fn evidence_of(&self, key: SuspectKey) -> Option<Evidence> {
        self.accounts.get(&key).map(|account| account.evidence(key))
    }

    /// Returns the account of a request, and marks it as used.
    fn account(&mut self, key: SuspectKey) -> &mut Account {
        self.evict_suspected();
        self.use_count += 1;
        let account = self.accounts.entry(key).or_default();
        account.last_used = self.use_count;
        account
    }

    fn record_end(&mut self, run: RunKey, now: Time) {
        self.ended.entry(run).or_insert(now);
        if self.ended.len() > MAX_ENDED_RUNS {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at).map(|(run, _)| *run);
            oldest.and_then(|run| self.ended.remove(&run));
        }
    }

    /// Decides again whether a request or part is convicted, and others that a part may explain;
    /// returns whether one is now that was not before.
    fn judge(&mut self, key: SuspectKey, now: Time) -> bool {
        let is_strong = self.count(key) >= CRASHES_TO_EXPLAIN;
        let is_changed = if is_strong { self.strong.insert(key) } else { self.strong.remove(&key) };
        let mut convicts = self.decide(key, now);
        if key.is_part() && (is_strong || is_changed) {
            let others: Vec<SuspectKey> = self.strong_with_same_crash(key).collect();
            convicts |= others.into_iter().fold(false, |any, other| self.decide(other, now) | any);
        }
        convicts
    }

    /// Decides again whether a request or part is convicted; returns whether it is now and was not
    /// before.
    fn decide(&mut self, key: SuspectKey, now: Time) -> bool {
        let was_convicted = self.convicted.contains_key(&key);
        let needed = self.unexplained_to_convict(key);
        if self.unexplained(key) >= needed && !was_convicted && self.has_just_started(now) {
            self.clear_shared_with_convicted(key);
        }
        let crashes = self.unexplained(key);
        if crashes >= needed && !was_convicted {
            self.convicted.insert(key, now);
            let part = if key.is_part() { format!("{:x}", key.0 as u64) } else { String::new() };
            event::POISON_CONVICTED.emit(&[("key", &key), ("part", &part), ("crashes", &crashes)]);
            self.evict_convicted();
            if self.has_just_started(now) {
                self.clear_shared_by_others(key, now);
            }
            return true;
        }
        if crashes < needed && was_convicted {
            let is_explained = self.count(key) >= key.crashes_to_convict();
            self.acquit(key, if is_explained { Acquittal::Explained } else { Acquittal::Cleared });
        }
        false
    }

    /// Returns how many crashes without a better explanation convict `key`.
    fn unexplained_to_convict(&self, key: SuspectKey) -> usize {
        let has_many = !key.is_part() && self.count(key) >= CRASHES_DESPITE_PART;
        CRASHES_TO_CONVICT - usize::from(has_many)
    }

    /// Returns the number of crashes that count for `key` and that no other part explains better; 0 if
    /// there are too few to convict it. Those under a failed trial have no other explanation.
    fn unexplained(&self, key: SuspectKey) -> usize {
        let Some(account) = self.accounts.get(&key) else { return 0 };
        if account.is_tried() {
            return account.count();
        }
        if account.count() < self.crashes_to_convict(key) {
            return 0;
        }
        let mut runs: BTreeSet<RunKey> = account.counted().copied().collect();
        for part in self.strong_with_same_crash(key).filter(|part| part.is_part()) {
            if self.explains(part, key) {
                self.accounts[&part].counted().for_each(|run| _ = runs.remove(run));
            }
        }
        runs.len()
    }

    fn has_crash(&self, key: SuspectKey, run: RunKey) -> bool {
        self.accounts.get(&key).is_some_and(|account| account.has_crash(run))
    }

    /// Removes a crash that a part explains from a full account, so that others can be added: further
    /// crashes show whether the request is harmful as well.
    fn make_room(&mut self, key: SuspectKey) {
        let Some(account) = self.accounts.get(&key).filter(|account| account.is_full()) else {
            return;
        };
        let parts = self.strong_with_same_crash(key).filter(|part| part.is_part());
        let run = parts
            .filter(|part| self.explains(*part, key))
            .flat_map(|part| self.accounts[&part].counted().copied())
            .find(|run| account.has_crash(*run));
        if let (Some(run), Some(account)) = (run, self.accounts.get_mut(&key)) {
            account.remove_crash(run);
        }
    }

    /// Returns the other requests and parts with many crashes that a target crashed under together with
    /// `key`.
    fn strong_with_same_crash(&self, key: SuspectKey) -> impl Iterator<Item = SuspectKey> {
        let account = self.accounts.get(&key);
        self.strong.iter().copied().filter(move |other| {
            let others = self.accounts.get(other);
            *other != key && account.zip(others).is_some_and(|(a, b)| a.shares_crash(b))
        })
    }

    /// Returns the number of crashes that convicts a request or part. A part that targets have answered
    /// before needs more: it is harmful only if it has become so.
    fn crashes_to_convict(&self, key: SuspectKey) -> usize {
        let was_answered = key.is_part() && self.was_answered(key);
        key.crashes_to_convict() + if was_answered { CRASHES_AFTER_ANSWER } else { 0 }
    }

    /// Returns whether software under which targets have crashed with `key` is known to have answered
    /// it.
    fn was_answered(&self, key: SuspectKey) -> bool {
        let software = self.accounts.get(&key).map(Account::software).unwrap_or_default();
        software.into_iter().any(|software| self.served.answered_at(key, software).is_some())
    }

    /// Returns whether `part` is a better explanation of crashes than `key`. Of two parts, one that no
    /// target is known to have answered explains one that was answered before; else the one under
    /// which more targets have crashed. A part explains a request under which no more have.
    fn explains(&self, part: SuspectKey, key: SuspectKey) -> bool {
        if key.is_part() && self.was_answered(part) != self.was_answered(key) {
            return self.was_answered(key);
        }
        match self.count(part).cmp(&self.count(key)) {
            Ordering::Greater => true,
            Ordering::Equal => !key.is_part(),
            Ordering::Less => false,
        }
    }

    /// Returns whether this daemon has started so recently that it can't know which requests are
    /// answered.
    ///
    /// A crash ends all requests of its target, and mostly one of them is the cause. Until
    /// responses show which, a crash under a convicted request does not count for other requests
    /// that targets had run for longer. If a harmful request is cleared by mistake, it causes
    /// further crashes, which count for it.
    fn has_just_started(&self, now: Time) -> bool {
        now.since(self.started) < served::RECENT_ANSWER_PERIOD
    }

    fn clear_shared_with_convicted(&mut self, key: SuspectKey) {
        let Some(mut account) = self.accounts.remove(&key) else { return };
        let causes = self.convicted.keys().filter_map(|cause| self.accounts.get(cause));
        if causes.fold(false, |any, cause| account.clear_shared_with(cause) | any) {
            self.unsent.insert(key);
        }
        self.accounts.insert(key, account);
    }

    fn clear_shared_by_others(&mut self, key: SuspectKey, now: Time) {
        let Some(cause) = self.accounts.get(&key).cloned() else { return };
        let others = self.accounts.iter_mut().filter(|(other, _)| **other != key);
        let cleared = others.filter_map(|(other, a)| a.clear_shared_with(&cause).then_some(*other));
        let cleared: Vec<SuspectKey> = cleared.collect();
        for other in cleared {
            self.unsent.insert(other);
            self.judge(other, now);
        }
    }

    fn acquit(&mut self, key: SuspectKey, reason: Acquittal) {
        self.convicted.remove(&key);
        self.trials.forget(key);
        event::POISON_ACQUITTED.emit(&[("key", &key), ("reason", &reason.name())]);
    }

    /// Removes the least recently used convicted request, if there are too many.
    fn evict_convicted(&mut self) {
        if self.convicted.len() <= MAX_CONVICTED {
            return;
        }
        let last_used = |key: &&SuspectKey| self.accounts.get(key).map_or(0, |a| a.last_used);
        if let Some(key) = self.convicted.keys().min_by_key(last_used).copied() {
            self.acquit(key, Acquittal::Evicted);
            self.remove_account(key);
        }
    }

    /// Removes some of the suspected requests, the least recently used ones, if there are too many.
    fn evict_suspected(&mut self) {
        if self.accounts.len() <= MAX_SUSPECTED + MAX_CONVICTED {
            return;
        }
        let suspects = self.accounts.iter().filter(|(key, _)| !self.convicted.contains_key(key));
        let mut by_use: Vec<(u64, SuspectKey)> =
            suspects.map(|(key, a)| (a.last_used, *key)).collect();
        by_use.sort_unstable();
        for (_, key) in by_use.into_iter().take(MAX_SUSPECTED / EVICTION_DIVISOR) {
            self.remove_account(key);
        }
    }

    fn remove_account(&mut self, key: SuspectKey) {
        self.accounts.remove(&key);
        self.strong.remove(&key);
        self.findings.remove(&key);
    }
}

/// Reports that a target has ended while it had `requests` requests.
pub(crate) fn report_crash(recorder: &dyn Recorder, place: &TargetIdentity, requests: usize) {
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
