//! Tests of the engine stand-in's behaviour that other tests rely on.

use std::{sync::Arc, thread, time::Duration};

use tansyknot_standins::engine::{cache::Cache, permits::PermitQueue};

#[test]
fn permits_are_granted_by_priority_and_then_by_arrival() {
    let queue = Arc::new(PermitQueue::new(1));
    let first = queue.acquire(0);
    let (tx, rx) = std::sync::mpsc::channel();
    let mut threads = Vec::new();
    for (index, priority) in [1, 0, 1, 0].into_iter().enumerate() {
        let (queue, tx) = (Arc::clone(&queue), tx.clone());
        let before = queue.waiting();
        let observer = Arc::clone(&queue);
        threads.push(thread::spawn(move || {
            let _permit = queue.acquire(priority);
            tx.send(index).expect("the receiver is open");
        }));
        while observer.waiting() == before {
            thread::yield_now();
        }
    }
    drop(first);
    let order: Vec<usize> = rx.iter().take(4).collect();
    assert_eq!(order, [1, 3, 0, 2]);
    threads.into_iter().for_each(|t| t.join().expect("no thread panics"));
}

#[test]
fn cache_events_have_gaps_and_lag() {
    let cache = Cache::default();
    (0..100).for_each(|prefix| cache.store(prefix));
    let events = cache.events(0, Duration::ZERO);
    assert!(events.windows(2).any(|w| w[1].seq > w[0].seq + 1), "no sequence number is missing");
    assert!(events.len() > 100);
    let newest = events.last().expect("there are events").seq;
    assert!(cache.events(newest, Duration::ZERO).is_empty());
    assert!(cache.events(0, Duration::from_secs(3600)).is_empty());
}
