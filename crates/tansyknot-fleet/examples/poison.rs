//! Times what the detection of poison requests costs per request, for docs/DECISIONS.md.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use tansyknot_core::clock::Time;
use tansyknot_fleet::poison::{
    Poison, Presence,
    key::{RunKey, SuspectKey},
};
use tansyknot_http::{head, server::Request};

const ROUNDS: u32 = 20_000;
const HEAD: &str = "POST /query/41/d0d1 HTTP/1.1\r\nHost: desk.example\r\n\r\n";

fn main() {
    println!("what ns");
    for bytes in [0, 1 << 10, 64 << 10] {
        let req = request(bytes);
        let hash = |_| {
            black_box(SuspectKey::of(&req));
        };
        println!("key_of_{bytes}_bytes {}", nanos(hash));
    }
    let now = Time::default() + Duration::from_secs(60);
    for suspected in [0, 100, 4096] {
        let mut poison = suspecting(suspected, now);
        let look_up = |n| {
            black_box(poison.is_convicted(SuspectKey(n)));
        };
        println!("look_up_among_{suspected} {}", nanos(look_up));
        let mut poison = suspecting(suspected, now);
        let record_answer = |n| poison.record_answer(SuspectKey(n), RunKey(1), now, now);
        println!("answer_among_{suspected} {}", nanos(record_answer));
    }
}

fn request(bytes: usize) -> Request {
    let (head, _) = head::parse(HEAD.as_bytes()).expect("a valid head").expect("a complete head");
    Request { head, body: vec![7; bytes].into() }
}

/// Returns the state of a daemon that suspects `requests` requests, 64 for each crash.
fn suspecting(requests: u64, now: Time) -> Poison {
    let mut poison = Poison::default();
    for n in 0..requests {
        let run = RunKey(n / 64);
        poison.record_early_close(SuspectKey(u128::MAX - u128::from(n)), run, now, now);
        poison.record_check(run, Presence::Ended, now);
    }
    poison
}

/// Returns the mean time of a round in nanoseconds.
fn nanos(mut round: impl FnMut(u128)) -> u128 {
    let began = Instant::now();
    (0..u128::from(ROUNDS)).for_each(&mut round);
    began.elapsed().as_nanos() / u128::from(ROUNDS)
}
