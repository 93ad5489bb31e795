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
    let costs = sets.filter_map(|set| Some((cost(lacks_mb, &victims, set)?, set)));
    let (_, set) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(way(&victims, set))
}

/// Returns the victims whose bits are in `set`.
fn chosen(victims: &[Victim], set: u32) -> impl Iterator<Item = &Victim> {
    victims.iter().enumerate().filter(move |(i, _)| set & (1 << i) != 0).map(|(_, v)| v)
}

/// Returns what a set costs in seconds; `None` if it does not free enough.
fn cost(lacks_mb: f64, victims: &[Victim], set: u32) -> Option<f64> {
    let frees_mb: f64 = chosen(victims, set).map(|v| v.frees_mb).sum();
    (frees_mb >= lacks_mb).then(|| loss_s(victims, set) + wait_s(victims, set))
}

fn loss_s(victims: &[Victim], set: u32) -> f64 {
    chosen(victims, set).map(|v| v.loss_s + EVICT_S).sum()
}

fn wait_s(victims: &[Victim], set: u32) -> f64 {
    chosen(victims, set).map(|v| v.wait_s).fold(0.0, f64::max)
}

fn way(victims: &[Victim], set: u32) -> Way {
    Way {
        victims: chosen(victims, set).map(|v| v.model.clone()).collect(),
        loss_s: loss_s(victims, set),
        wait_s: wait_s(victims, set),
    }
}
