//! Tests of the command line against a stand-in of the table service.

use std::{
    env, fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
};

use tansyknot_standins::{server::RunningServer, table};
use yare::parameterized;

const OBJECTS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/settings/objects.yaml");
const SETTINGS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/settings/daemon.yaml");

fn start_table() -> RunningServer {
    let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
    table::start(loopback).expect("a port is free").0
}

fn run(table: SocketAddr, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tansyknot"));
    command.args(["--table", &table.to_string()]).args(args);
    command.output().expect("the binary runs")
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
    let table = start_table();
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
fn conflicting_apply_exits_with_its_own_code_and_shows_the_winner() {
    let table = start_table();
    assert!(apply(table.address, &[]).status.success());
    let conflicting = apply(table.address, &["--base", "0"]);
    assert_eq!(conflicting.status.code(), Some(3));
    // The error report is wrapped at the width of a terminal.
    let words = text(&conflicting).split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(words.contains("version 1 was accepted first"), "{words}");
    let again = text(&apply(table.address, &[]));
    assert!(again.contains("version 1: nothing to change"), "{again}");
}

#[parameterized(
    unknown_command = { &["frobnicate"], 2 },
    bad_key = { &["delete", "registry"], 1 },
    no_file = { &["apply", "-f", "/nowhere.yaml"], 1 },
    unknown_request = { &["explain", "nobody"], 1 },
)]
fn failure_has_its_exit_code(args: &[&str], code: i32) {
    let table = start_table();
    let output = run(table.address, args);
    assert_eq!(output.status.code(), Some(code), "{}", text(&output));
}

#[test]
fn files_are_checked_and_errors_show_the_line() {
    let table = start_table();
    assert!(run(table.address, &["settings", "check", SETTINGS, OBJECTS]).status.success());
    let invalid =
        fs::read_to_string(SETTINGS).expect("the file is readable").replace("5m", "5 moons");
    let file: PathBuf = env::temp_dir().join(format!("wrong-{}.yaml", std::process::id()));
    fs::write(&file, invalid).expect("the temporary folder is writable");
    let output = run(table.address, &["settings", "check", &file.display().to_string()]);
    fs::remove_file(&file).expect("the file exists");
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output).contains("5 moons") && text(&output).contains(".yaml:"));
}

#[parameterized(bash = { "bash" }, zsh = { "zsh" }, fish = { "fish" })]
fn completions_are_printed(shell: &str) {
    let table = start_table();
    let output = run(table.address, &["completions", shell]);
    assert!(output.status.success() && text(&output).contains("tansyknot"));
}

#[test]
fn printed_hash_is_the_hash_of_the_printed_key() {
    let output = text(&run(start_table().address, &["key"]));
    let value = |name: &str| {
        let line = output.lines().find(|l| l.starts_with(name)).expect("the line is there");
        line.split_whitespace().last().expect("the line has a value").to_owned()
    };
    let hash = tansyknot_config::objects_in_force::key_hash(&value("key:"));
    assert_eq!(value("key_sha256:"), hash);
}
