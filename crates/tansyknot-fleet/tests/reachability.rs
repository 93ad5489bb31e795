//! Tests of what a daemon concludes from its connections to targets, in virtual time.

mod support;

use std::time::Duration;

use support::target;
use tansyknot_core::{
    clock::Time,
    name::{ServiceName, TargetName},
};
use tansyknot_fleet::{
    reachability::{OUTAGE_CONFIRMATION, PROBE_INTERVAL, Path, Reachability, Transition},
    target::Target,
};
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn targets(count: usize) -> Vec<Target> {
    (0..count).map(|n| target(&format!("t{n}"), &[], &[])).collect()
}

fn service() -> ServiceName {
    ServiceName::from("s")
}

/// Returns the paths of a daemon that could not connect to the first `failed` of `targets`.
fn after_failures(targets: &[Target], failed: usize) -> (Reachability, Option<Transition>) {
    let mut paths = Reachability::default();
    let mut last = None;
    for target in &targets[..failed] {
        last = paths.record_failed(target, targets.len(), at(0));
    }
    (paths, last)
}

#[parameterized(
    one_of_many = { 9, 1, false },
    two_of_many = { 9, 2, false },
    three_of_many = { 9, 3, true },
    one_of_two = { 2, 1, false },
    all_of_two = { 2, 2, true },
    the_only_one = { 1, 1, true },
)]
fn daemon_is_cut_off_after_failures_with_several_targets(known: usize, failed: usize, cut: bool) {
    let targets = targets(known);
    let (paths, transition) = after_failures(&targets, failed);
    assert_eq!(paths.is_cut_off(&service()), cut);
    assert_eq!(transition, cut.then_some(Transition::CutOff { failed }));
    assert_eq!(paths.path(&targets[failed - 1]), Path::Tunnel);
    let untried = paths.path(&targets[known - 1]);
    assert_eq!(untried, if cut || failed == known { Path::Tunnel } else { Path::Direct });
}

#[test]
fn repeated_failures_with_one_target_are_no_cut() {
    let targets = targets(9);
    let mut paths = Reachability::default();
    for ms in 0..20 {
        assert_eq!(paths.record_failed(&targets[0], 9, at(ms)), None);
    }
    assert!(!paths.is_cut_off(&service()));
}

#[test]
fn success_between_failures_shows_that_the_links_work() {
    let targets = targets(9);
    let (mut paths, _) = after_failures(&targets, 2);
    assert_eq!(paths.record_connected(&targets[5], at(1)), None);
    assert_eq!(paths.record_failed(&targets[2], 9, at(2)), None);
    assert!(!paths.is_cut_off(&service()));
}

#[test]
fn target_that_no_daemon_reaches_is_no_sign_of_a_cut() {
    let targets = targets(9);
    let (mut paths, _) = after_failures(&targets, 2);
    paths.record_target_down(&targets[0]);
    assert_eq!(paths.path(&targets[0]), Path::Direct);
    assert_eq!(paths.record_failed(&targets[2], 9, at(2)), None);
}

#[test]
fn first_connection_ends_a_cut_and_failed_paths_are_probed_at_once() {
    let targets = targets(9);
    let names: Vec<TargetName> = targets.iter().map(|t| t.name.clone()).collect();
    let (mut paths, _) = after_failures(&targets, 3);
    paths.due_probes(|_| names.clone(), at(1190));
    let restored = paths.record_connected(&targets[7], at(1200));
    assert_eq!(restored, Some(Transition::Restored(Duration::from_millis(1200))));
    assert!(targets[3..].iter().all(|target| paths.path(target) == Path::Direct));
    while paths.has_failed_paths() {
        let due = paths.due_probes(|_| names.clone(), at(1200));
        assert!(!due.is_empty(), "the next probe is put off");
        for name in due {
            let target = targets.iter().find(|t| t.name == name).expect("it is known");
            assert_eq!(paths.record_connected(target, at(1200)), None);
        }
    }
    assert!(targets.iter().all(|target| paths.path(target) == Path::Direct));
}

// With one target of nine reached, requests for the others must not try them directly again.
#[test]
fn daemon_that_reaches_one_target_goes_on_to_use_tunnels_to_the_others() {
    let targets = targets(9);
    let names: Vec<TargetName> = targets.iter().map(|t| t.name.clone()).collect();
    let (mut paths, _) = after_failures(&targets, 3);
    for target in &targets[1..] {
        paths.record_probe_failed(target);
    }
    assert!(paths.record_connected(&targets[0], at(1000)).is_some());
    for ms in 0..100 {
        for name in paths.due_probes(|_| names.clone(), at(1000 + 100 * ms)) {
            paths.record_probe_failed(targets.iter().find(|t| t.name == name).expect("known"));
        }
        assert!(!paths.is_cut_off(&service()));
        assert_eq!(paths.path(&targets[0]), Path::Direct);
        assert!(targets[1..].iter().all(|target| paths.path(target) == Path::Tunnel));
    }
}

#[test]
fn probes_are_few_and_reach_every_target() {
    let targets = targets(9);
    let names: Vec<TargetName> = targets.iter().map(|t| t.name.clone()).collect();
    let (mut paths, _) = after_failures(&targets, 3);
    let mut probed = Vec::new();
    for round in 0..5 {
        let now = at(1000) + PROBE_INTERVAL * round;
        let due = paths.due_probes(|_| names.clone(), now);
        assert!(due.len() <= 2, "{} targets are probed at once", due.len());
        assert!(paths.due_probes(|_| names.clone(), now).is_empty());
        probed.extend(due);
    }
    probed.sort();
    probed.dedup();
    assert_eq!(probed, names);
}

#[test]
fn failed_path_to_one_target_is_probed_alone() {
    let targets = targets(9);
    let names: Vec<TargetName> = targets.iter().map(|t| t.name.clone()).collect();
    let (mut paths, _) = after_failures(&targets, 1);
    assert_eq!(paths.due_probes(|_| names.clone(), at(1000)), vec![names[0].clone()]);
    assert!(paths.due_probes(|_| Vec::new(), at(2000)).is_empty());
    assert!(!paths.has_failed_paths(), "a target that is gone needs no path");
}

#[test]
fn outage_is_confirmed_only_while_no_daemon_reaches_a_target() {
    let targets = targets(3);
    let (mut paths, _) = after_failures(&targets, 3);
    paths.record_isolated(&targets[0], at(100));
    assert!(!paths.is_outage_confirmed(&service(), at(100)));
    assert!(paths.is_outage_confirmed(&service(), at(100) + OUTAGE_CONFIRMATION));
    paths.record_tunnelled(&targets[1]);
    assert!(!paths.is_outage_confirmed(&service(), at(5000)));
}
