//! Selects the models that are evicted for a load: the set with the lowest cost.

use tansyknot_core::name::ModelName;

/// The cost of an eviction in seconds, in addition to the loss of the model: it takes about 70 ms.
const EVICTION_OVERHEAD_S: f64 = 0.15;
/// The number of models of a target that are considered, those of the lowest cost; every subset of
/// them is evaluated.
const MAX_VICTIM_CANDIDATES: usize = 8;

/// A model that may be evicted from a target.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Victim {
    pub(super) model: ModelName,
    /// Memory that its eviction frees, in MB.
    pub(super) frees_mb: f64,
    /// The cost of losing it, in seconds of load time.
    pub(super) loss_s: f64,
    /// How long to wait until it is idle, in seconds.
    pub(super) wait_s: f64,
    /// How long its removal should wait for requests that run, in seconds.
    pub(super) drain_s: f64,
}

impl Victim {
    fn cost(&self) -> f64 {
        self.loss_s + self.wait_s + self.drain_s + EVICTION_OVERHEAD_S
    }
}

/// The models to evict, and what that costs.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Eviction {
    pub(super) victims: Vec<ModelName>,
    /// The cost of losing them and of their evictions, in seconds.
    pub(super) loss_s: f64,
    /// The part of `loss_s` that is the loss of the models.
    pub(super) models_loss_s: f64,
    /// How long to wait until all of them are idle that are removed when they are, in seconds.
    pub(super) wait_s: f64,
    /// How long their removals should wait for requests that run, in seconds.
    pub(super) drain_s: f64,
}

/// Returns the cheapest set of victims that frees `needed_mb`; `None` if no set of the considered
/// victims does.
pub(super) fn cheapest(needed_mb: f64, mut victims: Vec<Victim>) -> Option<Eviction> {
    if needed_mb <= 0.0 {
        return Some(Eviction::default());
    }
    victims.sort_by(|a, b| a.cost().total_cmp(&b.cost()));
    victims.truncate(MAX_VICTIM_CANDIDATES);
    let sets = 1..1_u32 << victims.len();
    let costs = sets.filter_map(|set| Some((cost(needed_mb, &victims, set)?, set)));
    let (_, set) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(eviction(&victims, set))
}

/// Returns the victims whose bits are in `set`.
fn chosen(victims: &[Victim], set: u32) -> impl Iterator<Item = &Victim> {
    victims.iter().enumerate().filter(move |(i, _)| set & (1 << i) != 0).map(|(_, v)| v)
}

/// Returns the cost of a set in seconds; `None` if the set does not free enough memory.
fn cost(needed_mb: f64, victims: &[Victim], set: u32) -> Option<f64> {
    let frees_mb: f64 = chosen(victims, set).map(|v| v.frees_mb).sum();
    (frees_mb >= needed_mb)
        .then(|| loss_s(victims, set) + wait_s(victims, set) + drain_s(victims, set))
}

fn loss_s(victims: &[Victim], set: u32) -> f64 {
    chosen(victims, set).map(|v| v.loss_s + EVICTION_OVERHEAD_S).sum()
}

fn wait_s(victims: &[Victim], set: u32) -> f64 {
    chosen(victims, set).map(|v| v.wait_s).fold(0.0, f64::max)
}

fn drain_s(victims: &[Victim], set: u32) -> f64 {
    chosen(victims, set).map(|v| v.drain_s).fold(0.0, f64::max)
}

fn eviction(victims: &[Victim], set: u32) -> Eviction {
    Eviction {
        victims: chosen(victims, set).map(|v| v.model.clone()).collect(),
        loss_s: loss_s(victims, set),
        models_loss_s: chosen(victims, set).map(|v| v.loss_s).sum(),
        wait_s: wait_s(victims, set),
        drain_s: drain_s(victims, set),
    }
}
