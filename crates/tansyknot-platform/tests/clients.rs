//! Tests of the clients against stand-in servers over loopback sockets.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use tansyknot_core::{
    Error,
    engine::{Engine, LoadOrder, ModelState, UnloadOrder},
    host::{Fencing, HostList, HostState, Target, TargetKind},
    name::{ServiceName, TargetName, ZoneName},
    table::{ABSENT, Table, Transaction},
};
use tansyknot_platform::{
    engine::HttpEngine, host::HttpHostList, http::JsonClient, table::HttpTable,
};
use tansyknot_standins::{engine, hosts, table};

const TIMEOUT: Duration = Duration::from_millis(500);

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Returns an address without a listener: the system never assigns port 1.
fn unused_address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn target(address: SocketAddr) -> Target {
    Target {
        name: TargetName::from("e0"),
        address,
        availability_zone: ZoneName::from("z0"),
        state: HostState::Live,
        kind: TargetKind::Engine,
        memory_bytes: 100,
        fencing: Fencing::Checked,
        labels: [].into(),
    }
}

#[test]
fn table_reads_committed_rows_and_rejects_conflicting_transactions() {
    let (running, _) = table::start(loopback()).expect("a port is free");
    let client = HttpTable::new(running.address, TIMEOUT);
    assert_eq!(client.read("a/ b?&"), Ok(None));
    let put = Transaction::default().put("a/ b?&", ABSENT, "{}".to_owned());
    client.commit(&put).expect("the row is absent");
    assert_eq!(
        client.read("a/ b?&").expect("the server responds").expect("the row exists").value,
        "{}"
    );
    assert_eq!(client.commit(&put), Err(Error::Conflict { key: "a/ b?&".to_owned() }));
    let unconditional =
        Transaction::default().set("a/c", Some("1".to_owned())).set("b", Some("2".to_owned()));
    client.commit(&unconditional).expect("an unconditional transaction succeeds");
    let keys =
        |rows: Vec<tansyknot_core::table::Row>| rows.into_iter().map(|r| r.key).collect::<Vec<_>>();
    assert_eq!(keys(client.scan("a/", "", 10).expect("the server responds")), ["a/ b?&", "a/c"]);
    assert_eq!(keys(client.scan("a/", "a/ b?&", 10).expect("the server responds")), ["a/c"]);
    assert_eq!(keys(client.scan("a/", "", 1).expect("the server responds")).len(), 1);
}

#[test]
fn lost_response_is_unknown_and_unused_address_is_unreachable() {
    let (running, state) = table::start(loopback()).expect("a port is free");
    let client = HttpTable::new(running.address, TIMEOUT);
    state.faults.lock().expect("no holder of the lock panics").lose_replies = 1;
    let put = Transaction::default().put("k", ABSENT, "{}".to_owned());
    let lost = client.commit(&put).expect_err("the response was dropped");
    assert!(lost.may_have_taken_effect(), "{lost:?}");
    assert!(client.read("k").expect("the server responds").is_some());
    let unreachable = HttpTable::new(unused_address(), TIMEOUT);
    let e = unreachable.commit(&put).expect_err("no listener");
    assert!(matches!(e, Error::Unreachable { .. }) && !e.may_have_taken_effect(), "{e:?}");
}

#[test]
fn error_of_truncated_response_contains_received_byte_count() {
    let listener = TcpListener::bind(loopback()).expect("a port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).expect("the client sends a request");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n1234567")
            .expect("the client reads the response");
    });
    let client = JsonClient::new("store", TIMEOUT);
    let e = client.get(&format!("http://{address}/"), &[]).expect_err("the body is truncated");
    assert!(e.to_string().contains("after 7 bytes of the answer"), "{e}");
    server.join().expect("the server thread does not panic");
}

#[test]
fn list_of_hosts_is_returned_again_only_after_a_change() {
    let (running, state) = hosts::start(loopback()).expect("a port is free");
    let client = HttpHostList::new(running.address, "region=north", TIMEOUT);
    state.set(vec![target(unused_address())]);
    assert_eq!(
        client.list().expect("the server responds").expect("the first list is returned").len(),
        1
    );
    assert_eq!(client.list(), Ok(None));
    state.set_state(&TargetName::from("e0"), Some(HostState::Leaving));
    let changed =
        client.list().expect("the server responds").expect("the changed list is returned");
    assert_eq!(changed[0].state, HostState::Leaving);
    state.faults.lock().expect("no holder of the lock panics").down = true;
    assert!(client.list().is_err());
}

#[test]
fn engine_executes_orders_and_rejects_stale_fencing_tokens() {
    let options = engine::EngineOptions { memory_bytes: 100, ..engine::EngineOptions::default() };
    let (running, state) = engine::start(loopback(), options).expect("a port is free");
    let (client, target) = (HttpEngine::new(TIMEOUT), target(running.address));
    let service = ServiceName::from("s");
    let order = |fence, memory_bytes| LoadOrder {
        service: service.clone(),
        checkpoint: "c".to_owned(),
        memory_bytes,
        fence,
    };
    client.load(&target, &order(5, 60)).expect("the memory suffices");
    client.load(&target, &order(5, 60)).expect("loading twice is idempotent");
    state.models.finish_load(&service);
    let status = client.status(&target).expect("the server responds");
    assert_eq!(status.model(&service).map(|m| m.state), Some(ModelState::Ready));
    assert_eq!(client.load(&target, &order(4, 60)), Err(Error::StaleFence { seen: 5 }));
    let other = LoadOrder { service: ServiceName::from("t"), ..order(1, 60) };
    assert_eq!(client.load(&target, &other), Err(Error::OutOfMemory));
    let unload = |fence| UnloadOrder { service: service.clone(), fence };
    assert_eq!(client.unload(&target, &unload(4)), Err(Error::StaleFence { seen: 5 }));
    let active_request = state.models.begin_request("s").expect("the model is ready");
    assert!(matches!(client.unload(&target, &unload(6)), Err(Error::Busy { .. })));
    drop(active_request);
    client.unload(&target, &unload(6)).expect("the model is idle");
    assert!(client.status(&target).expect("the server responds").model(&service).is_none());
    state.faults.lock().expect("no holder of the lock panics").lose_replies = true;
    let lost = client.load(&target, &order(7, 60)).expect_err("the response was dropped");
    assert!(lost.may_have_taken_effect(), "{lost:?}");
}

/// What a client may read of an engine's response, and the kernel's buffers on both sides.
const MAX_ENGINE_RESPONSE_BYTES: usize = 8 << 20;

#[test]
fn engines_response_without_end_is_not_read_to_the_timeout() {
    let listener = TcpListener::bind(loopback()).expect("a port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let _ = stream.read(&mut [0; 1024]).expect("the client sends a request");
        let mut sent = 0;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n");
        while let Ok(n) = stream.write(&[b' '; 16 << 10]) {
            sent += n;
        }
        sent
    });
    let client = HttpEngine::new(Duration::from_secs(20));
    let e = client.status(&target(address)).expect_err("the response has no end");
    assert!(e.may_have_taken_effect(), "{e:?}");
    drop(client);
    let sent = server.join().expect("the server thread does not panic");
    assert!(sent <= MAX_ENGINE_RESPONSE_BYTES, "{sent} bytes");
}
