//! Waiting for a target: granted at once, queued until a replica has room, or refused early.

use std::{net::TcpStream, sync::mpsc::Receiver, time::Duration};

use tansyknot_control::{
    pools::{Acquired, Ask, Pools, Signal},
    publish::Publisher,
};
use tansyknot_core::{
    clock::Clock,
    name::{ServiceName, TargetName, ZoneName},
    refusal::{Reason, Refusal},
};
use tansyknot_http::presence;
use tansyknot_policy::{
    pool::PoolOptions,
    queue::{Ticket, Waiter},
};

use super::identify::Identified;

/// How often a waiting request looks whether its caller has left.
const LOOK: Duration = Duration::from_millis(100);

/// What the stage works with.
pub struct Placer<'a> {
    /// The pools.
    pub pools: &'a Pools,
    /// Opens the targets of a service that is asked for the first time.
    pub publisher: &'a Publisher,
    /// The clock.
    pub clock: &'a dyn Clock,
    /// The availability zone of this daemon.
    pub zone: &'a ZoneName,
    /// Requests that may wait for one service.
    pub waiting_max: usize,
}

/// A place at a target, counted there until dropped.
pub struct Place<'a> {
    pools: &'a Pools,
    service: ServiceName,
    /// The target.
    pub target: TargetName,
    /// Whether the request had to wait.
    pub queued: bool,
    took: Option<Duration>,
}

impl Place<'_> {
    /// Says how long the whole answer took, for the estimate of waits.
    pub fn answered(&mut self, took: Duration) {
        self.took = Some(took);
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.pools.release(&self.service, &self.target, self.took);
    }
}

impl<'a> Placer<'a> {
    /// Finds a place for a request, waiting if that can be in time.
    ///
    /// # Errors
    ///
    /// Fails if the request can't be served in time, is given up, or its caller leaves.
    pub fn place(
        &self,
        req: &Identified,
        avoid: &[TargetName],
        caller: &TcpStream,
    ) -> Result<Place<'a>, Refusal> {
        let ask = Ask {
            service: &req.service,
            waiter: Waiter { rank: req.rank(), deadline: req.deadline },
            prefix: req.prefix,
            avoid,
        };
        let options = self.options(req);
        if !self.pools.prepare(&req.service, &options) {
            // Rows and hosts that are known already fill a pool that has just been made.
            self.publisher.publish(&req.service);
        }
        match self.pools.acquire(&ask, options) {
            Acquired::Granted(target) => Ok(self.granted(req, target, false)),
            Acquired::Refused(refusal) => Err(refusal),
            Acquired::Queued(ticket, rx) => self.wait(req, ticket, &rx, caller),
        }
    }

    fn wait(
        &self,
        req: &Identified,
        ticket: Ticket,
        rx: &Receiver<Signal>,
        caller: &TcpStream,
    ) -> Result<Place<'a>, Refusal> {
        loop {
            match self.pools.wait(rx, LOOK) {
                Some(Signal::Granted(target)) => return Ok(self.granted(req, target, true)),
                Some(Signal::Refused(refusal)) => return Err(refusal),
                None if presence::has_left(caller) => {
                    self.pools.abandon(&req.service, ticket, rx);
                    return Err(Refusal::not_run(Reason::CallerLeft, "the caller left the queue"));
                }
                None if self.clock.now() >= req.deadline => {
                    self.pools.abandon(&req.service, ticket, rx);
                    let retry = self.pools.demand(&req.service).load_time;
                    let detail = "no replica was free in time";
                    return Err(Refusal::later(Reason::DeadlinePassed, retry, detail));
                }
                None => {}
            }
        }
    }

    fn granted(&self, req: &Identified, target: TargetName, queued: bool) -> Place<'a> {
        Place { pools: self.pools, service: req.service.clone(), target, queued, took: None }
    }

    fn options(&self, req: &Identified) -> PoolOptions {
        PoolOptions {
            availability_zone: self.zone.clone(),
            per_upstream: req.rule.requests.in_flight_per_replica,
            waiting_max: self.waiting_max,
        }
    }
}
