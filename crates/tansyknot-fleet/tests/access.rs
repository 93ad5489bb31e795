//! Identification of teams by key, ages of the view of the keys, quota accounts and shares.

use std::{net::SocketAddr, time::Duration};

use tansyknot_core::{clock::Time, key::KeyDigest, name::TeamName};
use tansyknot_fleet::{
    access::{
        self, AccessOptions, Denied, RequestCredentials,
        account::{Account, WithdrawalOutcome},
        lending::{QuotaAccounts, QuotaWithdrawal},
        message::{LentShare, Stamp, TeamUse, Verdict},
        pending::PendingQuotas,
        share::{self, Share},
        team::{Quota, Team, TeamEntry, Teams, TeamsError, Unit},
        view::{self, KeyView, ViewOptions},
    },
    dissemination::{datagram, message::Message},
};
use yare::parameterized;

const QUOTA: Quota =
    Quota { unit: Unit::Tokens, rate: 1_000.0, burst: 1_000.0, default_units: 200.0 };
const OPTIONS: AccessOptions = AccessOptions {
    view: ViewOptions {
        accept_known_for: Duration::from_secs(4),
        reject_unknown_for: Duration::from_secs(3),
    },
    window: Duration::from_secs(8),
    overshoot: 0.0,
    slack: 0.0,
};

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn team(name: &str, quota: Option<Quota>) -> Team {
    Team { name: name.into(), priority: None, quota, regions: None }
}

fn teams(quota: Quota) -> Teams {
    let keys = vec![KeyDigest::of("k1")];
    Teams::new(vec![TeamEntry { team: team("alpha", Some(quota)), keys }])
        .expect("the team is valid")
}

#[parameterized(
    duplicate_name = { ["alpha", "alpha"], [&["k1"], &["k2"]], Err(TeamsError::DuplicateName("alpha".into())) },
    duplicate_key = { ["alpha", "beta"], [&["k1"], &["k1"]], Err(TeamsError::DuplicateKey("beta".into(), "alpha".into())) },
    empty_key = { ["alpha", "beta"], [&["k1"], &[""]], Err(TeamsError::EmptyKey("beta".into())) },
    valid = { ["alpha", "beta"], [&["k1"], &["k2"]], Ok(()) },
)]
fn invalid_teams_are_an_error(
    names: [&str; 2],
    keys: [&[&str]; 2],
    expected: Result<(), TeamsError>,
) {
    let entry = |(name, keys): (&str, &[&str])| TeamEntry {
        team: team(name, None),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
    };
    let entries = names.into_iter().zip(keys).map(entry).collect();
    assert_eq!(Teams::new(entries).map(drop), expected);
}

#[parameterized(
    known_in_fresh_view = { "k1", 4_000, Ok(()) },
    known_in_old_view = { "k1", 4_001, Err(Denied::StaleKeys) },
    unknown_in_fresh_view = { "k2", 3_000, Err(Denied::UnknownKey) },
    unknown_in_old_view = { "k2", 3_001, Err(Denied::StaleKeys) },
)]
fn view_must_be_fresh_to_accept_or_reject_a_key(
    key: &str,
    age_ms: u64,
    expected: Result<(), Denied>,
) {
    let mut key_view = KeyView::default();
    key_view.record_in_force(7, at(0));
    let credentials = RequestCredentials { key: Some(key), arrived: at(age_ms), version: 7 };
    let result = access::identify(&teams(QUOTA), credentials, &key_view, &OPTIONS.view);
    assert_eq!(result.map(drop), expected);
    let other = RequestCredentials { version: 8, ..credentials };
    let result = access::identify(&teams(QUOTA), other, &key_view, &OPTIONS.view);
    assert_eq!(result.map(drop), Err(Denied::StaleKeys), "the view is of another version");
}

#[parameterized(
    no_wait = { None, false, 700, 0 },
    full_wait = { Some(500), false, 700, 500 },
    ended_early = { Some(500), false, 300, 0 },
    change = { Some(500), true, 700, 0 },
)]
fn answer_proves_what_was_so_when_it_can_have_been_made(
    wait_ms: Option<u64>,
    has_changed: bool,
    received_ms: u64,
    proven_ms: u64,
) {
    let wait = wait_ms.map(Duration::from_millis);
    assert_eq!(view::proven_at(at(0), wait, has_changed, at(received_ms)), at(proven_ms));
}

#[test]
fn account_fills_at_the_rate_and_holds_the_burst() {
    let mut account = Account::open(QUOTA, &OPTIONS, at(0));
    assert_eq!(
        account.take(100.0, at(0)),
        WithdrawalOutcome::Opening,
        "a new account lets daemons retry"
    );
    assert_eq!(account.take(400.0, at(500)), WithdrawalOutcome::Taken);
    assert!((account.left(at(60_000)) - 1_000.0).abs() < 1.0);
    assert_eq!(account.take(1_000.0, at(60_000)), WithdrawalOutcome::Taken);
    assert_eq!(
        account.take(500.0, at(60_000)),
        WithdrawalOutcome::Over(Duration::from_millis(500))
    );
    let WithdrawalOutcome::Over(wait) = account.take(500.0, at(60_000)) else {
        panic!("the account is empty")
    };
    assert!(wait > Duration::from_millis(900), "requests refused before are retried first");
    assert_eq!(account.take(500.0, at(60_500)), WithdrawalOutcome::Taken);
    assert_eq!(account.take(9_000.0, at(70_000)), WithdrawalOutcome::Taken, "more than the burst");
    assert!(account.left(at(70_000)) < -7_000.0);
    assert!(
        matches!(account.take(1e18, at(90_000)), WithdrawalOutcome::Over(_)),
        "it would block the team"
    );
    assert!(account.left(at(90_000)) > 999.0);
}

#[test]
fn units_given_back_count_as_never_taken() {
    let mut account = Account::open(QUOTA, &OPTIONS, at(0));
    assert_eq!(account.take(1_000.0, at(10_000)), WithdrawalOutcome::Taken);
    // Without the withdrawal the account would have stayed full, so it is full now and no more.
    account.give_back(1_000.0, Duration::from_millis(3_000), at(13_000));
    assert!((account.left(at(13_000)) - 1_000.0).abs() < 1.0);
    assert_eq!(account.take(1_000.0, at(13_000)), WithdrawalOutcome::Taken);
    account.give_back(5_000.0, Duration::ZERO, at(13_000));
    assert!(
        (account.left(at(13_000)) - 1_000.0).abs() < 1.0,
        "no more units are given back than were taken"
    );
}

#[test]
fn changed_quota_applies_from_the_change_on() {
    let mut account = Account::open(QUOTA, &OPTIONS, at(0));
    let low = Quota { rate: 100.0, burst: 100.0, ..QUOTA };
    account.set_quota(low, &OPTIONS, at(10_000));
    assert!((account.left(at(10_000)) - 100.0).abs() < 1.0);
    account.set_quota(QUOTA, &OPTIONS, at(11_000));
    assert!((account.left(at(11_200)) - 300.0).abs() < 2.0);
}

#[test]
fn share_expires_by_the_clock_of_the_requesting_daemon() {
    let mut share = Share::new(10_000.0, 1, at(0), at(0));
    assert!(share.take(500.0, 0.9, at(100)));
    // A delayed reply renews the share from the time of the report, not of its arrival.
    share.renew(10_000.0, 1, at(1_000), at(2_500));
    let end = 1_000 + share::SHARE_LIFETIME.as_millis() as u64;
    assert!(share.take(500.0, 0.9, at(end - 1)));
    assert!(!share.take(500.0, 0.9, at(end)));
    share.renew(10_000.0, 1, at(900), at(end));
    assert!(!share.take(500.0, 0.9, at(end)), "the reply to an older report renews nothing");
}

#[test]
fn share_smaller_than_a_request_grants_requests_at_its_rate() {
    let mut share = Share::new(60.0, 1, at(0), at(0));
    let mut taken = 0.0;
    for n in 1..=2_000_u64 {
        let now = at(n * 100);
        share.renew(60.0, 1, now, now);
        // The draws are spread evenly from 0 to 1.
        let draw = (n * 7_919 % 2_000) as f64 / 2_000.0;
        taken += if share.take(900.0, draw, now) { 900.0 } else { 0.0 };
    }
    let rate = taken / 200.0;
    assert!((30.0..=66.0).contains(&rate), "{rate} units a second from a share of 60");
}

#[test]
fn repeated_quota_request_is_counted_once() {
    let mut accounts = QuotaAccounts::default();
    let (from, teams, alpha): (SocketAddr, _, TeamName) =
        (([10, 0, 0, 1], 7).into(), teams(QUOTA), "alpha".into());
    accounts.begin(1, at(0));
    accounts.maintain(&teams, &OPTIONS, at(0));
    let mut take = |number| {
        let withdrawal = QuotaWithdrawal { from, number, team: &alpha, units: 600.0 };
        accounts.take(withdrawal, &teams, &OPTIONS, at(2_000))
    };
    assert_eq!([take(1), take(1)], [Verdict::Granted; 2]);
    assert!(matches!(take(2), Verdict::Over { .. }));
}

#[test]
fn unresponsive_daemon_is_charged_until_its_share_expires() {
    let mut accounts = QuotaAccounts::default();
    let (from, teams): (SocketAddr, _) = (([10, 0, 0, 1], 7).into(), teams(QUOTA));
    accounts.begin(1, at(0));
    let uses =
        [TeamUse { team: "alpha".into(), per_s: 500, retried: 0, lent: 0, returned: Vec::new() }];
    for n in 0..10 {
        accounts.maintain(&teams, &OPTIONS, at(n * 300));
        accounts.record_use(from, &uses, &teams, &OPTIONS, at(n * 300));
    }
    let lent = accounts.lend(from, &teams, at(2_700));
    let rate = f64::from(lent[0].rate);
    assert!(rate > 500.0 && rate < 1_000.0, "{rate} units a second lent");
    (10..60).for_each(|n| accounts.maintain(&teams, &OPTIONS, at(n * 300)));
    let left = accounts.left(at(18_000))[0].1;
    assert!(
        (left - 1_000.0).abs() < 1.0,
        "its share has expired, but the account has {left} units"
    );
}

// A daemon restarted at the same address may receive the planner's reply to its previous run, whose
// clock was ahead. If it accepted the reply, it would treat an old view as fresh.
#[parameterized(
    own_run = { 7, 50, Some(50) },
    earlier_run = { 6, 50, None },
    ahead_of_the_own_clock = { 7, 101, None },
)]
fn reply_proves_nothing_to_another_run(run: u64, us: u64, sent_us: Option<u64>) {
    let sent_at = Stamp { run, us }.sent_at(7, Time::from_micros(100));
    assert_eq!(sent_at, sent_us.map(Time::from_micros));
}

#[test]
fn messages_of_many_teams_fit_into_a_datagram() {
    let mut pending = PendingQuotas::default();
    for n in 0..60 {
        let team = TeamName::new(format!("team-with-a-name-{n}"));
        let number = pending.begin(&team, 1e6, at(0));
        pending.end(number);
        (0..30).for_each(|_| pending.give_back(&team, 4_000_000.0, at(0), at(1)));
    }
    let report = pending.take_report(at(2));
    assert_eq!(datagram::datagrams(Message::UsageReport(report)).len(), 1);
    let lent =
        |n| LentShare { team: TeamName::new(format!("team-with-a-name-{n}")), rate: u32::MAX };
    let reply = access::message::UsageReply {
        fence: u64::MAX,
        stamp: Stamp { run: u64::MAX, us: u64::MAX },
        config: u64::MAX,
        config_age_ms: Some(u32::MAX),
        lent: (0..20).map(lent).collect(),
    };
    assert_eq!(datagram::datagrams(Message::UsageReply(reply)).len(), 1);
}
