//! Which requests are suspected, convicted, cleared and forgotten, and what daemons tell of it.

mod support;

use std::{sync::Arc, time::Duration};

use support::{
    state,
    store::{FakeStore, StoreFault},
};
use tansyknot_core::clock::{Clock, ManualClock, Time};
use tansyknot_fleet::{
    platform_api::{RowName, Store},
    poison::{
        CheckState, MAX_CONVICTED, Poison, Presence, TargetIdentity,
        evidence::Evidence,
        keeper::PoisonKeeper,
        key::{RequestKey, RunKey},
    },
};
use yare::parameterized;

const REQUEST: RequestKey = RequestKey(7);
/// A row of the platform's store has this many bytes at most.
const ROW_BYTES: usize = 65_536;

fn at(ms: u64) -> Time {
    Time::default() + Duration::from_millis(ms)
}

/// Has a daemon find that a run ended under a request.
fn crash(poison: &mut Poison, key: RequestKey, run: u64, now: Time) {
    if poison.cut_off(key, RunKey(run), now, now) == CheckState::Due {
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
        request: REQUEST,
        crashes,
        cleared: Vec::new(),
        longest_run: Duration::ZERO,
        tried: false,
    }
}

#[parameterized(
    three = { &[1, 2, 3], true },
    two = { &[1, 2], false },
    one_run_again_and_again = { &[1, 1, 1, 1], false },
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
fn target_that_has_not_ended_puts_nobody_under_suspicion(presence: Presence) {
    let mut poison = Poison::default();
    for run in 0..9 {
        assert_eq!(poison.cut_off(REQUEST, RunKey(run), at(run), at(run)), CheckState::Due);
        assert_eq!(
            poison.cut_off(RequestKey(8), RunKey(run), at(run), at(run)),
            CheckState::InProgress
        );
        assert_eq!(poison.record_check(RunKey(run), presence, at(run)), 0);
    }
    assert_eq!((poison.is_convicted(REQUEST), poison.suspected()), (false, 0));
}

fn place() -> TargetIdentity {
    TargetIdentity {
        name: "t1".into(),
        service: "plain".into(),
        address: ([10, 0, 0, 1], 80).into(),
    }
}

/// Has a daemon find that a target cut a request off and somebody listens there.
fn cut_by_listener(poison: &mut Poison, run: u64, now: Time) {
    assert_eq!(poison.cut_off(REQUEST, RunKey(run), now, now), CheckState::Due);
    assert_eq!(poison.record_check(RunKey(run), Presence::Listening, now), 0);
    poison.recheck(RunKey(run), place());
}

// A port may go on accepting after the process behind it has ended. The list says so some time later.
#[parameterized(
    list_says_so_late = { Presence::Gone, 5_000, true },
    list_says_so_too_late = { Presence::Gone, 7_000, false },
    nobody_listens_soon = { Presence::Ended, 400, true },
    nobody_listens_much_later = { Presence::Ended, 3_000, false },
)]
fn target_that_listens_may_turn_out_to_have_ended(presence: Presence, after: u64, convicts: bool) {
    let mut poison = Poison::default();
    (0..3).for_each(|run| cut_by_listener(&mut poison, run, at(1)));
    assert!(!poison.is_convicted(REQUEST));
    (0..3).for_each(|run| _ = poison.record_check(RunKey(run), presence, at(1 + after)));
    assert_eq!(poison.is_convicted(REQUEST), convicts);
}

#[test]
fn target_that_listens_is_looked_at_again_and_then_left() {
    let mut poison = Poison::default();
    cut_by_listener(&mut poison, 1, at(0));
    let mut looks =
        |ms| poison.suspect_targets(at(ms)).iter().map(|d| d.is_check_due).collect::<Vec<_>>();
    assert_eq!([looks(50), looks(120), looks(130)], [vec![false], vec![true], vec![false]]);
    assert_eq!([looks(500), looks(2_000), looks(3_000)], [vec![true], vec![true], vec![false]]);
    assert!(looks(6_500).is_empty(), "nothing is doubted for ever");
}

#[test]
fn target_that_answers_what_it_was_sent_later_is_not_doubted() {
    let mut poison = Poison::default();
    (0..3).for_each(|run| cut_by_listener(&mut poison, run, at(1)));
    (0..3).for_each(|run| poison.answered(RequestKey(8), RunKey(run), at(2), at(3)));
    (0..3).for_each(|run| _ = poison.record_check(RunKey(run), Presence::Gone, at(5)));
    assert_eq!((poison.is_convicted(REQUEST), poison.has_suspect_targets()), (false, false));
}

#[test]
fn target_that_leaves_is_not_doubted() {
    let mut poison = Poison::default();
    cut_by_listener(&mut poison, 1, at(1));
    poison.record_draining(RunKey(1));
    assert!(!poison.has_suspect_targets());
    assert_eq!(poison.record_check(RunKey(1), Presence::Gone, at(5)), 0);
}

#[test]
fn doubts_take_bounded_memory() {
    let mut poison = Poison::default();
    (0..2_000).for_each(|run| cut_by_listener(&mut poison, run, at(run)));
    assert!(poison.suspect_targets(at(2_000)).len() <= 128);
}

/// Lets a request be at three targets for `lived` milliseconds each, which then end.
fn crash_after(poison: &mut Poison, key: RequestKey, lived: u64, now: u64) {
    for run in 0..3 {
        if poison.cut_off(key, RunKey(run), at(now - lived), at(now)) == CheckState::Due {
            poison.record_check(RunKey(run), Presence::Ended, at(now));
        }
    }
}

// A daemon that has just started knows of no answers: a request that comes again and again was at each
// target that another one ended, and was convicted with it.
#[parameterized(
    just_started = { 1_000, false },
    for_long = { 9_000, true },
)]
fn crash_has_one_cause_as_long_as_answers_are_not_known(now: u64, convicts: bool) {
    let mut poison = Poison::new(at(0));
    let poll = RequestKey(8);
    crash_after(&mut poison, REQUEST, 20, now);
    crash_after(&mut poison, poll, 300, now);
    (10..12).for_each(|run| crash(&mut poison, poll, run, at(now)));
    crash(&mut poison, REQUEST, 12, at(now));
    assert!(poison.is_convicted(REQUEST));
    assert_eq!(poison.is_convicted(poll), convicts);
}

#[test]
fn one_look_counts_for_all_that_the_target_had() {
    let mut poison = Poison::default();
    let first = poison.cut_off(REQUEST, RunKey(1), at(1), at(1));
    let second = poison.cut_off(RequestKey(8), RunKey(1), at(1), at(1));
    assert_eq!((first, second), (CheckState::Due, CheckState::InProgress));
    assert_eq!(poison.record_check(RunKey(1), Presence::Ended, at(2)), 2);
    // One that is noticed after that needs no look of its own.
    assert_eq!(poison.cut_off(RequestKey(9), RunKey(1), at(3), at(3)), CheckState::Done);
    assert_eq!(poison.suspected(), 3);
}

#[parameterized(
    in_order = { &[0, 1, 2] },
    backwards = { &[2, 1, 0] },
    twice = { &[1, 1, 0, 2, 0] },
)]
fn what_others_know_is_merged_in_any_order_and_any_number_of_times(order: &[usize]) {
    let told = [evidence(&[1]), evidence(&[2, 1]), evidence(&[3])];
    let mut poison = Poison::default();
    order.iter().for_each(|n| drop(poison.merge(&told[n.to_owned()..=*n], at(1))));
    assert!(poison.is_convicted(REQUEST));
    assert_eq!(poison.convicted(), vec![evidence(&[1, 2, 3])]);
}

#[test]
fn who_has_not_heard_of_a_conviction_is_told_all_of_it() {
    let mut poison = convicted();
    let merged = poison.merge(&[evidence(&[9])], at(9));
    assert!(!merged.convicts);
    assert_eq!(merged.lacking, vec![evidence(&[0, 1, 2, 9])]);
    let mut other = Poison::default();
    assert!(other.merge(&merged.lacking, at(9)).convicts);
    assert_eq!(other.digest(), poison.digest());
}

#[test]
fn request_that_is_run_between_two_crashes_is_cleared_at_all_daemons() {
    let mut poison = Poison::default();
    let mut other = Poison::default();
    (0..2).for_each(|run| crash(&mut poison, REQUEST, run, at(run)));
    other.merge(&poison.take_unsent(), at(2));
    poison.answered(REQUEST, RunKey(5), at(3), at(4));
    other.merge(&poison.take_unsent(), at(5));
    // Long after, so that it is not for having been answered lately.
    for (n, daemon) in [&mut poison, &mut other].into_iter().enumerate() {
        crash(daemon, REQUEST, 10 + n as u64, at(60_000));
        assert!(!daemon.is_convicted(REQUEST));
    }
}

// A daemon that had answered the request cleared it for itself, and told the others only with the
// next thing that it found.
#[test]
fn what_clears_a_request_is_told_at_once_where_it_is_known() {
    let state = state(&ManualClock::new());
    let now = state.now();
    state.poison().answered(REQUEST, RunKey(9), now, now);
    let seen = state.poison_changed.count();
    state.merge_poison(&[evidence(&[1, 2])]);
    assert_ne!(state.poison_changed.count(), seen, "who tells others is woken");
    let told = state.poison().take_unsent();
    assert_eq!(told.iter().map(Evidence::count).collect::<Vec<_>>(), [0]);
}

#[test]
fn request_that_was_answered_lately_is_not_suspected_of_a_crash() {
    let mut poison = Poison::default();
    poison.answered(REQUEST, RunKey(5), at(0), at(1));
    (0..5).for_each(|run| crash(&mut poison, REQUEST, run, at(4_000)));
    assert!(!poison.is_convicted(REQUEST));
    (5..8).for_each(|run| crash(&mut poison, REQUEST, run, at(60_000)));
    assert!(poison.is_convicted(REQUEST), "what it was does not protect it for ever");
}

#[test]
fn target_that_answers_after_its_end_was_told_had_not_ended() {
    let mut poison = convicted();
    let other = RequestKey(8);
    poison.answered(other, RunKey(0), at(0), at(50));
    assert!(poison.is_convicted(REQUEST), "that answer had been on its way");
    poison.answered(other, RunKey(0), at(60), at(70));
    assert!(!poison.is_convicted(REQUEST));
}

#[test]
fn convicted_request_is_tried_once_and_cleared_or_convicted_for_good() {
    let mut poison = convicted();
    assert!(!poison.begin_trial(REQUEST, at(100)), "it has just been convicted");
    assert!(poison.begin_trial(REQUEST, at(6_000)));
    assert!(!poison.begin_trial(REQUEST, at(6_001)), "one at a time");
    crash(&mut poison, REQUEST, 9, at(6_100));
    assert!(!poison.begin_trial(REQUEST, at(900_000)));

    let mut poison = convicted();
    assert!(poison.begin_trial(REQUEST, at(6_000)));
    poison.answered(REQUEST, RunKey(9), at(6_000), at(6_100));
    assert!(!poison.is_convicted(REQUEST));
}

#[test]
fn flood_of_suspects_takes_bounded_memory_and_no_conviction() {
    let mut poison = convicted();
    for n in 0..20_000u64 {
        crash(&mut poison, RequestKey(100 + u128::from(n)), 1_000 + n / 64, at(n));
    }
    assert!(poison.suspected() <= 4096 + MAX_CONVICTED, "{} suspected", poison.suspected());
    assert!(poison.is_convicted(REQUEST));
}

#[test]
fn request_that_outlives_many_targets_takes_bounded_memory_and_one_datagram() {
    let mut poison = Poison::default();
    for n in 0..1_000u64 {
        // More than a span apart, so that each is suspected, and answered in between.
        let now = at(20_000 * n);
        (0..2).for_each(|k| crash(&mut poison, REQUEST, 2 * n + k, now));
        poison.answered(REQUEST, RunKey(u64::MAX), now, now);
        let told = poison.take_unsent();
        assert!(told.iter().all(|item| item.crashes.len() + item.cleared.len() <= 40), "{told:?}");
    }
    assert!(!poison.is_convicted(REQUEST));
}

#[test]
fn of_too_many_convicted_those_asked_for_longest_ago_go() {
    let mut poison = convicted();
    for n in 0..2 * MAX_CONVICTED as u64 {
        let key = RequestKey(100 + u128::from(n));
        (0..3).for_each(|run| crash(&mut poison, key, 1_000 + 3 * n + run, at(n)));
        assert!(poison.is_convicted(REQUEST), "it is asked for all the while");
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

    /// Starts a daemon that has not read the row.
    fn daemon(&self) -> (Arc<tansyknot_fleet::state::State>, PoisonKeeper) {
        let state = state(&self.clock);
        let keeper = PoisonKeeper::new(Arc::clone(&state), Arc::new(self.store.door()));
        (state, keeper)
    }

    fn row(&self) -> Vec<u8> {
        let row = self.store.door().row(RowName::Poison).expect("the store answers");
        row.expect("there is a row").value
    }

    fn set_row(&self, value: &[u8]) {
        let written = self.store.door().write_row(RowName::Poison, 0, value);
        written.expect("the store answers");
    }
}

#[test]
fn conviction_outlives_all_daemons() {
    let rig = Rig::new();
    let (state, keeper) = rig.daemon();
    assert!(keeper.read());
    (0..3).for_each(|run| crash(&mut state.poison(), REQUEST, run, rig.clock.now()));
    assert!(!keeper.step(false), "who finds the crash writes");
    let (later, keeper) = rig.daemon();
    assert!(keeper.read());
    assert!(later.poison().is_convicted(REQUEST));
}

#[test]
fn two_that_write_at_once_lose_nothing() {
    let rig = Rig::new();
    let daemons = [rig.daemon(), rig.daemon()];
    for (n, (state, keeper)) in daemons.iter().enumerate() {
        assert!(keeper.read());
        let key = RequestKey(n as u128);
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
fn write_that_the_store_does_not_take_is_made_again() {
    let rig = Rig::new();
    let state = state(&rig.clock);
    let door = rig.store.door();
    let keeper = PoisonKeeper::new(Arc::clone(&state), Arc::new(door.clone()));
    door.set(StoreFault::Silent);
    assert!(!keeper.read(), "no request is taken before it is known");
    (0..3).for_each(|run| crash(&mut state.poison(), REQUEST, run, at(1)));
    assert!(keeper.step(true));
    door.set(StoreFault::None);
    assert!(!keeper.step(true));
    assert!(!rig.row().is_empty());
}

#[parameterized(
    damaged = { b"\x00no row", true },
    bad_key = { br#"{"form":1,"requests":[{"key":"x","crashes":[],"tried":false}]}"#, true },
    newer = { br#"{"form":2,"anything":[]}"#, false },
)]
fn row_that_cant_be_read_is_no_obstacle(value: &[u8], is_replaced: bool) {
    let rig = Rig::new();
    rig.set_row(value);
    let (state, keeper) = rig.daemon();
    assert!(keeper.read());
    (0..3).for_each(|run| crash(&mut state.poison(), REQUEST, run, at(1)));
    keeper.step(true);
    assert_eq!(rig.row() != value, is_replaced, "what a later release has written stays");
}

#[test]
fn row_of_as_many_as_are_kept_fits() {
    let rig = Rig::new();
    let (state, keeper) = rig.daemon();
    for n in 0..MAX_CONVICTED as u64 {
        let key = RequestKey(u128::MAX - u128::from(n));
        (0..8).for_each(|run| crash(&mut state.poison(), key, u64::MAX - 8 * n - run, at(n)));
    }
    assert!(!keeper.step(true));
    assert!(rig.row().len() < ROW_BYTES, "{} bytes", rig.row().len());
}
