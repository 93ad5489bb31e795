//! Tests of the commands that explain requests from log files alone.

use std::process::{Command, Output};

use serde_json::Value;
use yare::parameterized;

const FILES: [&str; 2] = [
    concat!(env!("CARGO_MANIFEST_DIR"), "/tests/samples/front-1.log"),
    concat!(env!("CARGO_MANIFEST_DIR"), "/tests/samples/front-2.log"),
];

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tansyknot"));
    command.args(args).output().expect("the binary runs")
}

fn explain(id: &str) -> Value {
    let args = ["explain", id, "--output", "json", "--logs", FILES[0], FILES[1]];
    let output = run(&args);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("the output is JSON")
}

fn events(lines: &Value) -> Vec<u64> {
    let lines = lines.as_array().expect("a list of lines");
    lines.iter().filter_map(|l| l["event"].as_u64()).collect()
}

#[test]
fn broken_stream_is_explained_by_its_steps_and_target_events() {
    let cause = explain("9c41d07be2a35f68");
    assert_eq!(cause["request"]["daemon"], "front-1");
    assert!(cause["meaning"].as_str().is_some_and(|m| m.starts_with("may have run")));
    assert_eq!(cause["steps"][1]["after_ms"], 2246);
    assert_eq!(cause["steps"][1]["what"], "i-b cut off after 52 events");
    // The change of the planner and the removal of i-b are related. That of i-c is not, since
    // i-c did not receive the request.
    assert_eq!(events(&cause["around"]), [1611, 1621, 1614]);
    assert_eq!(cause["around"][2]["fields"]["target"], "i-b");
}

#[test]
fn refused_request_is_explained_by_the_orders_for_its_model() {
    let cause = explain("5f1e");
    assert!(cause["meaning"].as_str().is_some_and(|m| m.starts_with("not run")));
    assert_eq!(events(&cause["around"]), [1611, 1621, 1632]);
    assert_eq!(cause["around"][2]["fields"]["reason"], "overtaken");
    assert_eq!(
        cause["around"][2]["daemon"], "front-2",
        "the file's name, as its lines do not name the daemon"
    );
}

#[test]
fn request_without_log_line_fails_with_a_hint() {
    let output = run(&["explain", "nowhere", "--logs", FILES[0]]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    let words = text.split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(words.contains("none of 3 log lines has request nowhere"), "{text}");
}

#[parameterized(
    event = { &["--event", "1614,1632"], 3 },
    daemon = { &["--daemon", "front-1"], 3 },
    request = { &["--request", "5f1e"], 1 },
    about = { &["--about", "rare-model"], 2 },
    from = { &["--from", "2026-09-28T20:17:24Z"], 3 },
    to = { &["--to", "2026-09-28T20:17:22.5Z"], 2 },
    both = { &["--event", "1614", "--about", "i-c"], 1 },
    all = { &[], 7 },
)]
fn lines_are_filtered(filter: &[&str], count: usize) {
    let args = [&["logs", FILES[0], FILES[1], "--output", "json"], filter].concat();
    let output = run(&args);
    let lines: Value = serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert_eq!(lines.as_array().map(Vec::len), Some(count));
}

#[test]
fn table_has_the_steps_and_the_related_lines() {
    let output = run(&["explain", "9c41d07be2a35f68", "--logs", FILES[0], FILES[1]]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    for part in ["may have run", "i-a silent after 2 events", "This daemon is the planner"] {
        assert!(text.contains(part), "{part} is not in:\n{text}");
    }
}
