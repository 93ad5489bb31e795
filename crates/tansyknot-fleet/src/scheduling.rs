//! Options that select how requests and loads are scheduled.
//!
//! Each option has a value that keeps the simpler decision, which is the default.

/// How many loads from the weight store run at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightStorePacing {
    /// A fixed number.
    #[default]
    Fixed,
    /// As many as the observed durations of loads show to run at full speed.
    Observed,
}

/// How a target is selected among those that hold a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetChoice {
    /// The target with the fewest requests per slot.
    #[default]
    LeastRequests,
    /// The target with the shortest expected time, from the observations of all daemons.
    ExpectedTime,
}

/// How requests that wait for a slot are admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// Whichever request asks first.
    #[default]
    Unordered,
    /// From an ordered queue, with refusal of those that can't be served in time.
    Ordered,
}

/// How the room at a target is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoomAccounting {
    /// In requests.
    #[default]
    Requests,
    /// In requests and in tokens of the target's cache.
    Tokens,
}

/// How the number of copies of a model is decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CopyPolicy {
    /// From steps of the arrival rate, and from the requests in flight.
    #[default]
    RateSteps,
    /// From arrivals, observed service times and slots.
    ServiceTime,
}

/// Options that select how requests and loads are scheduled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulingOptions {
    /// How many loads from the weight store run at once.
    pub weight_store: WeightStorePacing,
    /// How a target is selected.
    pub target_choice: TargetChoice,
    /// How waiting requests are admitted.
    pub admission: Admission,
    /// How the room at a target is counted.
    pub room: RoomAccounting,
    /// How the number of copies is decided.
    pub copies: CopyPolicy,
}
