//! Beats of daemons whose view changes all the time.

use std::time::Duration;

use tansyknot_core::clock::Time;
use tansyknot_fleet::dissemination::heartbeat::{
    HEARTBEAT_INTERVAL, HeartbeatSchedule, StepReason,
};
use yare::parameterized;

#[parameterized(
    calm = { None },
    now_and_then = { Some(700) },
    busy = { Some(100) },
    very_busy = { Some(20) },
)]
fn beats_come_however_often_something_changes(change_every_ms: Option<u64>) {
    let begin = Time::from_millis(5_000);
    let mut pace = HeartbeatSchedule::new(begin);
    let (mut beats, mut changes) = (0, 0);
    let mut last = begin;
    for ms in (10..=6_000).step_by(10) {
        let now = begin + Duration::from_millis(ms);
        let has_changed = change_every_ms.is_some_and(|every| ms % every == 0);
        match pace.step_reason(has_changed, now) {
            Some(StepReason::Heartbeat) => {
                assert!(now.since(last) <= HEARTBEAT_INTERVAL + Duration::from_millis(10));
                last = now;
                beats += 1;
            }
            Some(StepReason::Change) => changes += 1,
            None => {}
        }
    }
    assert_eq!(beats, 20);
    assert!(change_every_ms.is_none() || changes > 0);
}
