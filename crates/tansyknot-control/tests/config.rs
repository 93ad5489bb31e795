//! Configuration versions: each is accepted once, and the version in force never decreases.

mod support;

use support::{OBJECTS, World};
use tansyknot_config::{
    document,
    object::Object,
    objects_in_force::{ConfigVersion, ObjectChange},
};
use tansyknot_control::config::{self, ApplyError, Author, ConfigView, FollowOutcome};
use tansyknot_core::{
    Error, Result,
    host::Fencing,
    table::{Row, Table, Transaction},
};
use tansyknot_standins::fake::{CommitFault, FakeTable};
use yare::parameterized;

fn adapter(name: &str) -> ObjectChange {
    let text = format!("kind: adapter\nname: {name}\nservice: permit\n");
    ObjectChange::Put(document::read(&text, "test").expect("the object is valid").remove(0))
}

fn author(name: &str) -> Author {
    Author { name: name.to_owned(), at_ms: 1 }
}

fn apply_one(
    table: &FakeTable,
    base: ConfigVersion,
    name: &str,
) -> std::result::Result<u64, ApplyError> {
    config::apply(table, base, &[adapter(name)], &author(name))
}

#[parameterized(
    no_fault = { &[] },
    reply_lost = { &[CommitFault::LostReply] },
    request_lost = { &[CommitFault::LostRequest] },
    both_lost = { &[CommitFault::LostRequest, CommitFault::LostReply] },
)]
fn change_is_accepted_once_whatever_reply_is_lost(faults: &[CommitFault]) {
    let table = FakeTable::default();
    table.script(faults.iter().copied());
    assert_eq!(apply_one(&table, 0, "a"), Ok(1));
    let (head, _) = config::read_head(&table).expect("up");
    assert_eq!(head.version, 1);
    assert_eq!(config::read_changes(&table, 0, 10).expect("up").len(), 1);
}

#[parameterized(
    no_fault = { &[] },
    reply_lost = { &[CommitFault::LostReply] },
    request_lost = { &[CommitFault::LostRequest] },
)]
fn loser_of_a_race_is_told_which_version_won(faults: &[CommitFault]) {
    let table = FakeTable::default();
    let rival = table.new_connection();
    table.set_before_commit(Box::new(move || {
        assert_eq!(apply_one(&rival, 0, "rival"), Ok(1));
    }));
    table.script(faults.iter().copied());
    assert_eq!(apply_one(&table, 0, "late"), Err(ApplyError::VersionConflict { accepted: 1 }));
    let changes = config::read_changes(&table, 0, 10).expect("up");
    assert_eq!(changes.iter().map(|c| c.author.as_str()).collect::<Vec<_>>(), ["rival"]);
}

#[test]
fn change_on_top_of_an_older_version_is_refused() {
    let table = FakeTable::default();
    apply_one(&table, 0, "a").expect("no other change was accepted");
    apply_one(&table, 1, "b").expect("no other change was accepted");
    assert_eq!(apply_one(&table, 1, "c"), Err(ApplyError::VersionConflict { accepted: 2 }));
}

/// A table whose scans fail if their reply has more rows than the daemon's link can transfer
/// within the timeout of a call.
struct LimitedTable {
    table: FakeTable,
    max_rows: usize,
}

impl Table for LimitedTable {
    fn read(&self, key: &str) -> Result<Option<Row>> {
        self.table.read(key)
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        let rows = self.table.scan(prefix, after, limit)?;
        if rows.len() > self.max_rows {
            return Err(Error::unknown("table", "timeout in the answer"));
        }
        Ok(rows)
    }

    fn commit(&self, txn: &Transaction) -> Result<()> {
        self.table.commit(txn)
    }
}

#[test]
fn daemon_that_cannot_read_all_changes_in_one_call_reads_the_objects() {
    let table = FakeTable::default();
    let view = ConfigView::default();
    apply_one(&table, 0, "a").expect("no other change was accepted");
    assert_eq!(view.follow(&table), Ok(FollowOutcome::Applied(1)));
    for base in 1..200 {
        apply_one(&table, base, "a").expect("no other change was accepted");
    }
    let limited = LimitedTable { table: table.new_connection(), max_rows: 50 };
    assert_eq!(view.follow(&limited), Ok(FollowOutcome::Applied(200)));
}

#[test]
fn every_version_is_followed_in_order() {
    let table = FakeTable::default();
    let view = ConfigView::default();
    assert_eq!(view.follow(&table), Ok(FollowOutcome::Unchanged));
    for version in 1..=5 {
        apply_one(&table, version - 1, &format!("a{version}"))
            .expect("no other change was accepted");
        assert_eq!(view.follow(&table), Ok(FollowOutcome::Applied(version)));
    }
    assert_eq!(view.with(|s| s.adapters().count()), 5);
}

#[test]
fn stale_read_never_lowers_the_version() {
    let table = FakeTable::default();
    table.set_stale(2);
    let view = ConfigView::default();
    for version in 1..=4 {
        apply_one_fresh(&table, version - 1, &format!("a{version}"));
    }
    table.set_stale(0);
    assert_eq!(view.follow(&table), Ok(FollowOutcome::Applied(4)));
    table.set_stale(2);
    assert_eq!(view.follow(&table), Ok(FollowOutcome::OlderIgnored(2)));
    assert_eq!(view.version(), 4);
    table.set_stale(0);
    assert_eq!(view.follow(&table), Ok(FollowOutcome::Unchanged));
}

/// Applies a change with current reads while the table serves stale reads otherwise.
fn apply_one_fresh(table: &FakeTable, base: ConfigVersion, name: &str) {
    let stale_commits = table.state.faults().stale_commits;
    table.state.faults.lock().expect("no panic").stale_commits = usize::MAX;
    apply_one(table, base, name).expect("no other change was accepted");
    table.set_stale(stale_commits);
}

#[test]
fn restarted_daemon_does_not_accept_a_stale_first_read() {
    let table = FakeTable::default();
    table.set_stale(1);
    for version in 1..=3 {
        apply_one_fresh(&table, version - 1, &format!("a{version}"));
    }
    let restarted = ConfigView::default();
    assert_eq!(restarted.follow(&table), Ok(FollowOutcome::OlderIgnored(2)));
    assert_eq!(restarted.version(), 0);
    table.set_stale(0);
    assert_eq!(restarted.follow(&table), Ok(FollowOutcome::Applied(3)));
}

#[test]
fn outage_leaves_the_version_in_force() {
    let table = FakeTable::default();
    let view = ConfigView::default();
    apply_one(&table, 0, "a").expect("no other change was accepted");
    view.follow(&table).expect("up");
    table.set_unreachable(true);
    assert!(view.follow(&table).is_err());
    assert_eq!(view.version(), 1);
    assert_eq!(view.with(|s| s.adapters().count()), 1);
    // A daemon that starts during the outage has no configuration instead of an older one.
    let restarted = ConfigView::default();
    assert!(restarted.follow(&table).is_err());
    assert_eq!(restarted.version(), 0);
}

#[test]
fn daemon_far_behind_reads_the_objects_instead_of_the_changes() {
    let table = FakeTable::default();
    let view = ConfigView::default();
    apply_one(&table, 0, "a0").expect("no other change was accepted");
    view.follow(&table).expect("up");
    for version in 1..=450 {
        apply_one(&table, version, &format!("a{version}")).expect("no other change was accepted");
    }
    assert_eq!(view.follow(&table), Ok(FollowOutcome::Applied(451)));
    assert_eq!(view.with(|s| s.adapters().count()), 451);
}

#[test]
fn missing_change_is_made_good_from_the_objects() {
    let table = FakeTable::default();
    let view = ConfigView::default();
    apply_one(&table, 0, "a").expect("no other change was accepted");
    view.follow(&table).expect("up");
    apply_one(&table, 1, "b").expect("no other change was accepted");
    apply_one(&table, 2, "c").expect("no other change was accepted");
    let lost = Transaction::default().set(config::change_key(2), None);
    table.commit(&lost).expect("up");
    assert_eq!(view.follow(&table), Ok(FollowOutcome::Applied(3)));
    assert_eq!(view.with(|s| s.adapters().count()), 3);
}

#[test]
fn rows_that_do_not_belong_together_are_not_brought_in_force() {
    let table = FakeTable::default();
    apply_one(&table, 0, "a").expect("no other change was accepted");
    apply_one(&table, 1, "b").expect("no other change was accepted");
    // The state that a scan of a lagging replica returns: the newest object is still missing.
    let lagging = Transaction::default().set("config/object/adapter/b", None);
    table.commit(&lagging).expect("up");
    let view = ConfigView::default();
    assert_eq!(view.follow(&table), Ok(FollowOutcome::Inconsistent));
    assert_eq!(view.version(), 0);
}

#[test]
fn deleted_object_is_gone_and_stays_gone() {
    let table = FakeTable::default();
    let view = ConfigView::default();
    apply_one(&table, 0, "a").expect("no other change was accepted");
    apply_one(&table, 1, "b").expect("no other change was accepted");
    view.follow(&table).expect("up");
    let op = ObjectChange::Delete("adapter/a".to_owned());
    config::apply(&table, 2, &[op], &author("x")).expect("no other change was accepted");
    view.follow(&table).expect("up");
    let fresh = ConfigView::default();
    fresh.follow(&table).expect("up");
    for view in [&view, &fresh] {
        let names: Vec<String> = view.with(|s| s.adapters().map(|(n, _)| n.to_string()).collect());
        assert_eq!(names, ["b"]);
    }
}

#[test]
fn difference_leaves_equal_objects_out() {
    let world = World::new(&[80], Fencing::Checked);
    world.apply(1);
    let current = config::read_objects(&world.table).expect("up");
    let same = document::read(&OBJECTS.replace("MAX", "1"), "test").expect("the objects are valid");
    assert_eq!(config::difference(&current, &same), []);
    let other: Vec<Object> =
        document::read(&OBJECTS.replace("MAX", "2"), "test").expect("the objects are valid");
    assert_eq!(config::difference(&current, &other).len(), 1);
}

/// Checks that repeated puts and deletes of the same objects give the same result when the changes
/// are followed one by one, followed at once or read as objects.
#[test]
fn following_and_a_full_read_agree() {
    let table = FakeTable::default();
    let (step, late) = (ConfigView::default(), ConfigView::default());
    apply_one(&table, 0, "a0").expect("no other change was accepted");
    late.follow(&table).expect("up");
    for version in 1..60_u64 {
        let name = format!("a{}", version % 7);
        let op = if version % 3 == 0 {
            ObjectChange::Delete(format!("adapter/{name}"))
        } else {
            adapter(&name)
        };
        config::apply(&table, version, &[op], &author("x")).expect("no other change was accepted");
        assert_eq!(step.follow(&table), Ok(FollowOutcome::Applied(version + 1)));
    }
    assert_eq!(late.follow(&table), Ok(FollowOutcome::Applied(60)));
    let fresh = ConfigView::default();
    fresh.follow(&table).expect("up");
    let objects = |view: &ConfigView| view.with(|s| s.objects());
    assert_eq!(objects(&late), objects(&step));
    assert_eq!(objects(&late), objects(&fresh));
}
