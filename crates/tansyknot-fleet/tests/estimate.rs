//! What spans that were seen say of the next one.

use std::time::Duration;

use tansyknot_fleet::estimate::Estimate;
use yare::parameterized;

fn seen(spans_ms: &[u64]) -> Estimate {
    let mut estimate = Estimate::default();
    spans_ms.iter().for_each(|ms| estimate.observe(Duration::from_millis(*ms)));
    estimate
}

#[test]
fn nothing_is_known_before_the_first_span() {
    assert_eq!((seen(&[]).mean(), seen(&[]).upper_bound()), (None, None));
}

#[parameterized(
    one = { &[400], 400, 1200 },
    alike = { &[400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400, 400], 400, 500 },
)]
fn most_lies_above_the_mean_and_nears_it(spans_ms: &[u64], mean: u64, most: u64) {
    let estimate = seen(spans_ms);
    assert_eq!(estimate.mean(), Some(Duration::from_millis(mean)));
    assert!(estimate.upper_bound() <= Some(Duration::from_millis(most)));
    assert!(estimate.upper_bound() >= estimate.mean());
}

#[test]
fn long_span_widens_what_may_come() {
    let before = seen(&[400; 12]);
    let after = seen(&[[400; 12].as_slice(), &[3000]].concat());
    assert!(after.upper_bound() > before.upper_bound().map(|most| most + Duration::from_secs(2)));
}
