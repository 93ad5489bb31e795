//! The mean and the upper bound that are estimated from observed durations.

use std::time::Duration;

use tansyknot_fleet::estimate::Estimate;
use yare::parameterized;

fn estimate_of(durations_ms: &[u64]) -> Estimate {
    let mut estimate = Estimate::default();
    durations_ms.iter().for_each(|ms| estimate.observe(Duration::from_millis(*ms)));
    estimate
}

#[test]
fn there_is_no_estimate_before_the_first_duration() {
    assert_eq!((estimate_of(&[]).mean(), estimate_of(&[]).upper_bound()), (None, None));
}

#[parameterized(
    single = { &[400], 400, 1200 },
    equal = { &[400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400], 400, 500 },
)]
fn upper_bound_lies_above_the_mean_and_approaches_it(
    durations_ms: &[u64],
    mean: u64,
    max_bound: u64,
) {
    let estimate = estimate_of(durations_ms);
    assert_eq!(estimate.mean(), Some(Duration::from_millis(mean)));
    assert!(estimate.upper_bound() <= Some(Duration::from_millis(max_bound)));
    assert!(estimate.upper_bound() >= estimate.mean());
}

#[test]
fn long_duration_raises_the_upper_bound() {
    let before = estimate_of(&[400; 12]);
    let after = estimate_of(&[[400; 12].as_slice(), &[3000]].concat());
    assert!(after.upper_bound() > before.upper_bound().map(|bound| bound + Duration::from_secs(2)));
}
