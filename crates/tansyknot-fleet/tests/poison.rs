//! Tests which requests are suspected, convicted, cleared and forgotten, and which evidence daemons
//! exchange.

mod support;

use std::{sync::Arc, time::Duration};

use support::{
    state,
    store::{FakeStore, StoreFault},
    target,
};
use tansyknot_core::{
    clock::{Clock, ManualClock, Time},
    name::SoftwareVersion,
};
use tansyknot_fleet::{
    platform_api::{RowName, Store},
    poison::{
        CheckState, MAX_CONVICTED, Poison, Presence, TargetIdentity,
        evidence::Evidence,
        keeper::PoisonKeeper,
        key::{RequestSuspects, RunKey, SuspectKey},
    },
    target::Target,
};
use yare::parameterized;

const REQUEST: SuspectKey = SuspectKey(7);
/// Size limit of a row of the platform's store.
const MAX_ROW_BYTES: usize = 65_536;

fn at(ms: u64) -> Time {
    Time::default() + Duration::from_millis(ms)
}

/// Records that a run crashed while it had the request.
fn crash(poison: &mut Poison, key: SuspectKey, run: u64, now: Time) {
    if poison.record_early_close(key, RunKey(run), now, now) == CheckState::Due {
        poison.record_check(RunKey(run), Presence::Ended, now);
    }
}

fn convicted() -> Poison {
    let mut poison = Poison::default();
    (0..3).for_each(|run| crash(&mut poison, REQUEST, run, at(run)));
    assert!(poison.is_convicted(REQUEST));
    poison
}

fn evidence(runs: &[u64]) -> Evidence {
    let crashes = runs.iter().map(|run| RunKey(*run)).collect();
    Evidence {
        suspect: REQUEST,
        crashes,
        cleared: Vec::new(),
        longest_held: Duration::ZERO,
        tried: false,
    }
}

#[parameterized(
    three = { &[1, 2, 3], true },
    two = { &[1, 2], false },
    same_run_repeatedly = { &[1, 1, 1, 1], false },
)]
fn crashes_of_three_different_runs_convict(runs: &[u64], convicts: bool) {
    let mut poison = Poison::default();
    runs.iter().for_each(|run| crash(&mut poison, REQUEST, *run, at(1)));
    assert_eq!(poison.is_convicted(REQUEST), convicts);
}

#[parameterized(
    listening = { Presence::Listening },
    unknown = { Presence::Unknown },
)]
fn running_target_leads_to_no_suspicion(presence: Presence) {
    let mut poison = Poison::default();
    for run in 0..9 {
        assert_eq!(
            poison.record_early_close(REQUEST, RunKey(run), at(run), at(run)),
            CheckState::Due
        );
        assert_eq!(
            poison.record_early_close(SuspectKey(8), RunKey(run), at(run), at(run)),
            CheckState::InProgress
        );
        assert_eq!(poison.record_check(RunKey(run), presence, at(run)), 0);
    }
    assert_eq!((poison.is_convicted(REQUEST), poison.suspected()), (false, 0));
}

fn identity() -> TargetIdentity {
    TargetIdentity {
        name: "t1".into(),
        service: "plain".into(),
        address: ([10, 0, 0, 1], 80).into(),
    }
}

/// Records that a target closed the request's connection early while its port still accepts
/// connections.
fn cut_off_while_listening(poison: &mut Poison, run: u64, now: Time) {
    assert_eq!(poison.record_early_close(REQUEST, RunKey(run), now, now), CheckState::Due);
    assert_eq!(poison.record_check(RunKey(run), Presence::Listening, now), 0);
    poison.recheck(RunKey(run), identity());
}

// A port may accept connections for a while after its process has ended; the list shows the end some
// time later.
#[parameterized(
    list_shows_end_late = { Presence::Gone, 5_000, true },
    list_shows_end_too_late = { Presence::Gone, 7_000, false },
    port_closes_soon = { Presence::Ended, 400, true },
    port_closes_much_later = { Presence::Ended, 3_000, false },
)]
fn listening_target_may_turn_out_to_have_crashed(presence: Presence, after: u64, convicts: bool) {
    let mut poison = Poison::default();
    (0..3).for_each(|run| cut_off_while_listening(&mut poison, run, at(1)));
    assert!(!poison.is_convicted(REQUEST));
    (0..3).for_each(|run| _ = poison.record_check(RunKey(run), presence, at(1 + after)));
    assert_eq!(poison.is_convicted(REQUEST), convicts);
}

#[test]
fn listening_target_is_checked_again_for_a_limited_time() {
    let mut poison = Poison::default();
    cut_off_while_listening(&mut poison, 1, at(0));
    let mut checks =
        |ms| poison.suspect_targets(at(ms)).iter().map(|d| d.is_check_due).collect::<Vec<_>>();
    assert_eq!([checks(50), checks(120), checks(130)], [vec![false], vec![true], vec![false]]);
    assert_eq!([checks(500), checks(2_000), checks(3_000)], [vec![true], vec![true], vec![false]]);
    assert!(checks(6_500).is_empty(), "a suspect target is dropped after a while");
}

#[test]
fn target_that_answers_a_later_request_is_not_suspect() {
    let mut poison = Poison::default();
    (0..3).for_each(|run| cut_off_while_listening(&mut poison, run, at(1)));
    (0..3).for_each(|run| poison.record_answer(SuspectKey(8), RunKey(run), at(2), at(3)));
    (0..3).for_each(|run| _ = poison.record_check(RunKey(run), Presence::Gone, at(5)));
    assert_eq!((poison.is_convicted(REQUEST), poison.has_suspect_targets()), (false, false));
}

/// Abandons the request at three targets that answer another request `answered_after` ms later, if
/// at all, and end at `ended_at` ms; returns whether the request is convicted.
fn abandoned(answered_after: Option<u64>, ended_at: u64) -> bool {
    let mut poison = Poison::default();
    for run in (0..3).map(RunKey) {
        poison.record_abandoned(REQUEST, run, &identity(), at(0), at(100));
        if let Some(after) = answered_after {
            let opened = at(100 + after);
            poison.record_answer(SuspectKey(8), run, opened, opened);
        }
        poison.record_check(run, Presence::Ended, at(ended_at));
    }
    poison.is_convicted(REQUEST)
}

// A daemon that blamed only what the target itself had cut off sent a request whose callers leave to
// one target after the other.
#[parameterized(
    ends_soon = { None, 400, true },
    answers_another_one_meanwhile = { Some(100), 1_000, true },
    answers_another_one_much_later = { Some(2_500), 3_000, false },
    silent_until_its_end = { None, 5_000, true },
    ends_much_later = { None, 7_000, false },
)]
fn target_may_end_under_a_request_that_was_abandoned(
    answered_after: Option<u64>,
    ended_at: u64,
    convicts: bool,
) {
    assert_eq!(abandoned(answered_after, ended_at), convicts);
}

/// Returns evidence that three runs have ended, each under another request.
fn crashes_under_others() -> [Evidence; 3] {
    [0, 1, 2].map(|run| Evidence { suspect: SuspectKey(10 + u128::from(run)), ..evidence(&[run]) })
}

#[test]
fn end_of_a_target_that_another_daemon_reports_accuses_abandoned_requests() {
    let mut poison = Poison::default();
    for run in 0..3 {
        poison.record_abandoned(REQUEST, RunKey(run), &identity(), at(0), at(100));
    }
    poison.merge(&crashes_under_others(), at(200));
    assert!(poison.is_convicted(REQUEST));
}

/// Returns the keys of three runs of targets with this software.
fn runs_with_software(version: &str) -> [RunKey; 3] {
    ["a", "b", "c"].map(|name| {
        let software = Some(SoftwareVersion::from(version));
        RunKey::of(&Target { software, ..target(&format!("{version}{name}"), &[], &[]) })
    })
}

// A request was sent on as long as targets with other software answered it.
#[parameterized(
    same_software = { "v1", false },
    other_software = { "v2", true },
)]
fn answer_clears_a_request_only_of_crashes_under_the_same_software(version: &str, convicts: bool) {
    let mut poison = Poison::default();
    poison.record_answer(REQUEST, runs_with_software(version)[0], at(1), at(2));
    for run in runs_with_software("v1") {
        poison.record_early_close(REQUEST, run, at(3), at(4));
        poison.record_check(run, Presence::Ended, at(4));
    }
    poison.record_answer(REQUEST, runs_with_software(version)[1], at(5), at(6));
    assert_eq!(poison.is_convicted(REQUEST), convicts);
}

#[test]
fn request_convicted_by_the_row_of_an_earlier_release_is_cleared_by_any_answer() {
    let row = br#"{"form":2,"requests":[{"key":"7","crashes":["ff01000000000001",
        "ff02000000000002","ff03000000000003"],"lived_ms":5,"tried":false}]}"#;
    let clock = ManualClock::default();
    let state = state(&clock);
    let client = FakeStore::default().client();
    client.write_row(RowName::Poison, 0, row).expect("the store works");
    assert!(PoisonKeeper::new(Arc::clone(&state), Arc::new(client)).read());
    let now = state.now();
    assert!(state.poison().is_convicted(REQUEST));
    state.poison().record_answer(REQUEST, runs_with_software("v1")[0], now, now);
    assert!(!state.poison().is_convicted(REQUEST));
}

/// Records responses of three runs that end with their connections.
fn close_after_responses(poison: &mut Poison, presence: Presence) {
    for run in (0..3).map(RunKey) {
        let check = poison.record_close_after_response(REQUEST, run, at(0), at(100));
        assert_eq!(check, CheckState::Due);
        poison.record_check(run, presence, at(101));
    }
}

#[test]
fn response_that_ends_with_its_connection_is_an_answer_only_if_its_target_lives_on() {
    let mut poison = Poison::default();
    close_after_responses(&mut poison, Presence::Ended);
    assert!(poison.is_convicted(REQUEST));

    let mut poison = Poison::default();
    close_after_responses(&mut poison, Presence::Listening);
    poison.record_answer(SuspectKey(8), RunKey(0), at(150), at(200));
    (10..13).for_each(|run| crash(&mut poison, REQUEST, run, at(300)));
    assert!(!poison.is_convicted(REQUEST), "it was answered recently");
}

// A run that had ended before the request was sent belongs to an address that another run has taken.
#[parameterized(before = { 50, 100, false }, while_it_was_there = { 100, 50, true })]
fn end_that_is_known_already_accuses_what_was_sent_before(ended: u64, opened: u64, convicts: bool) {
    let mut poison = Poison::default();
    poison.merge(&crashes_under_others(), at(ended));
    for run in 0..3 {
        poison.record_abandoned(REQUEST, RunKey(run), &identity(), at(opened), at(200));
    }
    assert_eq!(poison.is_convicted(REQUEST), convicts);
}

#[test]
fn abandoned_requests_cause_few_checks_however_many_there_are() {
    let mut poison = Poison::default();
    let mut checks = 0;
    for ms in (0..10_000).step_by(20) {
        poison.record_abandoned(SuspectKey(ms.into()), RunKey(1), &identity(), at(ms), at(ms));
        checks += poison.suspect_targets(at(ms)).iter().filter(|t| t.is_check_due).count();
    }
    assert!((15..=21).contains(&checks), "{checks} checks in 10 s");
}

#[test]
fn draining_target_is_not_suspect() {
    let mut poison = Poison::default();
    cut_off_while_listening(&mut poison, 1, at(1));
    poison.record_draining(RunKey(1));
    assert!(!poison.has_suspect_targets());
    assert_eq!(poison.record_check(RunKey(1), Presence::Gone, at(5)), 0);
}

#[test]
fn suspect_targets_take_bounded_memory() {
    let mut poison = Poison::default();
    (0..2_000).for_each(|run| cut_off_while_listening(&mut poison, run, at(run)));
    assert!(poison.suspect_targets(at(2_000)).len() <= 128);
}

/// Records that three targets crashed after they had the request for `age_ms` milliseconds.
fn crash_after(poison: &mut Poison, key: SuspectKey, age_ms: u64, now: u64) {
    for run in 0..3 {
        if poison.record_early_close(key, RunKey(run), at(now - age_ms), at(now)) == CheckState::Due
        {
            poison.record_check(RunKey(run), Presence::Ended, at(now));
        }
    }
}

// A daemon that has just started has seen no responses. A request that is sent repeatedly was in flight
// at each target that another request crashed, and was convicted along with it.
#[parameterized(
    just_started = { 1_000, false },
    running_for_long = { 9_000, true },
)]
fn crash_has_one_cause_until_responses_are_known(now: u64, convicts: bool) {
    let mut poison = Poison::new(at(0));
    let poll = SuspectKey(8);
    crash_after(&mut poison, REQUEST, 20, now);
    crash_after(&mut poison, poll, 300, now);
    (10..12).for_each(|run| crash(&mut poison, poll, run, at(now)));
    crash(&mut poison, REQUEST, 12, at(now));
    assert!(poison.is_convicted(REQUEST));
    assert_eq!(poison.is_convicted(poll), convicts);
}

#[test]
fn one_check_counts_for_all_requests_at_the_target() {
    let mut poison = Poison::default();
    let first = poison.record_early_close(REQUEST, RunKey(1), at(1), at(1));
    let second = poison.record_early_close(SuspectKey(8), RunKey(1), at(1), at(1));
    assert_eq!((first, second), (CheckState::Due, CheckState::InProgress));
    assert_eq!(poison.record_check(RunKey(1), Presence::Ended, at(2)), 2);
    // A request whose end is noticed after the check needs no check of its own.
    assert_eq!(poison.record_early_close(SuspectKey(9), RunKey(1), at(3), at(3)), CheckState::Done);
    assert_eq!(poison.suspected(), 3);
}

#[parameterized(
    in_order = { &[0, 1, 2] },
    backwards = { &[2, 1, 0] },
    twice = { &[1, 1, 0, 2, 0] },
)]
fn evidence_is_merged_in_any_order_and_any_number_of_times(order: &[usize]) {
    let received = [evidence(&[1]), evidence(&[2, 1]), evidence(&[3])];
    let mut poison = Poison::default();
    order.iter().for_each(|n| drop(poison.merge(&received[n.to_owned()..=*n], at(1))));
    assert!(poison.is_convicted(REQUEST));
    assert_eq!(poison.convicted(), vec![evidence(&[1, 2, 3])]);
}

#[test]
fn daemon_without_a_conviction_is_sent_all_its_evidence() {
    let mut poison = convicted();
    let merged = poison.merge(&[evidence(&[9])], at(9));
    assert!(!merged.convicts);
    assert_eq!(merged.lacking, vec![evidence(&[0, 1, 2, 9])]);
    let mut other = Poison::default();
    assert!(other.merge(&merged.lacking, at(9)).convicts);
    assert_eq!(other.digest(), poison.digest());
}

#[test]
fn request_answered_between_two_crashes_is_cleared_at_all_daemons() {
    let mut poison = Poison::default();
    let mut other = Poison::default();
    (0..2).for_each(|run| crash(&mut poison, REQUEST, run, at(run)));
    other.merge(&poison.take_unsent(), at(2));
    poison.record_answer(REQUEST, RunKey(5), at(3), at(4));
    other.merge(&poison.take_unsent(), at(5));
    // Long after the response, so that the request is not protected by a recent response.
    for (n, daemon) in [&mut poison, &mut other].into_iter().enumerate() {
        crash(daemon, REQUEST, 10 + n as u64, at(60_000));
        assert!(!daemon.is_convicted(REQUEST));
    }
}

// A daemon that had a response to the request cleared it locally, but published that only with its
// next finding.
#[test]
fn local_clearance_is_published_at_once_when_evidence_arrives() {
    let state = state(&ManualClock::new());
    let now = state.now();
    state.poison().record_answer(REQUEST, RunKey(9), now, now);
    let seen = state.poison_changed.count();
    state.merge_poison(&[evidence(&[1, 2])]);
    assert_ne!(state.poison_changed.count(), seen, "the publishing thread is notified");
    let sent = state.poison().take_unsent();
    assert_eq!(sent.iter().map(Evidence::count).collect::<Vec<_>>(), [0]);
}

#[test]
fn recently_answered_request_is_not_suspected_of_a_crash() {
    let mut poison = Poison::default();
    poison.record_answer(REQUEST, RunKey(5), at(0), at(1));
    (0..5).for_each(|run| crash(&mut poison, REQUEST, run, at(4_000)));
    assert!(!poison.is_convicted(REQUEST));
    (5..8).for_each(|run| crash(&mut poison, REQUEST, run, at(60_000)));
    assert!(poison.is_convicted(REQUEST), "an old response does not protect the request");
}

#[test]
fn target_that_answers_after_its_reported_crash_had_not_crashed() {
    let mut poison = convicted();
    let other = SuspectKey(8);
    poison.record_answer(other, RunKey(0), at(0), at(50));
    assert!(poison.is_convicted(REQUEST), "that request was not sent after the crash");
    poison.record_answer(other, RunKey(0), at(60), at(70));
    assert!(!poison.is_convicted(REQUEST));
}

#[test]
fn convicted_request_is_tried_once_and_cleared_or_convicted_for_good() {
    let mut poison = convicted();
    assert!(!poison.begin_trial(REQUEST, at(100)), "the conviction is too recent");
    assert!(poison.begin_trial(REQUEST, at(6_000)));
    assert!(!poison.begin_trial(REQUEST, at(6_001)), "one trial at a time");
    crash(&mut poison, REQUEST, 9, at(6_100));
    assert!(!poison.begin_trial(REQUEST, at(900_000)));

    let mut poison = convicted();
    assert!(poison.begin_trial(REQUEST, at(6_000)));
    poison.record_answer(REQUEST, RunKey(9), at(6_000), at(6_100));
    assert!(!poison.is_convicted(REQUEST));
}

#[test]
fn flood_of_suspects_takes_bounded_memory_and_no_conviction() {
    let mut poison = convicted();
    for n in 0..20_000u64 {
        crash(&mut poison, SuspectKey(100 + u128::from(n)), 1_000 + n / 64, at(n));
    }
    assert!(poison.suspected() <= 4096 + MAX_CONVICTED, "{} suspected", poison.suspected());
    assert!(poison.is_convicted(REQUEST));
}

#[test]
fn request_that_outlives_many_targets_takes_bounded_memory_and_one_datagram() {
    let mut poison = Poison::default();
    for n in 0..1_000u64 {
        // The rounds are further apart than a response protects the request, so each crash raises
        // suspicion; a response follows in each round.
        let now = at(20_000 * n);
        (0..2).for_each(|k| crash(&mut poison, REQUEST, 2 * n + k, now));
        poison.record_answer(REQUEST, RunKey(u64::MAX), now, now);
        let sent = poison.take_unsent();
        assert!(sent.iter().all(|item| item.crashes.len() + item.cleared.len() <= 40), "{sent:?}");
    }
    assert!(!poison.is_convicted(REQUEST));
}

#[test]
fn conviction_looked_up_longest_ago_is_dropped_first() {
    let mut poison = convicted();
    for n in 0..2 * MAX_CONVICTED as u64 {
        let key = SuspectKey(100 + u128::from(n));
        (0..3).for_each(|run| crash(&mut poison, key, 1_000 + 3 * n + run, at(n)));
        assert!(poison.is_convicted(REQUEST), "the request is looked up all the time");
    }
    assert_eq!(poison.convicted().len(), MAX_CONVICTED);
}

struct Rig {
    clock: ManualClock,
    store: FakeStore,
}

impl Rig {
    fn new() -> Self {
        Self { clock: ManualClock::new(), store: FakeStore::new() }
    }

    /// Starts a daemon that has not read the poison row.
    fn daemon(&self) -> (Arc<tansyknot_fleet::state::State>, PoisonKeeper) {
        let state = state(&self.clock);
        let keeper = PoisonKeeper::new(Arc::clone(&state), Arc::new(self.store.client()));
        (state, keeper)
    }

    fn row(&self) -> Vec<u8> {
        let row = self.store.client().row(RowName::Poison).expect("the store responds");
        row.expect("the row exists").value
    }

    fn set_row(&self, value: &[u8]) {
        let written = self.store.client().write_row(RowName::Poison, 0, value);
        written.expect("the store responds");
    }
}

#[test]
fn conviction_outlives_all_daemons() {
    let rig = Rig::new();
    let (state, keeper) = rig.daemon();
    assert!(keeper.read());
    (0..3).for_each(|run| crash(&mut state.poison(), REQUEST, run, rig.clock.now()));
    assert!(!keeper.step(false), "the daemon that found the crash writes the row");
    let (later, keeper) = rig.daemon();
    assert!(keeper.read());
    assert!(later.poison().is_convicted(REQUEST));
}

#[test]
fn concurrent_writes_lose_no_conviction() {
    let rig = Rig::new();
    let daemons = [rig.daemon(), rig.daemon()];
    for (n, (state, keeper)) in daemons.iter().enumerate() {
        assert!(keeper.read());
        let key = SuspectKey(n as u128);
        (0..3).for_each(|run| crash(&mut state.poison(), key, 10 * n as u64 + run, at(1)));
    }
    for (_, keeper) in &daemons {
        assert!(!keeper.step(true));
    }
    let (later, keeper) = rig.daemon();
    assert!(keeper.read());
    assert_eq!(later.poison().convicted().len(), 2);
}

#[test]
fn failed_write_is_retried() {
    let rig = Rig::new();
    let state = state(&rig.clock);
    let client = rig.store.client();
    let keeper = PoisonKeeper::new(Arc::clone(&state), Arc::new(client.clone()));
    client.set_fault(StoreFault::Unresponsive);
    assert!(!keeper.read(), "no request is admitted before the row is read");
    (0..3).for_each(|run| crash(&mut state.poison(), REQUEST, run, at(1)));
    assert!(keeper.step(true));
    client.set_fault(StoreFault::None);
    assert!(!keeper.step(true));
    assert!(!rig.row().is_empty());
}

#[parameterized(
    damaged = { b"\x00no row", true },
    bad_key = { br#"{"form":1,"requests":[{"key":"x","crashes":[],"tried":false}]}"#, true },
    newer = { br#"{"form":4,"anything":[]}"#, false },
)]
fn row_that_cant_be_read_is_no_obstacle(value: &[u8], is_replaced: bool) {
    let rig = Rig::new();
    rig.set_row(value);
    let (state, keeper) = rig.daemon();
    assert!(keeper.read());
    (0..3).for_each(|run| crash(&mut state.poison(), REQUEST, run, at(1)));
    keeper.step(true);
    assert_eq!(rig.row() != value, is_replaced, "a row written by a later release stays");
}

#[test]
fn row_with_the_maximum_of_convictions_fits() {
    let rig = Rig::new();
    let (state, keeper) = rig.daemon();
    for n in 0..MAX_CONVICTED as u64 {
        let key = SuspectKey(u128::MAX - u128::from(n));
        (0..8).for_each(|run| crash(&mut state.poison(), key, u64::MAX - 8 * n - run, at(n)));
    }
    assert!(!keeper.step(true));
    assert!(rig.row().len() < MAX_ROW_BYTES, "{} bytes", rig.row().len());
}

fn part(id: u64) -> SuspectKey {
    SuspectKey::of_part(&"models".into(), id)
}

/// Records that a run crashed while it had these requests or parts.
fn crash_under(poison: &mut Poison, keys: &[SuspectKey], run: u64, now: Time) {
    keys.iter().for_each(|key| _ = poison.record_early_close(*key, RunKey(run), now, now));
    poison.record_check(RunKey(run), Presence::Ended, now);
}

#[parameterized(
    three = { 3, false },
    four = { 4, true },
)]
fn four_crashes_convict_a_part(crashes: u64, convicts: bool) {
    let mut poison = Poison::default();
    (0..crashes).for_each(|run| crash_under(&mut poison, &[part(1)], run, at(run)));
    assert_eq!(poison.is_convicted(part(1)), convicts);
}

#[test]
fn part_that_a_begun_response_contained_is_cleared() {
    let mut poison = Poison::default();
    (0..3).for_each(|run| crash_under(&mut poison, &[part(1), part(2)], run, at(run)));
    poison.record_answer(part(2), RunKey(100), at(10), at(20));
    crash_under(&mut poison, &[part(1), part(2)], 3, at(30));
    assert_eq!([1, 2].map(|id| poison.is_convicted(part(id))), [true, false]);
}

#[test]
fn part_with_more_crashes_explains_those_under_other_parts_and_requests() {
    let mut poison = Poison::default();
    let innocent = [part(2), SuspectKey(8)];
    (0..4).for_each(|run| crash_under(&mut poison, &innocent, run, at(run)));
    assert!(poison.is_convicted(part(2)), "nothing else explains it yet");
    // The evidence on the cause comes from another daemon.
    let cause = Evidence { suspect: part(1), ..evidence(&[0, 1, 2, 3, 4]) };
    assert!(poison.merge(&[cause], at(10)).convicts);
    assert!(poison.is_convicted(part(1)));
    assert!(!innocent.iter().any(|key| poison.is_convicted(*key)));
}

#[test]
fn part_that_was_answered_before_is_explained_by_one_that_was_never() {
    let mut poison = Poison::default();
    poison.record_answer(part(2), RunKey(100), at(0), at(0));
    let (begin, both) = (2_000, [part(1), part(2)]);
    (0..4).for_each(|run| crash_under(&mut poison, &both, run, at(begin + run)));
    assert_eq!(both.map(|key| poison.is_convicted(key)), [true, false]);
}

#[test]
fn trial_of_a_part_has_no_other_suspect() {
    let mut poison = Poison::default();
    (0..4).for_each(|run| crash_under(&mut poison, &[part(1)], run, at(run)));
    (0..2).for_each(|run| crash_under(&mut poison, &[part(2)], 10 + run, at(run)));
    let request = |parts: &[u64]| RequestSuspects {
        request: REQUEST,
        parts: parts.iter().map(|id| part(*id)).collect(),
    };
    assert!(poison.may_try(part(1), &request(&[3, 1])));
    assert!(!poison.may_try(part(1), &request(&[2, 1])));
}

#[test]
fn request_is_not_sent_again_after_a_second_crash_under_a_part() {
    let suspects = RequestSuspects { request: REQUEST, parts: vec![part(1)] };
    let mut poison = Poison::default();
    crash_under(&mut poison, &[part(1)], 1, at(1));
    assert!(!poison.withholds(&suspects));
    crash_under(&mut poison, &[part(1)], 2, at(2));
    assert!(poison.withholds(&suspects));
}

// A request that came again and again was acquitted in the moment of its conviction: the parts of its
// own prompt had as many crashes, and explained them.
#[test]
fn request_that_crashes_targets_again_and_again_is_not_explained_by_its_own_parts() {
    let mut poison = Poison::new(at(0));
    let suspects = RequestSuspects { request: REQUEST, parts: vec![part(1), part(2)] };
    for run in 0..3 {
        let now = at(10_000 + run);
        for key in poison.accused(&suspects, false) {
            crash(&mut poison, key, run, now);
        }
    }
    assert!(poison.is_convicted(REQUEST));
    assert!(!poison.is_convicted(part(1)));
}

#[test]
fn convicted_part_outlives_all_daemons_in_the_row() {
    let (store, clock) = (FakeStore::new(), ManualClock::new());
    clock.advance(Duration::from_secs(60));
    let before = state(&clock);
    let now = clock.now();
    (0..4).for_each(|run| crash_under(&mut before.poison(), &[part(1)], run, now));
    let keeper = PoisonKeeper::new(Arc::clone(&before), Arc::new(store.client()));
    assert!(!keeper.step(true), "the row is written");
    let after = state(&clock);
    let keeper = PoisonKeeper::new(Arc::clone(&after), Arc::new(store.client()));
    assert!(keeper.read());
    assert!(after.poison().is_convicted(part(1)));
}

#[test]
fn parts_that_a_caller_makes_up_take_bounded_memory() {
    let mut poison = Poison::default();
    for run in 0..2_000 {
        let parts: Vec<SuspectKey> = (0..8).map(|n| part(run * 8 + n)).collect();
        crash_under(&mut poison, &parts, run, at(run));
    }
    assert!(poison.suspected() <= 4096 + MAX_CONVICTED, "{}", poison.suspected());
}
