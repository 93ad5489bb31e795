//! Costs of the list of hosts by the number of targets.

use std::hint::black_box;

use tansyknot_control::hosts::HostView;
use tansyknot_core::{
    clock::Time,
    host::{Fencing, HostState, Target, TargetKind},
    label::Selector,
    name::{TargetName, ZoneName},
};
use tansyknot_standins::fake::FakeHosts;

use crate::slope;

const TARGETS: &[usize] = &[100, 400, 1600, 6900];

fn target(i: usize) -> Target {
    Target {
        name: TargetName::new(format!("runner-{i:04}")),
        address: ([10, 1, (i / 250) as u8, (i % 250) as u8], 8000).into(),
        availability_zone: ZoneName::new(format!("zone-{}", i % 14)),
        state: HostState::Live,
        kind: TargetKind::Engine,
        memory_bytes: 320_000_000_000,
        fencing: Fencing::Checked,
        labels: [
            ("pool".into(), format!("pool-{}", i % 20).into()),
            ("generation".into(), "g4".into()),
        ]
        .into(),
    }
}

fn hosts(count: usize) -> FakeHosts {
    let hosts = FakeHosts::default();
    hosts.state.set((0..count).map(target).collect());
    hosts
}

pub(crate) fn measure() {
    slope::measure("list of hosts in one answer", "targets", "bytes", TARGETS, |n| {
        serde_json::to_string(&hosts(n).state.list()).expect("the list serializes").len() as f64
    });
    slope::measure("taking in a changed list", "targets", "us", TARGETS, |n| {
        let (hosts, view) = (hosts(n), HostView::default());
        slope::average_micros(20, || {
            view.refresh(&hosts, Time::default()).expect("the list is up");
        })
    });
    slope::measure("selecting targets for a placement", "targets", "us", TARGETS, |n| {
        let (hosts, view) = (hosts(n), HostView::default());
        view.refresh(&hosts, Time::default()).expect("the list is up");
        let selector = Selector::parse("pool=pool-3").expect("the selector is valid");
        slope::average_micros(50, || drop(black_box(view.select(&selector))))
    });
}

/// Measures memory. Runs before the other measurements, since the reuse of freed memory hides later
/// growth.
pub(crate) fn measure_memory() {
    const LARGEST_FIRST: &[usize] = &[27_600, 6900, 1600, 400];
    slope::measure("list of hosts in memory", "targets", "bytes", LARGEST_FIRST, |n| {
        let (bytes, list) = slope::memory_growth(|| (0..n).map(target).collect::<Vec<_>>());
        std::mem::forget(list);
        bytes
    });
}
