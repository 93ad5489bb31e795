//! Costs of the configuration: memory per object, time and bytes per change, rows of a full read.

use std::hint::black_box;

use tansyknot_config::{
    object::{Adapter, Object},
    objects_in_force::{ConfigObjects, ObjectChange},
};
use tansyknot_control::config::{self, Author, ConfigView};
use tansyknot_core::{
    name::{AdapterName, ServiceName},
    table::Table,
};
use tansyknot_standins::fake::FakeTable;

use crate::slope;

const SIZES: &[usize] = &[1000, 4000, 16_000, 59_000];

fn adapter(i: usize) -> Object {
    Object::Adapter(Adapter {
        name: AdapterName::new(format!("adapter-{i:05}")),
        service: ServiceName::new(format!("service-{:04}", i % 1900)),
    })
}

fn store(count: usize, objects: &[Object]) -> ConfigObjects {
    let mut store = ConfigObjects::default();
    for object in &objects[..count] {
        store.apply(&ObjectChange::Put(object.clone()), 1);
    }
    store.raise_version(1);
    store
}

pub(crate) fn measure() {
    let objects: Vec<Object> = (0..59_000).map(adapter).collect();
    slope::measure("look-up by a caller's model name", "objects", "us", SIZES, |n| {
        let store = store(n, &objects);
        slope::average_micros(10_000, || drop(black_box(store.resolve("adapter-00500"))))
    });
    slope::measure("following one change", "objects", "us", SIZES, |n| {
        average_follow_us(n, &objects)
    });
    slope::measure("table reads of one change at one daemon", "objects", "reads", SIZES, |n| {
        let (table, view) = table_in_force(n, &objects);
        apply_change(&table, 2);
        let before = table.state.counts().reads;
        view.follow(&table).expect("the table is up");
        (table.state.counts().reads - before) as f64
    });
    slope::measure("bytes of one change at one daemon", "objects", "bytes", SIZES, |n| {
        let (table, _) = table_in_force(n, &objects);
        apply_change(&table, 2);
        let head =
            table.read(config::HEAD_KEY).expect("the table is up").map_or(0, |row| row.value.len());
        let (newest, _) = config::read_head(&table).expect("the table is up");
        let after = config::change_key(newest.version - 1);
        let rows = table.scan(config::CHANGE_PREFIX, &after, 10).expect("the table is up");
        (head + rows.iter().map(|row| row.value.len()).sum::<usize>()) as f64
    });
    slope::measure("rows of a full read", "objects", "rows", SIZES, |n| {
        let (table, _) = table_in_force(n, &objects);
        let before = table.state.counts().rows;
        ConfigView::default().follow(&table).expect("the table is up");
        (table.state.counts().rows - before) as f64
    });
}

/// Creates a table with objects and a view that has them in force.
fn table_in_force(count: usize, objects: &[Object]) -> (FakeTable, ConfigView) {
    let table = FakeTable::default();
    let author = Author { name: "bench".to_owned(), at_ms: 0 };
    // The limit on the changes of a version protects the table service, so the objects need
    // several versions.
    let ops: Vec<ObjectChange> = objects[..count].iter().cloned().map(ObjectChange::Put).collect();
    for (version, batch) in ops.chunks(config::MAX_OPS).enumerate() {
        config::apply(&table, version as u64, batch, &author).expect("no other change is made");
    }
    let view = ConfigView::default();
    view.follow(&table).expect("the table is up");
    (table, view)
}

fn apply_change(table: &FakeTable, i: usize) {
    let (head, _) = config::read_head(table).expect("the table is up");
    let author = Author { name: "bench".to_owned(), at_ms: 0 };
    config::apply(table, head.version, &[ObjectChange::Put(adapter(i % 900))], &author)
        .expect("no other change is made");
}

fn average_follow_us(count: usize, objects: &[Object]) -> f64 {
    const CHANGES: usize = 20;
    let (table, view) = table_in_force(count, objects);
    let mut us = 0.0;
    for i in 0..CHANGES {
        apply_change(&table, i);
        us += slope::average_micros(1, || {
            view.follow(&table).expect("the table is up");
        });
    }
    us / CHANGES as f64
}

/// Measures memory. Runs before the other measurements, since the reuse of freed memory hides later
/// growth.
pub(crate) fn measure_memory() {
    const LARGEST_FIRST: &[usize] = &[59_000, 16_000, 4000, 1000];
    slope::measure("configuration in memory", "objects", "bytes", LARGEST_FIRST, |n| {
        let (bytes, store) = slope::memory_growth(|| {
            let mut store = ConfigObjects::default();
            (0..n).for_each(|i| store.apply(&ObjectChange::Put(adapter(i)), 1));
            store
        });
        std::mem::forget(store);
        bytes
    });
}
