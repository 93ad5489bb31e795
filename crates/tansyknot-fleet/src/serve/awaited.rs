//! A sent request whose target has not begun to respond.

use crate::{
    fleet::{ResponseLimits, ResponseWait, WaitEnd},
    poison::key::RunKey,
    reachability::Path,
    state::State,
    target::Target,
};

/// The wait of a request for the beginning of its response.
pub(super) struct AwaitedResponse<'s> {
    state: &'s State,
    target: &'s Target,
    /// `None` if the wait shows nothing about the target.
    wait: Option<ResponseWait>,
}

impl<'s> AwaitedResponse<'s> {
    /// Begins the wait of a request that was just sent to a target.
    pub(super) fn begin(state: &'s State, target: &'s Target, limits: ResponseLimits) -> Self {
        // Through another daemon, a response may also be lost on the way.
        let is_direct = state.reachability().path(target) == Path::Direct;
        let begin = || {
            let now = state.now();
            state.fleet().begin_response_wait(&target.name, RunKey::of(target), limits, now)
        };
        let wait = if is_direct { begin() } else { None };
        Self { state, target, wait }
    }

    /// Ends the wait.
    pub(super) fn end(self, end: WaitEnd) {
        let Some(wait) = self.wait else { return };
        let now = self.state.now();
        let is_responsive_again =
            self.state.fleet().end_response_wait(&self.target.name, wait, end, now);
        if is_responsive_again {
            self.state.targets_changed.notify();
        }
    }
}
