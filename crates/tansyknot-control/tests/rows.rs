//! Reservations: the checks and the transactions on replica and memory rows.

use tansyknot_control::replicas::{self, ReserveError, ReserveRequest, Versioned, Writer};
use tansyknot_core::{
    Error,
    name::{Incarnation, ServiceName, TargetName},
    replica::{MemoryRow, ReplicaRow, Reservation, Slot, SlotState},
};
use tansyknot_standins::fake::FakeTable;
use yare::parameterized;

fn slot(target: &str) -> Slot {
    Slot {
        target: TargetName::from(target),
        state: SlotState::Ready,
        fence: 1,
        holder: Incarnation::from("d#1"),
        token: "t".to_owned(),
        memory_bytes: 10,
        ordering: Vec::new(),
        since_ms: 0,
    }
}

fn with_slots(targets: &[&str]) -> ReplicaRow {
    ReplicaRow { last_fence: 1, slots: targets.iter().map(|t| slot(t)).collect() }
}

fn reserved(bytes: &[u64]) -> MemoryRow {
    let reservation = |(i, b): (usize, &u64)| Reservation {
        service: ServiceName::new(format!("s{i}")),
        memory_bytes: *b,
    };
    MemoryRow { reservations: bytes.iter().enumerate().map(reservation).collect() }
}

#[parameterized(
    empty = { &[], &[], 0, 1, Ok(()) },
    fits_exactly = { &[], &[50, 40], 0, 1, Ok(()) },
    below_the_limit = { &["other"], &[], 0, 2, Ok(()) },
    at_the_limit = { &["other"], &[], 0, 1, Err(ReserveError::AtLimit) },
    limit_of_zero = { &[], &[], 0, 0, Err(ReserveError::AtLimit) },
    same_target = { &["here"], &[], 0, 2, Err(ReserveError::AlreadyPlaced) },
    one_byte_short = { &[], &[50, 41], 0, 1, Err(ReserveError::NoRoom) },
    unexplained_use = { &[], &[50], 41, 1, Err(ReserveError::NoRoom) },
    overflow = { &[], &[u64::MAX], 1, 1, Err(ReserveError::NoRoom) },
)]
fn reservation_is_checked(
    slots: &[&str],
    memory: &[u64],
    unexplained_bytes: u64,
    limit: u32,
    expected: Result<(), ReserveError>,
) {
    let (service, target) = (ServiceName::from("s"), TargetName::from("here"));
    let reserve = ReserveRequest {
        service: &service,
        target: &target,
        memory_bytes: 10,
        target_bytes: 100,
        unexplained_bytes,
        limit,
        head_row: 0,
    };
    let checked = replicas::check_reserve(&reserve, &with_slots(slots), &reserved(memory));
    assert_eq!(checked, expected);
}

#[parameterized(
    replica_row_changed = { true, false },
    memory_row_changed = { false, true },
)]
fn reservation_conflicts_if_a_row_changed_since_it_was_read(replica: bool, memory: bool) {
    let table = FakeTable::default();
    let (service, target) = (ServiceName::from("s"), TargetName::from("here"));
    let reserve = ReserveRequest {
        service: &service,
        target: &target,
        memory_bytes: 10,
        target_bytes: 100,
        unexplained_bytes: 0,
        limit: 9,
        head_row: 0,
    };
    let writer = Writer { incarnation: Incarnation::from("d#1"), at_ms: 0 };
    let put = |key: String, value: &str| {
        let txn = tansyknot_core::table::Transaction::default().set(key, Some(value.to_owned()));
        tansyknot_core::table::Table::commit(&table, &txn).expect("the table is up");
    };
    if replica {
        put("replica/s".to_owned(), r#"{"last_fence":0,"slots":[]}"#);
    }
    if memory {
        put("memory/here".to_owned(), r#"{"reservations":[]}"#);
    }
    let stale = Versioned::<ReplicaRow>::default();
    let result = replicas::reserve(&table, &reserve, &stale, &Versioned::default(), &writer);
    assert!(matches!(result, Err(Error::Conflict { .. })));
}

#[test]
fn fencing_tokens_only_rise_over_the_life_of_a_row() {
    let table = FakeTable::default();
    let (service, target) = (ServiceName::from("s"), TargetName::from("here"));
    let writer = Writer { incarnation: Incarnation::from("d#1"), at_ms: 0 };
    let mut last = 0;
    for _ in 0..3 {
        let row = replicas::read_replicas(&table, &service).expect("up");
        let memory = replicas::read_memory(&table, &target).expect("up");
        let reserve = ReserveRequest {
            service: &service,
            target: &target,
            memory_bytes: 10,
            target_bytes: 100,
            unexplained_bytes: 0,
            limit: 1,
            head_row: 0,
        };
        let row = replicas::reserve(&table, &reserve, &row, &memory, &writer).expect("up");
        assert!(row.slots[0].fence > last);
        last = row.slots[0].fence;
        let row = replicas::read_replicas(&table, &service).expect("up");
        let memory = replicas::read_memory(&table, &target).expect("up");
        replicas::remove_slot(&table, &service, &row, &target, &memory).expect("up");
        assert_eq!(replicas::read_memory(&table, &target).expect("up").row.reserved_bytes(), 0);
    }
}
