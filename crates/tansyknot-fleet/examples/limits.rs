//! Compares methods to enforce the limit of one target over many daemons, in virtual time: equal
//! shares, shares by demand that are lent with each heartbeat, and permits of one daemon. Prints the
//! requests in the fullest window of four seconds, as a fraction of what the limit allows in it plus
//! two requests, and the fraction of the limit that is used.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_core::clock::Time;
use tansyknot_fleet::{
    access::{message::Stamp, share::Share},
    backpressure::{
        Rate,
        scheduler::{QueuedRequest, Scheduler},
    },
    dissemination::heartbeat::HEARTBEAT_INTERVAL,
    poison::key::RunKey,
};

const STEP: Duration = Duration::from_millis(5);
const RUN_DURATION: Duration = Duration::from_secs(120);
const WINDOW: Duration = Duration::from_secs(4);
/// Requests a second, over all daemons.
const REQUESTS_PER_S: f64 = 40.0;
/// Maximum wait of a request.
const MAX_WAIT: Duration = Duration::from_secs(2);
const RUN: RunKey = RunKey(1);

/// A request that waits at a daemon.
#[derive(Clone, Copy)]
struct Request {
    daemon: usize,
    number: u32,
    until: Time,
}

/// Decides which waiting requests may be sent now.
trait Method {
    fn admit(&mut self, waiting: &[Request], now: Time, rng: &mut StdRng) -> Vec<u32>;
}

/// Each daemon has its own share of the limit.
struct Shares {
    shares: Vec<Share>,
}

impl Shares {
    fn equal(rate: f64, daemons: usize, now: Time) -> Self {
        let share = || Share::new(rate / daemons as f64, 1, now, now);
        Self { shares: (0..daemons).map(|_| share()).collect() }
    }
}

impl Method for Shares {
    fn admit(&mut self, waiting: &[Request], now: Time, rng: &mut StdRng) -> Vec<u32> {
        let shares = &mut self.shares;
        let may = |r: &&Request| shares[r.daemon].take(1.0, rng.random(), now);
        waiting.iter().filter(may).map(|r| r.number).collect()
    }
}

/// One daemon sets the shares of all by demand, with each heartbeat.
struct LentShares {
    base: Shares,
    rate: f64,
    heartbeat_at: Time,
}

impl Method for LentShares {
    fn admit(&mut self, waiting: &[Request], now: Time, rng: &mut StdRng) -> Vec<u32> {
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + HEARTBEAT_INTERVAL;
            let all = waiting.len().max(1) as f64;
            for (n, share) in self.base.shares.iter_mut().enumerate() {
                let own = waiting.iter().filter(|r| r.daemon == n).count() as f64;
                share.renew(self.rate * own / all, 1, now, now);
            }
        }
        self.base.admit(waiting, now, rng)
    }
}

/// One daemon decides for each request.
struct Permits {
    scheduler: Scheduler,
    rate: Rate,
}

impl Method for Permits {
    fn admit(&mut self, waiting: &[Request], now: Time, _: &mut StdRng) -> Vec<u32> {
        for r in waiting {
            let from: SocketAddr = ([10, 0, 0, 1], 7000).into();
            let stamp = Stamp { run: 0, us: now.as_micros() };
            let request =
                QueuedRequest { from, number: r.number, stamp, priority: 0, until: r.until };
            self.scheduler.enqueue(RUN, self.rate, request, now);
        }
        let rate = self.rate;
        self.scheduler
            .grant(&|_| Some(rate), now)
            .into_iter()
            .map(|request| request.number)
            .collect()
    }
}

/// Simulates requests; returns how many are sent in the fullest window, and in total.
fn simulate(method: &mut dyn Method, daemons: usize, rng: &mut StdRng) -> (usize, usize) {
    let begin = Time::from_millis(100_000);
    let (mut now, mut number) = (begin, 0);
    let mut waiting: Vec<Request> = Vec::new();
    let mut sent: Vec<Time> = Vec::new();
    while now < begin + RUN_DURATION {
        now = now + STEP;
        if rng.random_bool(REQUESTS_PER_S * STEP.as_secs_f64()) {
            number += 1;
            let daemon = rng.random_range(0..daemons);
            waiting.push(Request { daemon, number, until: now + MAX_WAIT });
        }
        waiting.retain(|r| now < r.until);
        let admitted = method.admit(&waiting, now, rng);
        sent.extend(admitted.iter().map(|_| now));
        waiting.retain(|r| !admitted.contains(&r.number));
    }
    let within = |n: usize| sent[n..].iter().filter(|at| at.since(sent[n]) < WINDOW).count();
    ((0..sent.len()).map(within).max().unwrap_or(0), sent.len())
}

fn main() {
    println!("daemons limit way         fullest used");
    for daemons in [7, 77, 295] {
        for limit in [0.2, 1.0, 5.0, 20.0] {
            let now = Time::from_millis(100_000);
            let Some(rate) = Rate::new(limit) else { continue };
            let mut equal = Shares::equal(limit, daemons, now);
            let mut lent = LentShares {
                base: Shares::equal(0.0, daemons, now),
                rate: limit,
                heartbeat_at: now,
            };
            let mut permits = Permits { scheduler: Scheduler::default(), rate };
            let methods: [(&str, &mut dyn Method); 3] =
                [("equal parts", &mut equal), ("lent parts", &mut lent), ("permits", &mut permits)];
            for (name, method) in methods {
                let (fullest, sent) = simulate(method, daemons, &mut StdRng::seed_from_u64(1));
                let max_requests = limit * WINDOW.as_secs_f64() + 2.0;
                let used = sent as f64 / (limit * RUN_DURATION.as_secs_f64());
                println!(
                    "{daemons:7} {limit:5} {name:11} {:8.2} {used:4.2}",
                    fullest as f64 / max_requests
                );
            }
        }
    }
}
