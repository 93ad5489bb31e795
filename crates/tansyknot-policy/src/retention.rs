//! How long an unused replica stays loaded, and when it is loaded ahead of a use.

use std::time::Duration;

use crate::{gaps::Gaps, scaling::ColdWeight};

/// What a cold start costs, measured in idle time that is worth as much.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionOptions {
    /// Idle time that the operators would spend to avoid one cold start.
    pub cold_start_worth: Duration,
    /// A replica stays at least this long after a use.
    pub at_least: Duration,
    /// A replica stays at most this long after a use.
    pub at_most: Duration,
    /// How long a load takes; an expected use is prepared this much ahead.
    pub load_time: Duration,
}

/// Idle time worth one cold start where cold starts weigh more.
const COLD_WORTH: Duration = Duration::from_secs(900);
/// Idle time worth one cold start where idle hours weigh more.
const IDLE_WORTH: Duration = Duration::from_secs(120);

/// Returns the idle time that is worth one cold start.
pub fn cold_start_worth(weight: ColdWeight) -> Duration {
    match weight {
        ColdWeight::More => COLD_WORTH,
        ColdWeight::Less => IDLE_WORTH,
    }
}

/// What to do after a use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The replica stays this long after the last use.
    pub keep: Duration,
    /// It is loaded again this long after the last use and kept for the second span.
    pub prewarm: Option<(Duration, Duration)>,
}

/// Plans how long an unused replica stays.
pub trait Retention: Send + Sync {
    /// Returns the plan for the time after a use.
    fn plan(&self, gaps: &Gaps, options: &RetentionOptions) -> Plan;
}

/// Keeps every replica for the same span.
#[derive(Clone, Copy, Debug)]
pub struct FixedSpan(pub Duration);

impl Retention for FixedSpan {
    fn plan(&self, _: &Gaps, _: &RetentionOptions) -> Plan {
        Plan { keep: self.0, prewarm: None }
    }
}

/// Chooses the span, or the window ahead of a use, that would have cost least over the
/// remembered gaps.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastCost;

/// With fewer gaps than this, the break-even span is used: at most twice the best cost.
const ENOUGH_GAPS: usize = 6;
/// A prewarm window must hold at least this share of the gaps beyond the kept span.
const WINDOW_SHARE: f64 = 0.6;

impl Retention for LeastCost {
    fn plan(&self, gaps: &Gaps, options: &RetentionOptions) -> Plan {
        let clamp = |span: Duration| span.clamp(options.at_least, options.at_most);
        if gaps.len() < ENOUGH_GAPS {
            return Plan { keep: clamp(options.cold_start_worth), prewarm: None };
        }
        let sorted = gaps.sorted();
        let worth = options.cold_start_worth.as_secs_f64();
        let (keep, keep_cost) = best_keep(&sorted, worth, options);
        match best_window(&sorted, worth, options) {
            Some((plan, cost)) if cost < keep_cost => plan,
            _ => Plan { keep: clamp(Duration::from_secs_f64(keep)), prewarm: None },
        }
    }
}

/// Returns the span with the least cost and that cost, in seconds.
///
/// The cost over the gaps is convex between two neighbouring gaps' ends, so only the spans that
/// just cover a gap need to be tried, and the shortest span.
fn best_keep(sorted: &[u32], worth: f64, options: &RetentionOptions) -> (f64, f64) {
    let shortest = options.at_least.as_secs_f64();
    let longest = options.at_most.as_secs_f64();
    let spans = sorted.iter().map(|&gap| f64::from(gap) + 1.0).filter(|&s| s <= longest);
    let spans = std::iter::once(shortest).chain(spans.filter(|&s| s > shortest));
    let costed = spans.map(|span| (span, keep_cost(sorted, span, worth)));
    costed.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((shortest, f64::MAX))
}

fn keep_cost(sorted: &[u32], span: f64, worth: f64) -> f64 {
    let cost = |&gap: &u32| {
        let gap = f64::from(gap);
        if gap <= span { gap } else { span + worth }
    };
    sorted.iter().map(cost).sum()
}

/// Returns the plan that removes the replica at once and loads it ahead of the usual gap.
fn best_window(sorted: &[u32], worth: f64, options: &RetentionOptions) -> Option<(Plan, f64)> {
    let shortest = options.at_least.as_secs_f64();
    let lead = options.load_time.as_secs_f64();
    let longer: Vec<f64> = sorted.iter().map(|&g| f64::from(g)).filter(|&g| g > shortest).collect();
    let need = ((longer.len() as f64) * WINDOW_SHARE).ceil() as usize;
    if longer.len() < ENOUGH_GAPS || need == 0 {
        return None;
    }
    let windows = longer.windows(need).map(|w| (w[0], w[need - 1]));
    let (first, last) = windows.min_by(|a, b| (a.1 - a.0).total_cmp(&(b.1 - b.0)))?;
    // A margin on both sides takes up the spread that the remembered gaps have not shown yet.
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
    let plan = Plan {
        keep: options.at_least,
        prewarm: Some((Duration::from_secs_f64(from), Duration::from_secs_f64(until - from))),
    };
    Some((plan, total))
}
