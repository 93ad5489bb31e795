//! Keys are secrets: no log line, response or metrics page of a daemon contains one, whatever callers
//! send.
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

fn write_config(store: &Store, version: u64, keys: serde_json::Value) {
    let mut doc = Configuration::single_model(version).document();
    doc["tenants"] = json!([{ "name": "alpha", "api-keys": keys, "rate-per-s": 1, "burst": 2 }]);
    store.put("op", "config", &doc);
}

#[test]
fn output_of_a_daemon_has_no_key() {
    let store = Store::new();
    write_config(&store, 1, json!([format!("{SECRET}-1")]));
    let _runner = Runner::start(&store, "plain", "i-a", &[]);
    let settings = launch::write_settings("keys", store.open_endpoint().address);
    let text = std::fs::read_to_string(&settings).expect("the settings can be read");
    let extra_settings =
        "  revoke_within: 5s\n  revoke_fail_closed: true\ntelemetry:\n  log_level: debug\n";
    std::fs::write(&settings, text + extra_settings).expect("the settings can be written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_tansyknotd"))
        .args(["--serves", "fleet", "--settings"])
        .arg(&settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let lines = Arc::new(Mutex::new(Vec::new()));
    let (out, err) = (child.stdout.take(), child.stderr.take());
    collect_lines(out.expect("standard output is piped"), &lines);
    collect_lines(err.expect("standard error is piped"), &lines);
    let address = |name: &str| {
        let lines = lines.lock().expect("no holder of the lock panics");
        let docs = lines.iter().filter_map(|l: &String| serde_json::from_str(l).ok());
        docs.filter_map(|doc: serde_json::Value| doc["kvs"][name].as_str()?.parse().ok()).next()
    };
    launch::wait_until(|| address("callers").is_some());
    let callers = address("callers").expect("the address was logged");
    let metrics = address("metrics").expect("the address was logged");
    let ready = address("ready").expect("the address was logged");
    launch::wait_until(|| {
        launch::send(ready, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n").contains("200")
    });
    let mut output = String::new();
    let keys = ["1", "2", "1\r\nTenant: x", "1\r\nAuthorization: Bearer sesame-2", "\u{1}"];
    for (n, key) in keys.iter().cycle().take(20).enumerate() {
        let extra_headers =
            format!("Authorization: Bearer {SECRET}-{key}\r\nConnection: close\r\n");
        let id = format!("id-{n}");
        let req =
            Request { extra_headers: &extra_headers, ..Request::new("/ledger/x", &id, None, 900) };
        output += &launch::send(callers, &req.text());
    }
    write_config(&store, 2, json!(format!("{SECRET}-3")));
    thread::sleep(Duration::from_secs(2));
    output += &launch::metrics_page(metrics);
    child.kill().expect("the daemon runs");
    child.wait().expect("the daemon ends");
    std::fs::remove_file(&settings).expect("the settings file exists");
    output += &lines.lock().expect("no holder of the lock panics").join("\n");
    assert!(output.contains("HTTP/1.1 200") && output.contains("HTTP/1.1 401"), "{output}");
    assert!(output.contains("malformed at line"), "the malformed version is logged");
    assert!(!output.contains(SECRET), "{output}");
}

fn collect_lines(from: impl std::io::Read + Send + 'static, lines: &Arc<Mutex<Vec<String>>>) {
    let lines = Arc::clone(lines);
    thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            lines.lock().expect("no holder of the lock panics").push(line);
        }
    });
}
