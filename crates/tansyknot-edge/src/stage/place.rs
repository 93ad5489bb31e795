//! Placement of a request: on a target at once, in the queue until a replica has capacity, or an
//! early refusal.

use std::{net::TcpStream, sync::mpsc::Receiver, time::Duration};

use tansyknot_control::{
    pools::{AcquireOutcome, AcquireRequest, Pools, WaitOutcome},
    publish::Publisher,
};
use tansyknot_core::{
    clock::Clock,
    name::{ServiceName, TargetName, ZoneName},
    refusal::{Reason, Refusal},
};
use tansyknot_http::disconnect;
use tansyknot_policy::{
    pool::PoolOptions,
    queue::{Ticket, Waiter},
};

use super::identify::IdentifiedRequest;

/// Interval at which a waiting request checks whether its caller has left.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The dependencies and options of the stage.
pub struct Placer<'a> {
    /// The pools.
    pub pools: &'a Pools,
    /// Adds the targets of a service to its pool at the service's first request.
    pub publisher: &'a Publisher,
    /// The clock.
    pub clock: &'a dyn Clock,
    /// The availability zone of this daemon.
    pub zone: &'a ZoneName,
    /// The maximum number of requests that wait for one service.
    pub max_waiting: usize,
}

/// A request that is counted as in flight at a target until this value is dropped.
pub struct InFlightGuard<'a> {
    pools: &'a Pools,
    service: ServiceName,
    /// The target.
    pub target: TargetName,
    /// Whether the request waited in the queue.
    pub queued: bool,
    response_time: Option<Duration>,
}

impl InFlightGuard<'_> {
    /// Sets the duration of the full response, from which waiting times are estimated.
    pub fn set_response_time(&mut self, response_time: Duration) {
        self.response_time = Some(response_time);
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.pools.release(&self.service, &self.target, self.response_time);
    }
}

impl<'a> Placer<'a> {
    /// Places a request on a target, after a wait if it can still meet its deadline.
    ///
    /// # Errors
    ///
    /// Fails if the request can't be served in time or is refused, or if its caller leaves.
    pub fn place(
        &self,
        req: &IdentifiedRequest,
        avoid: &[TargetName],
        caller: &TcpStream,
    ) -> Result<InFlightGuard<'a>, Refusal> {
        let acquire_request = AcquireRequest {
            service: &req.service,
            waiter: Waiter::of_one_team(req.rank(), self.clock.now(), req.deadline),
            prefix: req.prefix,
            avoid,
        };
        let options = self.options(req);
        if !self.pools.ensure_pool(&req.service, &options) {
            // A new pool is filled from the rows and hosts that are already known.
            self.publisher.publish(&req.service);
        }
        match self.pools.acquire(&acquire_request, options) {
            AcquireOutcome::Granted(target) => Ok(self.guard(req, target, false)),
            AcquireOutcome::Refused(refusal) => Err(refusal),
            AcquireOutcome::Queued(ticket, rx) => self.wait(req, ticket, &rx, caller),
        }
    }

    fn wait(
        &self,
        req: &IdentifiedRequest,
        ticket: Ticket,
        rx: &Receiver<WaitOutcome>,
        caller: &TcpStream,
    ) -> Result<InFlightGuard<'a>, Refusal> {
        loop {
            match self.pools.wait(rx, CALLER_POLL_INTERVAL) {
                Some(WaitOutcome::Granted(target)) => return Ok(self.guard(req, target, true)),
                Some(WaitOutcome::Refused(refusal)) => return Err(refusal),
                None if disconnect::has_disconnected(caller) => {
                    self.pools.abandon(&req.service, ticket, rx);
                    return Err(Refusal::not_run(Reason::CallerLeft, "the caller left the queue"));
                }
                None if self.clock.now() >= req.deadline => {
                    self.pools.abandon(&req.service, ticket, rx);
                    let retry = self.pools.demand(&req.service).load_time;
                    let detail = "no replica was free in time";
                    return Err(Refusal::retry_later(Reason::DeadlinePassed, retry, detail));
                }
                None => {}
            }
        }
    }

    fn guard(
        &self,
        req: &IdentifiedRequest,
        target: TargetName,
        queued: bool,
    ) -> InFlightGuard<'a> {
        InFlightGuard {
            pools: self.pools,
            service: req.service.clone(),
            target,
            queued,
            response_time: None,
        }
    }

    fn options(&self, req: &IdentifiedRequest) -> PoolOptions {
        PoolOptions {
            availability_zone: self.zone.clone(),
            max_in_flight_per_upstream: req.rule.requests.in_flight_per_replica,
            max_waiting: self.max_waiting,
        }
    }
}
