//! The whole answer to the own request, and true words about whether it was run.

mod support;

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpStream,
};

use support::{Outside, all_tokens, completion, exchange, request, status, tokens};
use tansyknot_core::refusal::Reason;
use tansyknot_standins::{engine::EngineFaults, plain::PlainFaults};
use yare::parameterized;

fn set(outside: &Outside, at: usize, faults: EngineFaults) {
    *outside.engines[at].faults.lock().expect("no panic") = faults;
}

fn set_all(outside: &Outside, faults: &EngineFaults) {
    for at in 0..outside.engines.len() {
        set(outside, at, faults.clone());
    }
}

fn has_clean_end(answer: &str) -> bool {
    answer.ends_with("0\r\n\r\n")
}

#[test]
fn stream_is_whole_and_ends_cleanly() {
    let outside = Outside::new();
    let front = outside.front();
    let answer = exchange(front.address, &completion("permit", true, 20));
    assert_eq!(tokens(&answer), all_tokens(20));
    assert!(answer.contains("data: [DONE]"));
    assert!(has_clean_end(&answer));
}

#[test]
fn each_token_is_passed_on_before_the_next_one_is_made() {
    let outside = Outside::new();
    let front = outside.front();
    let mut stream = TcpStream::connect(front.address).expect("it listens");
    // A stream far longer than the test: its first token can only be seen if it is not held.
    stream.write_all(&completion("permit", true, 1_000_000)).expect("it listens");
    let mut lines = BufReader::new(stream).lines();
    let first = lines.by_ref().map_while(Result::ok).find(|l| l.starts_with("data: "));
    assert!(first.expect("the first token comes").contains("t0"));
}

#[parameterized(
    cut_at_once = { 1 },
    cut_in_the_middle = { 7 },
    cut_before_the_last = { 20 },
)]
fn broken_stream_is_resumed_without_a_repeated_or_missing_token(cut_after_events: u64) {
    let outside = Outside::new();
    set_all(&outside, &EngineFaults { cut_after_events, ..EngineFaults::default() });
    let front = outside.front();
    let answer = exchange(front.address, &completion("permit", true, 20));
    assert_eq!(tokens(&answer), all_tokens(20), "{answer}");
    // Nothing of the event that was cut in half is left over.
    assert_eq!(answer.matches("data: ").count(), 21, "{answer}");
    assert!(has_clean_end(&answer));
    assert_eq!(outside.started(), 1);
}

#[test]
fn stream_that_cannot_be_resumed_ends_in_an_error_event_and_not_cleanly() {
    let outside = Outside::new();
    let faults =
        EngineFaults { cut_after_events: 5, forget_streams: true, ..EngineFaults::default() };
    set_all(&outside, &faults);
    let front = outside.front();
    let answer = exchange(front.address, &completion("permit", true, 20));
    assert_eq!(tokens(&answer), all_tokens(5));
    assert!(answer.contains("event: error"), "{answer}");
    assert!(answer.contains("\"outcome\":\"unknown\""));
    assert!(!answer.contains("[DONE]"));
    assert!(!has_clean_end(&answer));
}

#[test]
fn truncated_whole_answer_is_asked_for_again_and_never_passed_on() {
    let outside = Outside::new();
    set(&outside, 0, EngineFaults { truncate: true, ..EngineFaults::default() });
    let front = outside.front();
    for _ in 0..6 {
        let answer = exchange(front.address, &completion("permit", false, 3));
        assert_eq!(status(&answer), 200);
        assert!(answer.contains("t0 t1 t2"), "{answer}");
        assert!(!answer.contains("half"));
    }
}

#[test]
fn truncated_everywhere_is_unknown() {
    let outside = Outside::new();
    set_all(&outside, &EngineFaults { truncate: true, ..EngineFaults::default() });
    let front = outside.front();
    let answer = exchange(front.address, &completion("permit", false, 3));
    assert_eq!(status(&answer), Reason::TargetFailed.status(), "{answer}");
    assert!(answer.contains("\"outcome\":\"unknown\""));
    assert!(outside.started() >= 1);
}

#[test]
fn refusal_before_the_start_goes_to_the_other_target() {
    let outside = Outside::new();
    set(&outside, 0, EngineFaults { refuse: true, ..EngineFaults::default() });
    let front = outside.front();
    for _ in 0..6 {
        assert_eq!(status(&exchange(front.address, &completion("permit", false, 1))), 200);
    }
    assert_eq!(outside.started(), 6);
}

#[parameterized(model = { "permit" }, run_at_most_once = { "once-model" }, adapter = { "permit-wolof" })]
fn refusal_everywhere_is_not_run(model: &str) {
    let outside = Outside::new();
    set_all(&outside, &EngineFaults { refuse: true, ..EngineFaults::default() });
    let front = outside.front();
    let answer = exchange(front.address, &completion(model, false, 1));
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(outside.started(), 0);
}

#[parameterized(repeatable = { "permit" }, run_at_most_once = { "once-model" })]
fn dead_target_is_not_run_and_the_other_serves(model: &str) {
    let outside = Outside::new();
    outside.unplug(0);
    let front = outside.front();
    for _ in 0..4 {
        assert_eq!(status(&exchange(front.address, &completion(model, false, 1))), 200);
    }
    assert_eq!(outside.started(), 4);
}

#[test]
fn every_target_dead_is_not_run() {
    let outside = Outside::new();
    outside.unplug(0);
    outside.unplug(1);
    let front = outside.front();
    let answer = exchange(front.address, &completion("once-model", false, 1));
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
    assert_eq!(outside.started(), 0);
}

#[test]
fn broken_answer_of_a_request_that_runs_at_most_once_is_not_asked_for_again() {
    let outside = Outside::new();
    set_all(&outside, &EngineFaults { truncate: true, ..EngineFaults::default() });
    let front = outside.front();
    let answer = exchange(front.address, &completion("once-model", false, 1));
    assert!(answer.contains("\"outcome\":\"unknown\""), "{answer}");
    assert_eq!(outside.started(), 1);
}

#[test]
fn concurrent_callers_each_get_their_own_answer() {
    let outside = Outside::new();
    let front = outside.front();
    let address = front.address;
    let ask = move |worker: usize| {
        for i in 0..20 {
            let path = format!("/w{worker}/{i}");
            let bytes = request(&format!("POST /services/letters{path}"), &[], &path);
            let answer = exchange(address, &bytes);
            assert!(answer.contains(&format!("\"path\":\"{path}\"")), "{answer}");
        }
    };
    let threads: Vec<_> = (0..4).map(|w| std::thread::spawn(move || ask(w))).collect();
    threads.into_iter().for_each(|t| t.join().expect("every answer was its own"));
}

#[test]
fn answer_that_comes_after_the_deadline_is_not_the_next_callers() {
    let outside = Outside::new();
    let front = outside.front();
    set_plain(&outside, PlainFaults { slow_ms: 80, ..PlainFaults::default() });
    let late = request("POST /services/letters/late", &["x-deadline-ms: 30"], "late");
    let answer = exchange(front.address, &late);
    assert_eq!(status(&answer), Reason::DeadlinePassed.status(), "{answer}");
    assert!(answer.contains("\"outcome\":\"unknown\""), "{answer}");
    set_plain(&outside, PlainFaults::default());
    for i in 0..5 {
        let path = format!("/next{i}");
        let bytes = request(&format!("POST /services/letters{path}"), &[], &path);
        assert!(exchange(front.address, &bytes).contains(&path));
    }
}

fn set_plain(outside: &Outside, faults: PlainFaults) {
    *outside.plain.faults.lock().expect("no panic") = faults;
}

#[test]
fn caller_that_leaves_ends_the_work_at_the_target() {
    let outside = Outside::new();
    let front = outside.front();
    let mut stream = TcpStream::connect(front.address).expect("it listens");
    stream.write_all(&completion("permit", true, 1_000_000)).expect("it listens");
    while outside.started() == 0 {
        std::thread::yield_now();
    }
    drop(stream);
    // Either the watch or the next write notices; the engine sees its connection end.
    let running = || {
        let statuses = outside.engines.iter().map(|e| e.models.status());
        statuses.flat_map(|s| s.models).map(|m| m.in_flight).sum::<u32>()
    };
    while running() > 0 || front.pools.in_flight() > 0 {
        front.watch.look();
        std::thread::yield_now();
    }
    let cancelled = front.orders.cancelled.lock().expect("no panic");
    assert_eq!(cancelled.len(), 1, "the engine was not told");
}

#[test]
fn retries_stay_within_the_budget_when_everything_fails() {
    let outside = Outside::new();
    set_all(&outside, &EngineFaults { truncate: true, ..EngineFaults::default() });
    let front = outside.front();
    for _ in 0..100 {
        exchange(front.address, &completion("permit", false, 0));
    }
    // 100 first attempts, and no more retries than the caller's budget holds.
    assert!(outside.started() <= 110, "{}", outside.started());
}

/// Found by mutation: the last attempt alone said "not run" for a request that had run before.
#[test]
fn refusal_after_an_attempt_that_may_have_run_says_unknown() {
    let outside = Outside::new();
    set(&outside, 0, EngineFaults { truncate: true, ..EngineFaults::default() });
    set(&outside, 1, EngineFaults { refuse: true, ..EngineFaults::default() });
    let front = outside.front();
    for ran in 1..=8 {
        let answer = exchange(front.address, &completion("permit", false, 1));
        assert!(answer.contains("\"outcome\":\"unknown\""), "{answer}");
        assert_eq!(outside.started(), ran);
    }
}

#[test]
fn stream_that_ends_without_its_last_event_is_not_whole() {
    let outside = Outside::new();
    let faults =
        EngineFaults { end_after_events: 5, forget_streams: true, ..EngineFaults::default() };
    set_all(&outside, &faults);
    let front = outside.front();
    let answer = exchange(front.address, &completion("permit", true, 20));
    assert!(answer.contains("event: error"), "{answer}");
    assert!(!has_clean_end(&answer));
}

#[test]
fn caller_that_leaves_a_silent_target_gives_its_place_back() {
    let outside = Outside::new();
    set_plain(&outside, PlainFaults { hold: true, ..PlainFaults::default() });
    let front = outside.front();
    let mut stream = TcpStream::connect(front.address).expect("it listens");
    stream.write_all(&request("POST /services/letters/x", &[], "left")).expect("it listens");
    while outside.plain.runs("left") == 0 {
        std::thread::yield_now();
    }
    drop(stream);
    let mut left = 0;
    while front.pools.in_flight() > 0 {
        left += front.watch.look();
        std::thread::yield_now();
    }
    assert_eq!(left, 1, "the place came back otherwise than by the watch");
    set_plain(&outside, PlainFaults::default());
}

/// Found by reading: a connection opened while the daemon drains was closed before its request.
#[test]
fn request_that_comes_while_the_daemon_drains_is_served_and_health_says_so() {
    let outside = Outside::new();
    let front = outside.front();
    let mut idle = TcpStream::connect(front.address).expect("it listens");
    idle.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").expect("it listens");
    let mut lines = BufReader::new(idle).lines().map_while(Result::ok);
    assert!(lines.next().expect("it answers").contains("200"));
    front.lifecycle.drain();
    let answer = exchange(front.address, b"POST /v1/completions HTTP/1.1\r\n\r\n");
    assert!(answer.contains("connection: close"), "{answer}");
    let body = r#"{"model":"permit","max_tokens":1}"#;
    let served = exchange(front.address, &request("POST /v1/completions", &[], body));
    assert_eq!(status(&served), 200, "{served}");
    let health = exchange(front.address, b"GET /healthz HTTP/1.1\r\n\r\n");
    assert!(health.contains("503") && health.contains("draining"), "{health}");
    // The idle connection is closed between requests.
    assert_eq!(lines.by_ref().skip_while(|l| l != "ok").nth(1), None);
}

/// Also where no reporter of spans is set.
#[test]
fn trace_of_the_caller_reaches_the_target() {
    let outside = Outside::new();
    let front = outside.front();
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let header = format!("traceparent: 00-{trace}-b7ad6b7169203331-01");
    let bytes = request("POST /services/letters/x", &[&header], "x");
    let answer = exchange(front.address, &bytes);
    assert!(answer.contains(&format!("\"traceparent\":\"00-{trace}-")), "{answer}");
}
