//! Ways to keep a limit of one target over many daemons, in virtual time: equal parts, parts by demand
//! that are lent with each beat, and permits of one daemon. Prints the fullest window of four seconds
//! as a share of the limit and two more, and how much of the limit is used.

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
const SPAN: Duration = Duration::from_secs(120);
const WINDOW: Duration = Duration::from_secs(4);
/// Requests a second, over all daemons.
const ASKED_PER_S: f64 = 40.0;
/// How long a request can wait.
const PATIENCE: Duration = Duration::from_secs(2);
const RUN: RunKey = RunKey(1);

/// A request that waits at a daemon.
#[derive(Clone, Copy)]
struct Request {
    daemon: usize,
    number: u32,
    until: Time,
}

/// Decides which of the requests that wait may go now.
trait Way {
    fn admit(&mut self, waiting: &[Request], now: Time, rng: &mut StdRng) -> Vec<u32>;
}

/// Each daemon has a part of the limit of its own.
struct Parts {
    shares: Vec<Share>,
}

impl Parts {
    fn equal(rate: f64, daemons: usize, now: Time) -> Self {
        let share = || Share::new(rate / daemons as f64, 1, now, now);
        Self { shares: (0..daemons).map(|_| share()).collect() }
    }
}

impl Way for Parts {
    fn admit(&mut self, waiting: &[Request], now: Time, rng: &mut StdRng) -> Vec<u32> {
        let shares = &mut self.shares;
        let may = |r: &&Request| shares[r.daemon].take(1.0, rng.random(), now);
        waiting.iter().filter(may).map(|r| r.number).collect()
    }
}

/// The same, with parts that follow demand, as one daemon hears of it.
struct Lent {
    parts: Parts,
    rate: f64,
    beat_at: Time,
}

impl Way for Lent {
    fn admit(&mut self, waiting: &[Request], now: Time, rng: &mut StdRng) -> Vec<u32> {
        if now >= self.beat_at {
            self.beat_at = now + HEARTBEAT_INTERVAL;
            let all = waiting.len().max(1) as f64;
            for (n, share) in self.parts.shares.iter_mut().enumerate() {
                let own = waiting.iter().filter(|r| r.daemon == n).count() as f64;
                share.renew(self.rate * own / all, 1, now, now);
            }
        }
        self.parts.admit(waiting, now, rng)
    }
}

/// One daemon decides request by request.
struct Permits {
    scheduler: Scheduler,
    rate: Rate,
}

impl Way for Permits {
    fn admit(&mut self, waiting: &[Request], now: Time, _: &mut StdRng) -> Vec<u32> {
        for r in waiting {
            let from: SocketAddr = ([10, 0, 0, 1], 7000).into();
            let stamp = Stamp { run: 0, us: now.as_micros() };
            let ask = QueuedRequest { from, number: r.number, stamp, priority: 0, until: r.until };
            self.scheduler.ask(RUN, self.rate, ask, now);
        }
        let rate = self.rate;
        self.scheduler.grant(&|_| Some(rate), now).into_iter().map(|ask| ask.number).collect()
    }
}

/// Lets requests come; returns the fullest window and how many were sent.
fn play(way: &mut dyn Way, daemons: usize, rng: &mut StdRng) -> (usize, usize) {
    let begin = Time::from_millis(100_000);
    let (mut now, mut number) = (begin, 0);
    let mut waiting: Vec<Request> = Vec::new();
    let mut sent: Vec<Time> = Vec::new();
    while now < begin + SPAN {
        now = now + STEP;
        if rng.random_bool(ASKED_PER_S * STEP.as_secs_f64()) {
            number += 1;
            let daemon = rng.random_range(0..daemons);
            waiting.push(Request { daemon, number, until: now + PATIENCE });
        }
        waiting.retain(|r| now < r.until);
        let gone = way.admit(&waiting, now, rng);
        sent.extend(gone.iter().map(|_| now));
        waiting.retain(|r| !gone.contains(&r.number));
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
            let mut equal = Parts::equal(limit, daemons, now);
            let mut lent =
                Lent { parts: Parts::equal(0.0, daemons, now), rate: limit, beat_at: now };
            let mut permits = Permits { scheduler: Scheduler::default(), rate };
            let ways: [(&str, &mut dyn Way); 3] =
                [("equal parts", &mut equal), ("lent parts", &mut lent), ("permits", &mut permits)];
            for (name, way) in ways {
                let (fullest, sent) = play(way, daemons, &mut StdRng::seed_from_u64(1));
                let most = limit * WINDOW.as_secs_f64() + 2.0;
                let used = sent as f64 / (limit * SPAN.as_secs_f64());
                println!(
                    "{daemons:7} {limit:5} {name:11} {:8.2} {used:4.2}",
                    fullest as f64 / most
                );
            }
        }
    }
}
