//! The command line against a stand-in of the table service.

use std::{
    env, fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
};

use tansyknot_standins::{server::Running, table};
use yare::parameterized;

const OBJECTS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/settings/objects.yaml");
const SETTINGS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/settings/daemon.yaml");

fn start() -> Running {
    let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
    table::start(loopback).expect("a port is free").0
}

fn run(table: SocketAddr, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tansyknot"));
    command.args(["--table", &table.to_string()]).args(args);
    command.output().expect("the binary was built")
}

fn text(output: &Output) -> String {
    let both = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8_lossy(&both).into_owned()
}

fn apply(table: SocketAddr, more: &[&str]) -> Output {
    run(table, &[&["apply", "-f", OBJECTS, "--author", "awa", "--wait", "0"], more].concat())
}

#[test]
fn document_is_applied_once_and_shown() {
    let table = start();
    assert_eq!(run(table.address, &["diff", "-f", OBJECTS]).status.code(), Some(4));
    let applied = apply(table.address, &[]);
    assert!(applied.status.success(), "{}", text(&applied));
    assert!(text(&applied).contains("version 1: 7 objects changed"));
    assert_eq!(run(table.address, &["diff", "-f", OBJECTS]).status.code(), Some(0));
    let history = text(&run(table.address, &["history"]));
    assert!(history.contains("awa") && history.contains("service/registry"), "{history}");
    let got = text(&run(table.address, &["get", "rule", "--output", "json"]));
    assert!(got.contains("\"name\": \"desk\"") && !got.contains("\"kind\": \"service\""), "{got}");
    let deleted = run(table.address, &["delete", "adapter/permit-wolof", "--wait", "0"]);
    assert!(deleted.status.success(), "{}", text(&deleted));
    assert!(!text(&run(table.address, &["get"])).contains("permit-wolof"));
}

#[test]
fn loser_of_a_race_exits_with_its_own_code_and_the_winner() {
    let table = start();
    assert!(apply(table.address, &[]).status.success());
    let late = apply(table.address, &["--base", "0"]);
    assert_eq!(late.status.code(), Some(3));
    // The report is wrapped to the width of a terminal.
    let words = text(&late).split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(words.contains("version 1 was accepted first"), "{words}");
    let again = text(&apply(table.address, &[]));
    assert!(again.contains("version 1: nothing to change"), "{again}");
}

#[parameterized(
    unknown_command = { &["frobnicate"], 2 },
    bad_key = { &["delete", "registry"], 1 },
    no_file = { &["apply", "-f", "/nowhere.yaml"], 1 },
    forgotten_request = { &["explain", "nobody"], 1 },
)]
fn failure_has_its_exit_code(args: &[&str], code: i32) {
    let table = start();
    let output = run(table.address, args);
    assert_eq!(output.status.code(), Some(code), "{}", text(&output));
}

#[test]
fn files_are_checked_and_shown_at_their_line() {
    let table = start();
    assert!(run(table.address, &["settings", "check", SETTINGS, OBJECTS]).status.success());
    let wrong = fs::read_to_string(SETTINGS).expect("it is there").replace("5m", "5 moons");
    let file: PathBuf = env::temp_dir().join(format!("wrong-{}.yaml", std::process::id()));
    fs::write(&file, wrong).expect("the temporary folder takes files");
    let output = run(table.address, &["settings", "check", &file.display().to_string()]);
    fs::remove_file(&file).expect("it was written");
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output).contains("5 moons") && text(&output).contains(".yaml:"));
}

#[parameterized(bash = { "bash" }, zsh = { "zsh" }, fish = { "fish" })]
fn completions_are_printed(shell: &str) {
    let table = start();
    let output = run(table.address, &["completions", shell]);
    assert!(output.status.success() && text(&output).contains("tansyknot"));
}

#[test]
fn key_and_its_hash_belong_together() {
    let output = text(&run(start().address, &["key"]));
    let word = |name: &str| {
        let line = output.lines().find(|l| l.starts_with(name)).expect("the line is there");
        line.split_whitespace().last().expect("the line has a value").to_owned()
    };
    let hash = tansyknot_config::store::key_hash(&word("key:"));
    assert_eq!(word("key_sha256:"), hash);
}
