//! Keys are secrets: nothing that a daemon writes, tells or shows has one, whatever callers send.
#![cfg(feature = "services")]

mod launch;

use std::{
    io::{BufRead, BufReader},
    process::{Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use serde_json::json;
use tansyknot_adapter_standins::{
    caller::Request, operator::Configuration, runner::Runner, store::Store,
};

const SECRET: &str = "sesame";

fn write(store: &Store, version: u64, keys: serde_json::Value) {
    let mut doc = Configuration::single_model(version).document();
    doc["tenants"] = json!([{ "name": "alpha", "api-keys": keys, "rate-per-s": 1, "burst": 2 }]);
    store.put("op", "config", &doc);
}

#[test]
fn output_of_a_daemon_has_no_key() {
    let store = Store::new();
    write(&store, 1, json!([format!("{SECRET}-1")]));
    let _runner = Runner::start(&store, "plain", "i-a", &[]);
    let settings = launch::settings("keys", store.open_endpoint().address);
    let text = std::fs::read_to_string(&settings).expect("it was written");
    let more = "  revoke_within: 5s\n  revoke_fail_closed: true\ntelemetry:\n  log_level: debug\n";
    std::fs::write(&settings, text + more).expect("it was written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_tansyknotd"))
        .args(["--serves", "fleet", "--settings"])
        .arg(&settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let lines = Arc::new(Mutex::new(Vec::new()));
    let (out, err) = (child.stdout.take(), child.stderr.take());
    collect(out.expect("it was piped"), &lines);
    collect(err.expect("it was piped"), &lines);
    let address = |name: &str| {
        let lines = lines.lock().expect("no test panics with it");
        let docs = lines.iter().filter_map(|l: &String| serde_json::from_str(l).ok());
        docs.filter_map(|doc: serde_json::Value| doc["kvs"][name].as_str()?.parse().ok()).next()
    };
    launch::await_that(|| address("callers").is_some());
    let callers = address("callers").expect("it is there");
    let metrics = address("metrics").expect("it is there");
    let ready = address("ready").expect("it is there");
    launch::await_that(|| {
        launch::ask(ready, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n").contains("200")
    });
    let mut shown = String::new();
    let keys = ["1", "2", "1\r\nTenant: x", "1\r\nAuthorization: Bearer sesame-2", "\u{1}"];
    for (n, key) in keys.iter().cycle().take(20).enumerate() {
        let more = format!("Authorization: Bearer {SECRET}-{key}\r\nConnection: close\r\n");
        let id = format!("id-{n}");
        let req = Request { extra_headers: &more, ..Request::new("/ledger/x", &id, None, 900) };
        shown += &launch::ask(callers, &req.text());
    }
    write(&store, 2, json!(format!("{SECRET}-3")));
    thread::sleep(Duration::from_secs(2));
    shown += &launch::figures(metrics);
    child.kill().expect("it is there");
    child.wait().expect("it is there");
    std::fs::remove_file(&settings).expect("it was written");
    shown += &lines.lock().expect("no test panics with it").join("\n");
    assert!(shown.contains("HTTP/1.1 200") && shown.contains("HTTP/1.1 401"), "{shown}");
    assert!(shown.contains("malformed at line"), "the bad version is logged");
    assert!(!shown.contains(SECRET), "{shown}");
}

fn collect(from: impl std::io::Read + Send + 'static, lines: &Arc<Mutex<Vec<String>>>) {
    let lines = Arc::clone(lines);
    thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            lines.lock().expect("no test panics with it").push(line);
        }
    });
}
