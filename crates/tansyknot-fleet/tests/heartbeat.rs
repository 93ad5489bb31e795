//! Heartbeats of daemons whose view changes at different rates.

use std::time::Duration;

use tansyknot_core::clock::Time;
use tansyknot_fleet::dissemination::heartbeat::{
    HEARTBEAT_INTERVAL, HeartbeatSchedule, StepReason,
};
use yare::parameterized;

#[parameterized(
    calm = { None },
    occasional = { Some(700) },
    busy = { Some(100) },
    very_busy = { Some(20) },
)]
fn beats_come_however_often_something_changes(change_every_ms: Option<u64>) {
    let start = Time::from_millis(5_000);
    let mut schedule = HeartbeatSchedule::new(start);
    let (mut heartbeats, mut changes) = (0, 0);
    let mut last_heartbeat = start;
    for ms in (10..=6_000).step_by(10) {
        let now = start + Duration::from_millis(ms);
        let has_changed = change_every_ms.is_some_and(|every| ms % every == 0);
        match schedule.step_reason(has_changed, now) {
            Some(StepReason::Heartbeat) => {
                assert!(
                    now.since(last_heartbeat) <= HEARTBEAT_INTERVAL + Duration::from_millis(10)
                );
                last_heartbeat = now;
                heartbeats += 1;
            }
            Some(StepReason::Change) => changes += 1,
            None => {}
        }
    }
    assert_eq!(heartbeats, 20);
    assert!(change_every_ms.is_none() || changes > 0);
}
