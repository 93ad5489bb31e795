//! Permits for requests to targets that advertise a limit.

use tansyknot_core::clock::{BootInstant, Time};

use super::{Server, request::ActiveRequest};
use crate::{
    backpressure::{PermitRequest, pending::Progress},
    poison::key::RunKey,
    target::Target,
};

/// A request's pending request for a permit at a run of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OpenPermitRequest {
    number: u32,
    run: RunKey,
}

/// State of a request's permit at a target with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PermitState {
    /// The request may be sent.
    Allowed,
    /// The permit is pending; it is expected at this time, if an expectation is available.
    Pending(Option<Time>),
}

impl Server {
    /// Requests a permit for a target if the request for it is due, and returns its state.
    pub(super) fn request_permit(
        &self,
        request: &mut ActiveRequest<'_>,
        target: &Target,
        now: Time,
    ) -> PermitState {
        let run_key = RunKey::of(target);
        if request.permit_request.is_some_and(|open| open.run != run_key) {
            self.cancel_permit_request(request);
        }
        let begin =
            || OpenPermitRequest { number: self.state.permits().begin(run_key), run: run_key };
        let OpenPermitRequest { number, .. } = *request.permit_request.get_or_insert_with(begin);
        let progress = self.state.permits().progress(number, now);
        if progress == Progress::SendDue {
            let time_left = request.target_deadline().duration_since(BootInstant::now());
            let priority = request.identity.priority(&request.route);
            self.permits.request(PermitRequest { number, run: run_key, priority, time_left });
        }
        let progress = self.state.permits().progress(number, now);
        match progress {
            Progress::Granted(permit) => {
                request.permit = Some(permit);
                PermitState::Allowed
            }
            Progress::Waiting { expected } => PermitState::Pending(expected),
            Progress::SendDue => PermitState::Pending(None),
        }
    }

    /// Cancels the pending permit request of a request, if there is one.
    pub(super) fn cancel_permit_request(&self, request: &mut ActiveRequest<'_>) {
        let Some(OpenPermitRequest { number, run: run_key }) = request.permit_request.take() else {
            return;
        };
        let is_unanswered = self.state.permits().end(number);
        if is_unanswered {
            self.permits.cancel(number, run_key);
        }
    }

    /// Returns whether the target and its zone still allow the request once the connection is open: the
    /// list or its signals may have changed since it was selected.
    pub(super) fn is_send_allowed(&self, request: &ActiveRequest<'_>, target: &Target) -> bool {
        let now = self.state.now();
        let fleet = self.state.fleet();
        !fleet.zone_drains().contains(&target.zone) && fleet.may_send(target, request.permit, now)
    }
}
