//! What makes way for a load: the set of models whose removal costs least.

use tansyknot_core::name::ModelName;

/// What a removal costs in seconds, beside what is lost with the model: it takes some 70 ms.
const EVICT_S: f64 = 0.15;
/// Models of a target that are weighed, those of the least cost; every set of them is looked at.
const WEIGHED_MOST: usize = 8;

/// A model that may be removed from a target.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Victim {
    pub(super) model: ModelName,
    /// Memory that its removal frees, in MB.
    pub(super) frees_mb: f64,
    /// What is lost with it, in seconds of load time.
    pub(super) loss_s: f64,
    /// How long its requests should still run, in seconds.
    pub(super) wait_s: f64,
}

impl Victim {
    fn cost(&self) -> f64 {
        self.loss_s + self.wait_s + EVICT_S
    }
}

/// What makes way.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Way {
    pub(super) victims: Vec<ModelName>,
    /// What is lost with them and their removals take, in seconds.
    pub(super) loss_s: f64,
    /// How long the last of them is in use, in seconds.
    pub(super) wait_s: f64,
}

/// Returns the cheapest set of victims that frees `lacks_mb`; `None` if all together do not.
pub(super) fn cheapest(lacks_mb: f64, mut victims: Vec<Victim>) -> Option<Way> {
    if lacks_mb <= 0.0 {
        return Some(Way::default());
    }
    victims.sort_by(|a, b| a.cost().total_cmp(&b.cost()));
    victims.truncate(WEIGHED_MOST);
    let sets = 1..1_u32 << victims.len();
    let ways = sets.filter_map(|set| way(lacks_mb, &victims, set));
    ways.min_by(|a, b| (a.loss_s + a.wait_s).total_cmp(&(b.loss_s + b.wait_s)))
}

/// Returns what the victims whose bits are in `set` cost; `None` if they don't free enough.
fn way(lacks_mb: f64, victims: &[Victim], set: u32) -> Option<Way> {
    let chosen = || victims.iter().enumerate().filter(|(i, _)| set & (1 << i) != 0).map(|(_, v)| v);
    let frees_mb: f64 = chosen().map(|v| v.frees_mb).sum();
    (frees_mb >= lacks_mb).then(|| Way {
        victims: chosen().map(|v| v.model.clone()).collect(),
        loss_s: chosen().map(|v| v.loss_s + EVICT_S).sum(),
        wait_s: chosen().map(|v| v.wait_s).fold(0.0, f64::max),
    })
}
