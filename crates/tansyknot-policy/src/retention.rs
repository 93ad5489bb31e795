//! How long an unused replica stays loaded, and when it is prewarmed for an expected use.

use std::time::Duration;

use crate::{gaps::Gaps, scaling::ColdWeight};

/// The cost of a cold start and the operators' bounds on retention.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionOptions {
    /// The cost of one cold start, as the idle time that the operators accept to avoid it.
    pub cold_start_worth: Duration,
    /// Minimum time for which a replica stays loaded after a use.
    pub min_keep: Duration,
    /// Maximum time for which a replica stays loaded after a use.
    pub max_keep: Duration,
    /// Expected duration of a load; a prewarm starts this long before the expected use.
    pub load_time: Duration,
}

/// Idle time worth one cold start where cold starts weigh more.
const HIGH_COLD_START_WORTH: Duration = Duration::from_secs(900);
/// Idle time worth one cold start where idle hours weigh more.
const LOW_COLD_START_WORTH: Duration = Duration::from_secs(120);

/// Returns the idle time that is worth one cold start.
pub fn cold_start_worth(weight: ColdWeight) -> Duration {
    match weight {
        ColdWeight::More => HIGH_COLD_START_WORTH,
        ColdWeight::Less => LOW_COLD_START_WORTH,
    }
}

/// The retention plan for the time after a use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionPlan {
    /// How long the replica stays loaded after the last use.
    pub keep: Duration,
    /// When the replica is loaded again, as time after the last use, and how long it then stays.
    pub prewarm: Option<(Duration, Duration)>,
}

/// Decides how long an unused replica stays loaded.
pub trait Retention: Send + Sync {
    /// Returns the plan for the time after a use.
    fn plan(&self, gaps: &Gaps, options: &RetentionOptions) -> RetentionPlan;
}

/// Keeps every replica for the same time after its last use.
#[derive(Clone, Copy, Debug)]
pub struct FixedTtl(pub Duration);

impl Retention for FixedTtl {
    fn plan(&self, _: &Gaps, _: &RetentionOptions) -> RetentionPlan {
        RetentionPlan { keep: self.0, prewarm: None }
    }
}

/// Chooses the retention time or the prewarm window with the least total cost over the recorded
/// gaps.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastCost;

/// Below this number of gaps, the break-even retention time is used, which costs at most twice
/// the optimum.
const MIN_GAPS: usize = 6;
/// Minimum share of the gaps longer than the minimum retention that a prewarm window must cover.
const MIN_WINDOW_SHARE: f64 = 0.6;

impl Retention for LeastCost {
    fn plan(&self, gaps: &Gaps, options: &RetentionOptions) -> RetentionPlan {
        let clamp = |ttl: Duration| ttl.clamp(options.min_keep, options.max_keep);
        if gaps.len() < MIN_GAPS {
            return RetentionPlan { keep: clamp(options.cold_start_worth), prewarm: None };
        }
        let sorted = gaps.sorted();
        let worth = options.cold_start_worth.as_secs_f64();
        let (keep, keep_cost) = best_keep(&sorted, worth, options);
        match best_window(&sorted, worth, options) {
            Some((plan, cost)) if cost < keep_cost => plan,
            _ => RetentionPlan { keep: clamp(Duration::from_secs_f64(keep)), prewarm: None },
        }
    }
}

/// Returns the retention time with the least cost, and that cost, in seconds.
///
/// Between the lengths of two neighbouring gaps the cost rises with the retention time, as each
/// longer gap adds that time. Only the minimum retention and the times that just cover a gap are
/// therefore candidates.
fn best_keep(sorted: &[u32], worth: f64, options: &RetentionOptions) -> (f64, f64) {
    let shortest = options.min_keep.as_secs_f64();
    let longest = options.max_keep.as_secs_f64();
    let candidates = sorted.iter().map(|&gap| f64::from(gap) + 1.0).filter(|&s| s <= longest);
    let candidates = std::iter::once(shortest).chain(candidates.filter(|&s| s > shortest));
    let costed = candidates.map(|ttl| (ttl, keep_cost(sorted, ttl, worth)));
    costed.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((shortest, f64::MAX))
}

fn keep_cost(sorted: &[u32], ttl: f64, worth: f64) -> f64 {
    let cost = |&gap: &u32| {
        let gap = f64::from(gap);
        if gap <= ttl { gap } else { ttl + worth }
    };
    sorted.iter().map(cost).sum()
}

/// Returns the cheapest plan that removes the replica after the minimum retention and prewarms it
/// before the usual end of a gap, with its cost in seconds.
fn best_window(
    sorted: &[u32],
    worth: f64,
    options: &RetentionOptions,
) -> Option<(RetentionPlan, f64)> {
    let shortest = options.min_keep.as_secs_f64();
    let lead = options.load_time.as_secs_f64();
    let longer: Vec<f64> = sorted.iter().map(|&g| f64::from(g)).filter(|&g| g > shortest).collect();
    let window_len = ((longer.len() as f64) * MIN_WINDOW_SHARE).ceil() as usize;
    if longer.len() < MIN_GAPS || window_len == 0 {
        return None;
    }
    let windows = longer.windows(window_len).map(|w| (w[0], w[window_len - 1]));
    let (first, last) = windows.min_by(|a, b| (a.1 - a.0).total_cmp(&(b.1 - b.0)))?;
    // The margin on both sides covers gaps slightly outside of the recorded range.
    let margin = ((last - first) / 4.0).max(2.0);
    let from = first - margin - lead;
    // Gaps are whole seconds, rounded down.
    let until = last + 1.0 + margin;
    if from <= shortest + lead {
        return None;
    }
    let cost = |&gap: &f64| match gap {
        g if g <= from + lead => shortest + worth,
        g if g <= until => shortest + (g - from),
        _ => shortest + (until - from) + worth,
    };
    let short: f64 = sorted.iter().map(|&g| f64::from(g)).filter(|&g| g <= shortest).sum();
    let total = short + longer.iter().map(cost).sum::<f64>();
    let plan = RetentionPlan {
        keep: options.min_keep,
        prewarm: Some((Duration::from_secs_f64(from), Duration::from_secs_f64(until - from))),
    };
    Some((plan, total))
}
