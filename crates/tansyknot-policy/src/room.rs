//! Whether the cache of a target has room for a request.

/// Share of a cache that stays free, in hundredths, for requests of other daemons that are on their
/// way or not announced yet.
const MARGIN_PERCENT: u64 = 10;
/// The share that stays free, in hundredths, where another target has more room: daemons that send
/// to the same nearly full target at once would exceed the margin.
const AMPLE_MARGIN_PERCENT: u64 = 25;

/// Returns the expected number of output tokens of a request: its hint, but not more than the
/// maximum that it declares. A request without a hint may use its maximum.
pub fn expected_output(hint: Option<u64>, max_output: Option<u64>) -> Option<u64> {
    match (hint, max_output) {
        (Some(hint), Some(max)) => Some(hint.min(max)),
        (hint, max) => hint.or(max),
    }
}

/// The requests at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// The number of requests.
    pub requests: u32,
    /// The tokens that they are expected to keep in the cache.
    pub tokens: u64,
}

/// Returns whether a cache of `capacity` tokens has room for a request of `tokens` beside the
/// requests of `occupancy`.
///
/// A target without requests accepts any request: more room is nowhere, and the expected output may
/// be too high. The caller bounds the number of requests.
pub fn has_room(capacity: u64, occupancy: Occupancy, tokens: u64) -> bool {
    occupancy.requests == 0 || fits(capacity, occupancy, tokens, MARGIN_PERCENT)
}

/// Returns whether a request leaves ample room in the cache of a target, so that the target is
/// preferred.
pub fn has_ample_room(capacity: u64, occupancy: Occupancy, tokens: u64) -> bool {
    fits(capacity, occupancy, tokens, AMPLE_MARGIN_PERCENT)
}

fn fits(capacity: u64, occupancy: Occupancy, tokens: u64, margin_percent: u64) -> bool {
    let usable = capacity - capacity / 100 * margin_percent;
    occupancy.tokens.saturating_add(tokens) <= usable
}

/// Returns whether no cache of `capacity` tokens can ever hold a request: its prompt leaves no room
/// for a single output token. The output is not considered, as its length is only an estimate, and
/// the refusal of a request that a target could have completed would be false.
pub fn is_too_large(capacity: u64, prompt: u64) -> bool {
    prompt >= capacity
}
