//! The contract of the clients, against stand-ins over real sockets.

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

/// An address that nothing listens at: the system never gives out this port.
fn unused() -> SocketAddr {
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
fn table_reads_what_was_committed_and_refuses_what_conflicts() {
    let (running, _) = table::start(loopback()).expect("a port is free");
    let client = HttpTable::new(running.address, TIMEOUT);
    assert_eq!(client.read("a/ b?&"), Ok(None));
    let put = Transaction::default().put("a/ b?&", ABSENT, "{}".to_owned());
    client.commit(&put).expect("the row is free");
    assert_eq!(client.read("a/ b?&").expect("up").expect("it is there").value, "{}");
    assert_eq!(client.commit(&put), Err(Error::Conflict { key: "a/ b?&".to_owned() }));
    let more =
        Transaction::default().set("a/c", Some("1".to_owned())).set("b", Some("2".to_owned()));
    client.commit(&more).expect("there is no condition");
    let keys =
        |rows: Vec<tansyknot_core::table::Row>| rows.into_iter().map(|r| r.key).collect::<Vec<_>>();
    assert_eq!(keys(client.scan("a/", "", 10).expect("up")), ["a/ b?&", "a/c"]);
    assert_eq!(keys(client.scan("a/", "a/ b?&", 10).expect("up")), ["a/c"]);
    assert_eq!(keys(client.scan("a/", "", 1).expect("up")).len(), 1);
}

#[test]
fn lost_reply_is_unknown_and_an_unused_address_unreachable() {
    let (running, state) = table::start(loopback()).expect("a port is free");
    let client = HttpTable::new(running.address, TIMEOUT);
    state.faults.lock().expect("no panic").lose_replies = 1;
    let put = Transaction::default().put("k", ABSENT, "{}".to_owned());
    let lost = client.commit(&put).expect_err("the reply was lost");
    assert!(lost.may_have_taken_effect(), "{lost:?}");
    assert!(client.read("k").expect("up").is_some());
    let nowhere = HttpTable::new(unused(), TIMEOUT);
    let e = nowhere.commit(&put).expect_err("nobody listens");
    assert!(matches!(e, Error::Unreachable { .. }) && !e.may_have_taken_effect(), "{e:?}");
}

#[test]
fn answer_that_breaks_off_tells_how_much_of_it_had_come() {
    let listener = TcpListener::bind(loopback()).expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).expect("the client asks");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n1234567")
            .expect("the client reads");
    });
    let client = JsonClient::new("store", TIMEOUT);
    let e = client.get(&format!("http://{address}/"), &[]).expect_err("it is not whole");
    assert!(e.to_string().contains("after 7 bytes of the answer"), "{e}");
    server.join().expect("it does not panic");
}

#[test]
fn list_of_hosts_is_sent_again_only_when_it_has_changed() {
    let (running, state) = hosts::start(loopback()).expect("a port is free");
    let client = HttpHostList::new(running.address, "region=north", TIMEOUT);
    state.set(vec![target(unused())]);
    assert_eq!(client.list().expect("up").expect("it is new").len(), 1);
    assert_eq!(client.list(), Ok(None));
    state.mark(&TargetName::from("e0"), Some(HostState::Leaving));
    let changed = client.list().expect("up").expect("it has changed");
    assert_eq!(changed[0].state, HostState::Leaving);
    state.faults.lock().expect("no panic").down = true;
    assert!(client.list().is_err());
}

#[test]
fn engine_takes_orders_and_refuses_old_tokens() {
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
    client.load(&target, &order(5, 60)).expect("there is room");
    client.load(&target, &order(5, 60)).expect("loading twice is idempotent");
    state.models.finish_load(&service);
    let status = client.status(&target).expect("up");
    assert_eq!(status.model(&service).map(|m| m.state), Some(ModelState::Ready));
    assert_eq!(client.load(&target, &order(4, 60)), Err(Error::StaleFence { seen: 5 }));
    let other = LoadOrder { service: ServiceName::from("t"), ..order(1, 60) };
    assert_eq!(client.load(&target, &other), Err(Error::OutOfMemory));
    let unload = |fence| UnloadOrder { service: service.clone(), fence };
    assert_eq!(client.unload(&target, &unload(4)), Err(Error::StaleFence { seen: 5 }));
    let running = state.models.begin_request("s").expect("it is ready");
    assert!(matches!(client.unload(&target, &unload(6)), Err(Error::Busy { .. })));
    drop(running);
    client.unload(&target, &unload(6)).expect("it is idle");
    assert!(client.status(&target).expect("up").model(&service).is_none());
    state.faults.lock().expect("no panic").lose_replies = true;
    let lost = client.load(&target, &order(7, 60)).expect_err("the reply was lost");
    assert!(lost.may_have_taken_effect(), "{lost:?}");
}
