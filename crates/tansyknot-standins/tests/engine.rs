//! What the engine stand-in does that other tests only rely on.

use std::{sync::Arc, thread, time::Duration};

use tansyknot_standins::engine::{cache::Cache, turns::Turns};

#[test]
fn turns_go_by_priority_and_then_by_arrival() {
    let turns = Arc::new(Turns::new(1));
    let first = turns.take(0);
    let (tx, rx) = std::sync::mpsc::channel();
    let mut threads = Vec::new();
    for (at, priority) in [1, 0, 1, 0].into_iter().enumerate() {
        let (turns, tx) = (Arc::clone(&turns), tx.clone());
        let before = turns.waiting();
        let waits = Arc::clone(&turns);
        threads.push(thread::spawn(move || {
            let _turn = turns.take(priority);
            tx.send(at).expect("the test listens");
        }));
        while waits.waiting() == before {
            thread::yield_now();
        }
    }
    drop(first);
    let order: Vec<usize> = rx.iter().take(4).collect();
    assert_eq!(order, [1, 3, 0, 2]);
    threads.into_iter().for_each(|t| t.join().expect("no panic"));
}

#[test]
fn cache_events_have_gaps_and_come_late() {
    let cache = Cache::default();
    (0..100).for_each(|prefix| cache.store(prefix));
    let told = cache.events(0, Duration::ZERO);
    assert!(told.windows(2).any(|w| w[1].seq > w[0].seq + 1), "there is no gap");
    assert!(told.len() > 100);
    let newest = told.last().expect("there are events").seq;
    assert!(cache.events(newest, Duration::ZERO).is_empty());
    assert!(cache.events(0, Duration::from_secs(3600)).is_empty());
}
