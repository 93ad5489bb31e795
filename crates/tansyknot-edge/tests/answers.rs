//! Callers receive the full response to their own request, and refusals state correctly whether the
//! request may have run.

mod support;

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpStream,
};

use support::{TestPlatform, all_tokens, completion, exchange, request, status, tokens};
use tansyknot_core::refusal::Reason;
use tansyknot_standins::{engine::EngineFaults, plain::PlainFaults};
use yare::parameterized;

fn set_faults(platform: &TestPlatform, index: usize, faults: EngineFaults) {
    *platform.engines[index].faults.lock().expect("the lock is not poisoned") = faults;
}

fn set_all_faults(platform: &TestPlatform, faults: &EngineFaults) {
    for index in 0..platform.engines.len() {
        set_faults(platform, index, faults.clone());
    }
}

fn has_clean_end(response: &str) -> bool {
    response.ends_with("0\r\n\r\n")
}

#[test]
fn stream_is_whole_and_ends_cleanly() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    let response = exchange(daemon.address, &completion("permit", true, 20));
    assert_eq!(tokens(&response), all_tokens(20));
    assert!(response.contains("data: [DONE]"));
    assert!(has_clean_end(&response));
}

#[test]
fn each_token_is_passed_on_before_the_next_one_is_made() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    let mut stream = TcpStream::connect(daemon.address).expect("the daemon is listening");
    // The stream is far longer than the test, so its first token arrives only if it is not buffered.
    stream.write_all(&completion("permit", true, 1_000_000)).expect("the daemon is listening");
    let mut lines = BufReader::new(stream).lines();
    let first = lines.by_ref().map_while(Result::ok).find(|l| l.starts_with("data: "));
    assert!(first.expect("the first token arrives").contains("t0"));
}

#[parameterized(
    cut_at_once = { 1 },
    cut_in_the_middle = { 7 },
    cut_before_the_last = { 20 },
)]
fn broken_stream_is_resumed_without_a_repeated_or_missing_token(cut_after_events: u64) {
    let platform = TestPlatform::new();
    set_all_faults(&platform, &EngineFaults { cut_after_events, ..EngineFaults::default() });
    let daemon = platform.start_daemon();
    let response = exchange(daemon.address, &completion("permit", true, 20));
    assert_eq!(tokens(&response), all_tokens(20), "{response}");
    // The part of the event that was cut in half is not relayed.
    assert_eq!(response.matches("data: ").count(), 21, "{response}");
    assert!(has_clean_end(&response));
    assert_eq!(platform.started(), 1);
}

#[test]
fn stream_that_cannot_be_resumed_ends_in_an_error_event_and_not_cleanly() {
    let platform = TestPlatform::new();
    let faults =
        EngineFaults { cut_after_events: 5, forget_streams: true, ..EngineFaults::default() };
    set_all_faults(&platform, &faults);
    let daemon = platform.start_daemon();
    let response = exchange(daemon.address, &completion("permit", true, 20));
    assert_eq!(tokens(&response), all_tokens(5));
    assert!(response.contains("event: error"), "{response}");
    assert!(response.contains("\"outcome\":\"unknown\""));
    assert!(!response.contains("[DONE]"));
    assert!(!has_clean_end(&response));
}

#[test]
fn truncated_whole_answer_is_asked_for_again_and_never_passed_on() {
    let platform = TestPlatform::new();
    set_faults(&platform, 0, EngineFaults { truncate: true, ..EngineFaults::default() });
    let daemon = platform.start_daemon();
    for _ in 0..6 {
        let response = exchange(daemon.address, &completion("permit", false, 3));
        assert_eq!(status(&response), 200);
        assert!(response.contains("t0 t1 t2"), "{response}");
        assert!(!response.contains("half"));
    }
}

#[test]
fn truncated_everywhere_is_unknown() {
    let platform = TestPlatform::new();
    set_all_faults(&platform, &EngineFaults { truncate: true, ..EngineFaults::default() });
    let daemon = platform.start_daemon();
    let response = exchange(daemon.address, &completion("permit", false, 3));
    assert_eq!(status(&response), Reason::TargetFailed.status(), "{response}");
    assert!(response.contains("\"outcome\":\"unknown\""));
    assert!(platform.started() >= 1);
}

#[test]
fn request_refused_before_its_start_is_retried_at_the_other_target() {
    let platform = TestPlatform::new();
    set_faults(&platform, 0, EngineFaults { refuse: true, ..EngineFaults::default() });
    let daemon = platform.start_daemon();
    for _ in 0..6 {
        assert_eq!(status(&exchange(daemon.address, &completion("permit", false, 1))), 200);
    }
    assert_eq!(platform.started(), 6);
}

#[parameterized(model = { "permit" }, run_at_most_once = { "once-model" }, adapter = { "permit-wolof" })]
fn refusal_everywhere_is_not_run(model: &str) {
    let platform = TestPlatform::new();
    set_all_faults(&platform, &EngineFaults { refuse: true, ..EngineFaults::default() });
    let daemon = platform.start_daemon();
    let response = exchange(daemon.address, &completion(model, false, 1));
    assert!(response.contains("\"outcome\":\"not_run\""), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert_eq!(platform.started(), 0);
}

#[parameterized(repeatable = { "permit" }, run_at_most_once = { "once-model" })]
fn dead_target_is_not_run_and_the_other_serves(model: &str) {
    let platform = TestPlatform::new();
    platform.disconnect(0);
    let daemon = platform.start_daemon();
    for _ in 0..4 {
        assert_eq!(status(&exchange(daemon.address, &completion(model, false, 1))), 200);
    }
    assert_eq!(platform.started(), 4);
}

#[test]
fn every_target_dead_is_not_run() {
    let platform = TestPlatform::new();
    platform.disconnect(0);
    platform.disconnect(1);
    let daemon = platform.start_daemon();
    let response = exchange(daemon.address, &completion("once-model", false, 1));
    assert!(response.contains("\"outcome\":\"not_run\""), "{response}");
    assert_eq!(platform.started(), 0);
}

#[test]
fn broken_answer_of_a_request_that_runs_at_most_once_is_not_asked_for_again() {
    let platform = TestPlatform::new();
    set_all_faults(&platform, &EngineFaults { truncate: true, ..EngineFaults::default() });
    let daemon = platform.start_daemon();
    let response = exchange(daemon.address, &completion("once-model", false, 1));
    assert!(response.contains("\"outcome\":\"unknown\""), "{response}");
    assert_eq!(platform.started(), 1);
}

#[test]
fn concurrent_callers_each_get_their_own_answer() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    let address = daemon.address;
    let send_requests = move |worker: usize| {
        for i in 0..20 {
            let path = format!("/w{worker}/{i}");
            let bytes = request(&format!("POST /services/letters{path}"), &[], &path);
            let response = exchange(address, &bytes);
            assert!(response.contains(&format!("\"path\":\"{path}\"")), "{response}");
        }
    };
    let threads: Vec<_> = (0..4).map(|w| std::thread::spawn(move || send_requests(w))).collect();
    threads.into_iter().for_each(|t| t.join().expect("each caller received its own response"));
}

#[test]
fn answer_that_comes_after_the_deadline_is_not_the_next_callers() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    set_plain_faults(&platform, PlainFaults { slow_ms: 80, ..PlainFaults::default() });
    let late_request = request("POST /services/letters/late", &["x-deadline-ms: 30"], "late");
    let response = exchange(daemon.address, &late_request);
    assert_eq!(status(&response), Reason::DeadlinePassed.status(), "{response}");
    assert!(response.contains("\"outcome\":\"unknown\""), "{response}");
    set_plain_faults(&platform, PlainFaults::default());
    for i in 0..5 {
        let path = format!("/next{i}");
        let bytes = request(&format!("POST /services/letters{path}"), &[], &path);
        assert!(exchange(daemon.address, &bytes).contains(&path));
    }
}

fn set_plain_faults(platform: &TestPlatform, faults: PlainFaults) {
    *platform.plain.faults.lock().expect("the lock is not poisoned") = faults;
}

#[test]
fn request_of_a_caller_that_left_is_cancelled_at_the_target() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    let mut stream = TcpStream::connect(daemon.address).expect("the daemon is listening");
    stream.write_all(&completion("permit", true, 1_000_000)).expect("the daemon is listening");
    while platform.started() == 0 {
        std::thread::yield_now();
    }
    drop(stream);
    // Either the watch or the next write detects it; the engine's connection is then closed.
    let running = || {
        let statuses = platform.engines.iter().map(|e| e.models.status());
        statuses.flat_map(|s| s.models).map(|m| m.in_flight).sum::<u32>()
    };
    while running() > 0 || daemon.pools.in_flight() > 0 {
        daemon.watch.check();
        std::thread::yield_now();
    }
    let cancelled = daemon.orders.cancelled.lock().expect("the lock is not poisoned");
    assert_eq!(cancelled.len(), 1, "the engine did not receive the cancellation");
}

#[test]
fn retries_stay_within_the_budget_when_everything_fails() {
    let platform = TestPlatform::new();
    set_all_faults(&platform, &EngineFaults { truncate: true, ..EngineFaults::default() });
    let daemon = platform.start_daemon();
    for _ in 0..100 {
        exchange(daemon.address, &completion("permit", false, 0));
    }
    // 100 first attempts, and no more retries than the caller's retry budget allows.
    assert!(platform.started() <= 110, "{}", platform.started());
}

/// Guards against a refusal with the outcome of the last attempt alone: "not run" for a request that
/// an earlier attempt had run.
#[test]
fn refusal_after_an_attempt_that_may_have_run_says_unknown() {
    let platform = TestPlatform::new();
    set_faults(&platform, 0, EngineFaults { truncate: true, ..EngineFaults::default() });
    set_faults(&platform, 1, EngineFaults { refuse: true, ..EngineFaults::default() });
    let daemon = platform.start_daemon();
    for ran in 1..=8 {
        let response = exchange(daemon.address, &completion("permit", false, 1));
        assert!(response.contains("\"outcome\":\"unknown\""), "{response}");
        assert_eq!(platform.started(), ran);
    }
}

#[test]
fn stream_that_ends_without_its_last_event_is_not_whole() {
    let platform = TestPlatform::new();
    let faults =
        EngineFaults { end_after_events: 5, forget_streams: true, ..EngineFaults::default() };
    set_all_faults(&platform, &faults);
    let daemon = platform.start_daemon();
    let response = exchange(daemon.address, &completion("permit", true, 20));
    assert!(response.contains("event: error"), "{response}");
    assert!(!has_clean_end(&response));
}

#[test]
fn caller_that_leaves_a_silent_target_gives_its_place_back() {
    let platform = TestPlatform::new();
    set_plain_faults(&platform, PlainFaults { hold: true, ..PlainFaults::default() });
    let daemon = platform.start_daemon();
    let mut stream = TcpStream::connect(daemon.address).expect("the daemon is listening");
    stream
        .write_all(&request("POST /services/letters/x", &[], "left"))
        .expect("the daemon is listening");
    while platform.plain.executions_of("left") == 0 {
        std::thread::yield_now();
    }
    drop(stream);
    let mut left = 0;
    while daemon.pools.in_flight() > 0 {
        left += daemon.watch.check();
        std::thread::yield_now();
    }
    assert_eq!(left, 1, "the slot was not released by the watch");
    set_plain_faults(&platform, PlainFaults::default());
}

/// Guards against closing a connection opened while the daemon drains before its request is read.
#[test]
fn request_that_comes_while_the_daemon_drains_is_served_and_health_says_so() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    let mut idle = TcpStream::connect(daemon.address).expect("the daemon is listening");
    idle.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").expect("the daemon is listening");
    let mut lines = BufReader::new(idle).lines().map_while(Result::ok);
    assert!(lines.next().expect("the daemon responds").contains("200"));
    daemon.lifecycle.drain();
    let response = exchange(daemon.address, b"POST /v1/completions HTTP/1.1\r\n\r\n");
    assert!(response.contains("connection: close"), "{response}");
    let body = r#"{"model":"permit","max_tokens":1}"#;
    let served = exchange(daemon.address, &request("POST /v1/completions", &[], body));
    assert_eq!(status(&served), 200, "{served}");
    let health = exchange(daemon.address, b"GET /healthz HTTP/1.1\r\n\r\n");
    assert!(health.contains("503") && health.contains("draining"), "{health}");
    // The idle connection is closed between requests.
    assert_eq!(lines.by_ref().skip_while(|l| l != "ok").nth(1), None);
}

/// The trace context is forwarded even if no span reporter is configured.
#[test]
fn trace_context_of_the_caller_is_forwarded() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let header = format!("traceparent: 00-{trace}-b7ad6b7169203331-01");
    let bytes = request("POST /services/letters/x", &[&header], "x");
    let response = exchange(daemon.address, &bytes);
    assert!(response.contains(&format!("\"traceparent\":\"00-{trace}-")), "{response}");
}
