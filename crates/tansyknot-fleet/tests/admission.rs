//! Requests that wait for slots: whose turn it is, expected waits, the bound on requests beyond the
//! slots, and the requests that wait at other daemons.

mod support;

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use support::{
    network::{Network, Node},
    target,
};
use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName, ZoneName},
};
use tansyknot_fleet::{
    admission::{self, Admission, Capacity, Place, QueueKey, Turn, totals::WaitingTotals},
    dissemination::{
        message::{Demand, TargetLoad},
        scheduling::{SchedulingReport, WaitingRequests},
    },
    fleet::{Fleet, FreePlaces, Pick, TargetRequirements, UpdateId},
    freshness::FreshnessLimits,
    scheduling,
};
use tansyknot_policy::queue::{QueueLimits, Waiter};
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn with_model<T>(model: &str, run: impl FnOnce(&TargetRequirements<'_>) -> T) -> T {
    let (service, model) = (ServiceName::from("s"), ModelName::from(model));
    run(&TargetRequirements {
        service: &service,
        model: Some(&model),
        adapter: None,
        prefix: None,
        zones: None,
        cache: Default::default(),
        origin: None,
    })
}

fn key(model: &str) -> QueueKey {
    with_model(model, QueueKey::of)
}

fn waiter(rank: u8, arrived: Time) -> Waiter {
    Waiter::of_one_team(rank, arrived, arrived + ms(4000))
}

fn waiting(rank: u8, count: u16, oldest_ms: u32) -> WaitingRequests {
    let (service, model) = (ServiceName::from("s"), Some(ModelName::from("m0")));
    WaitingRequests { service, model, rank, count, oldest_ms }
}

fn update(seq: u32) -> UpdateId {
    UpdateId { fence: 1, seq }
}

fn demand(daemon: &str, incarnation: &str, seq: u32, waiting: Vec<WaitingRequests>) -> Demand {
    Demand {
        daemon: daemon.into(),
        incarnation: incarnation.into(),
        seq,
        zone: "z1".into(),
        link_mbps: None,
        received: Default::default(),
        models: Vec::new(),
        in_flight: Vec::new(),
        poison: Default::default(),
        crashes: Vec::new(),
        signals: Vec::new(),
        promise: None,
        is_retired: false,
        software: Default::default(),
        scheduling: SchedulingReport { waiting, ..SchedulingReport::default() },
    }
}

fn fleet(admission: scheduling::Admission) -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default());
    fleet.mark_signals_synced();
    fleet.set_admission(admission);
    fleet.apply_full_list(vec![target("t1", &["m0", "m1"], &[])], 1, None, at(0));
    fleet
}

fn pick(fleet: &mut Fleet, model: &str, now: Time) -> bool {
    let mut rng = StdRng::seed_from_u64(1);
    with_model(model, |want| matches!(fleet.pick(want, &[], now, &mut rng), Pick::Target(_)))
}

/// Guards against a herd of waiters that all ask for one free slot, and against a waiter that sleeps
/// although it is the first: the next is woken when the first has got a target, or has left.
#[test]
fn only_the_first_has_its_turn_and_the_next_is_woken() {
    let mut admission = Admission::default();
    let places: Vec<Place> = (0..4).map(|i| admission.join(key("m0"), waiter(0, at(i)))).collect();
    let turns = |admission: &mut Admission| -> Vec<Turn> {
        places.iter().map(|place| admission.turn(place, at(10))).collect()
    };
    assert_eq!(turns(&mut admission)[..3], [Turn::First, Turn::Behind, Turn::Behind]);
    let woken = |i: usize| places[i].wakeup.count();
    let before = woken(1);
    admission.serve(&places[0]);
    assert_eq!((woken(1) - before, woken(2), woken(3)), (1, 0, 0));
    // The woken one has already left: the one after it is woken.
    admission.leave(&places[1]);
    assert_eq!((woken(2), woken(3)), (1, 0));
    assert_eq!(turns(&mut admission)[2..], [Turn::First, Turn::Behind]);
    // Another model's requests have a queue of their own.
    let other = admission.join(key("m1"), waiter(5, at(20)));
    assert_eq!(admission.turn(&other, at(20)), Turn::First);
}

/// Guards against memory that waiting requests use without bound, and against a displaced request
/// that waits on, also if its ticket is given to another request.
#[test]
fn last_waiter_is_displaced_beyond_the_bounds_of_all_queues() {
    let mut admission = Admission::new(QueueLimits { max_waiting: 3, max_bytes: 1000 });
    let patient = admission.join(key("m0"), waiter(2, at(0)));
    let urgent = admission.join(key("m0"), waiter(0, at(1)));
    let other = admission.join(key("m1"), waiter(2, at(2)));
    let last = admission.join(key("m0"), waiter(1, at(3)));
    assert_eq!(admission.turn(&patient, at(4)), Turn::Displaced);
    assert_eq!((patient.wakeup.count(), admission.waiting()), (1, 3));
    admission.leave(&patient);
    [&urgent, &last].into_iter().for_each(|place| admission.leave(place));
    let large = Waiter { bytes: 2000, ..waiter(0, at(5)) };
    let large = admission.join(key("m0"), large);
    assert_eq!(admission.turn(&large, at(5)), Turn::Displaced);
    let again = admission.join(key("m0"), waiter(0, at(6)));
    admission.leave(&large);
    assert_eq!(admission.turn(&again, at(6)), Turn::First);
    assert_eq!(admission.turn(&other, at(6)), Turn::First);
}

/// Guards against a second set of slots that waits at a target, and against idle slots: beyond the
/// slots, a target gets what it begins within a heartbeat.
#[test]
fn requests_beyond_the_slots_are_those_begun_within_a_heartbeat() {
    let picks = |fleet: &mut Fleet| (0..40).filter(|_| pick(fleet, "m0", at(0))).count();
    assert_eq!(picks(&mut fleet(scheduling::Admission::Unordered)), 16);
    // Nothing is known of service times: as before.
    assert_eq!(picks(&mut fleet(scheduling::Admission::Ordered)), 16);
    for (service_ms, expected) in [(600, 12), (2000, 10), (60_000, 9), (10, 16)] {
        let mut fleet = fleet(scheduling::Admission::Ordered);
        with_model("m0", |want| fleet.observe_service_time(want, ms(service_ms)));
        assert_eq!(picks(&mut fleet), expected, "{service_ms} ms");
    }
    let mut unordered = fleet(scheduling::Admission::Unordered);
    with_model("m0", |want| unordered.observe_service_time(want, ms(2000)));
    assert_eq!(picks(&mut unordered), 16);
}

/// Guards against requests that are held although they can't be served in time: the wait counts
/// those ahead at this daemon and at others.
#[test]
fn expected_wait_counts_the_requests_ahead_everywhere() {
    let mut admission = Admission::default();
    let places: Vec<Place> = (0..9).map(|i| admission.join(key("m0"), waiter(1, at(i)))).collect();
    let capacity = Capacity { slots: 8, service_time: ms(2000) };
    let expected = |admission: &Admission, i: usize| {
        let wait = admission.expected_wait(&places[i], at(i as u64), capacity, at(300));
        wait.map(|wait| (wait.ahead, wait.time))
    };
    assert_eq!(expected(&admission, 0), Some((0, ms(250))));
    assert_eq!(expected(&admission, 7), Some((7, ms(2000))));
    let elsewhere = [waiting(0, 3, 100), waiting(1, 10, 600), waiting(2, 50, 9000)];
    admission.elsewhere.apply(update(1), &elsewhere, at(300));
    // Three are more urgent, and half of the ten have waited longer than 300 ms.
    assert_eq!(expected(&admission, 0).map(|(ahead, _)| ahead), Some(3 + 5));
    let none = Capacity { slots: 0, ..capacity };
    assert_eq!(admission.expected_wait(&places[0], at(0), none, at(300)), None);
    let wait = admission::spread(ms(1000));
    assert!((ms(1000)..=ms(1250)).contains(&wait), "{wait:?}");
}

/// Guards against a daemon that takes places from those who are more urgent or have waited longer
/// elsewhere, and against places that nobody takes.
#[test]
fn places_are_left_to_those_before_at_other_daemons_and_slots_are_not() {
    let full = FreePlaces { slots: 0, total: 2 };
    let leaves = |admission: &Admission, rank, free| {
        admission.leaves_places(&key("m0"), rank, at(0), free, at(700))
    };
    let mut admission = Admission::default();
    assert!(!leaves(&admission, 1, full));
    for (elsewhere, expected) in [
        (waiting(0, 2, 10), true),
        // One of the two places is enough for the other daemon.
        (waiting(0, 1, 10), false),
        (waiting(2, 9, 5000), false),
        (waiting(1, 9, 2000), true),
        // It has waited longer, but by less than a heartbeat.
        (waiting(1, 9, 900), false),
    ] {
        admission = Admission::default();
        admission.elsewhere.apply(update(1), std::slice::from_ref(&elsewhere), at(700));
        assert_eq!(leaves(&admission, 1, full), expected, "{elsewhere:?}");
        assert!(!leaves(&admission, 1, FreePlaces { slots: 1, total: 3 }), "a slot would be idle");
    }
    admission.elsewhere.apply(update(2), &[waiting(0, 9, 10)], at(700));
    assert!(leaves(&admission, 1, full));
    // The other requests wait no longer.
    admission.elsewhere.apply(update(3), &[waiting(0, 0, 0)], at(700));
    assert!(!leaves(&admission, 1, full));
    admission.elsewhere.apply(update(4), &[waiting(0, 9, 10)], at(700));
    let later = at(700) + ms(900);
    assert!(!admission.leaves_places(&key("m0"), 1, at(0), full, later), "the planner is gone");
}

/// Guards against a daemon that leaves places to its own requests, which the announcement includes.
#[test]
fn own_requests_in_the_announcement_count_once() {
    let mut admission = Admission::default();
    let old = admission.join(key("m0"), waiter(1, at(0)));
    let new = admission.join(key("m0"), waiter(1, at(1000)));
    let mut reported = admission.report(at(1000));
    assert_eq!(reported, [waiting(1, 2, 1000)]);
    // Another daemon has a request too, which has waited for less time.
    reported[0].count += 1;
    admission.elsewhere.apply(update(1), &reported, at(1050));
    admission.serve(&old);
    let free = FreePlaces { slots: 0, total: 1 };
    assert!(!admission.leaves_places(&key("m0"), 1, at(1000), free, at(1100)));
    let capacity = Capacity { slots: 1, service_time: ms(1000) };
    let expected = admission.expected_wait(&new, at(1000), capacity, at(1100));
    assert_eq!(expected.map(|wait| wait.ahead), Some(1));
}

/// Guards against sums that count a daemon twice, or one that is gone: parts of a report add up,
/// newer reports and runs replace older ones, and reports expire.
#[test]
fn planner_sums_the_newest_reports() {
    let mut totals = WaitingTotals::default();
    totals.record(&demand("a", "run-1", 5, vec![waiting(0, 2, 100)]), at(0));
    totals.record(&demand("a", "run-1", 5, vec![waiting(1, 4, 100)]), at(0));
    totals.record(&demand("a", "run-1", 4, vec![waiting(0, 9, 900)]), at(0));
    totals.record(&demand("b", "run-1", 1, vec![waiting(0, 1, 500)]), at(100));
    let by_rank = |mut list: Vec<WaitingRequests>| {
        list.sort_by_key(|w| w.rank);
        list
    };
    let sums = by_rank(totals.announce(at(200)));
    assert_eq!(sums, [waiting(0, 3, 600), waiting(1, 4, 300)]);
    totals.record(&demand("a", "run-2", 1, vec![]), at(300));
    assert_eq!(by_rank(totals.announce(at(300))), [waiting(0, 1, 700), waiting(1, 0, 0)]);
    // Daemon b died: its report expires, which is announced as long as followers may count it.
    let ended = [waiting(0, 0, 0), waiting(1, 0, 0)];
    assert_eq!(by_rank(totals.announce(at(1050))), ended);
    assert_eq!(totals.announce(at(1150)), ended[..1]);
    assert_eq!(totals.announce(at(2000)), []);
}

/// Guards against reports that reach nobody, and against requests that others count after their
/// daemon has died: all daemons, with the planner, know who waits elsewhere within two heartbeats.
#[test]
fn all_daemons_know_the_requests_that_wait_elsewhere() {
    let mut network = Network::new(4, 2, Duration::from_secs(2));
    network.run(Duration::from_secs(4));
    let counts = |network: &Network| -> Vec<usize> {
        let now = network.now();
        let model = (ServiceName::from("s"), Some(ModelName::from("m0")));
        let ahead = |node: &Node| node.state.admission().elsewhere.ahead(&model, 1, now, now);
        network.nodes.iter().map(ahead).collect()
    };
    assert_eq!(counts(&network), [0; 4]);
    let planner = network.planner().expect("there is a planner").address;
    let waiting_at = (0..4).find(|n| network.nodes[*n].address != planner).expect("others follow");
    let arrived = network.now();
    let places: Vec<Place> = (0..3)
        .map(|_| network.nodes[waiting_at].state.admission().join(key("m0"), waiter(0, arrived)))
        .collect();
    network.run(ms(750));
    let expected: Vec<usize> = (0..4).map(|n| if n == waiting_at { 0 } else { 3 }).collect();
    assert_eq!(counts(&network), expected);
    places.iter().for_each(|place| network.nodes[waiting_at].state.admission().leave(place));
    network.run(ms(750));
    assert_eq!(counts(&network), [0; 4]);
    network.nodes[waiting_at].state.admission().join(key("m0"), waiter(0, arrived));
    network.run(ms(750));
    network.nodes[waiting_at].is_dead = true;
    network.run(ms(1600));
    let mut counts = counts(&network);
    counts.remove(waiting_at);
    assert_eq!(counts, [0; 3]);
}

/// One daemon of the simulation, and its requests that wait or run.
struct Daemon {
    fleet: Fleet,
    admission: Admission,
    waiting: Vec<(Place, Waiter)>,
}

/// Several daemons in front of one target with 8 slots.
struct Simulation {
    daemons: Vec<Daemon>,
    totals: WaitingTotals,
    now: u64,
    /// The daemon of each request at the target, in the order of their arrival there, and when it
    /// ends once it runs.
    at_target: Vec<(usize, Option<u64>)>,
    served: Vec<(usize, Waiter, u64)>,
    idle_slot_steps: u64,
    max_at_target: usize,
}

const STEP_MS: u64 = 10;
const SERVICE_MS: u64 = 1000;
const SLOTS: usize = 8;

impl Simulation {
    fn new(daemons: usize) -> Self {
        let daemon = |_| {
            let mut fleet = fleet(scheduling::Admission::Ordered);
            with_model("m0", |want| fleet.observe_service_time(want, ms(SERVICE_MS)));
            Daemon { fleet, admission: Admission::default(), waiting: Vec::new() }
        };
        Self {
            daemons: (0..daemons).map(daemon).collect(),
            totals: WaitingTotals::default(),
            now: 0,
            at_target: Vec::new(),
            served: Vec::new(),
            idle_slot_steps: 0,
            max_at_target: 0,
        }
    }

    fn arrive(&mut self, daemon: usize, rank: u8) {
        let waiter = Waiter::of_one_team(rank, at(self.now), at(self.now) + ms(60_000));
        let daemon = &mut self.daemons[daemon];
        daemon.waiting.push((daemon.admission.join(key("m0"), waiter), waiter));
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        for i in (0..self.at_target.len()).rev() {
            if self.at_target[i].1.is_some_and(|end| end <= now) {
                let (daemon, _) = self.at_target.remove(i);
                let model = ModelName::from("m0");
                self.daemons[daemon].fleet.end_request(&TargetName::from("t1"), Some(&model), 0);
            }
        }
        (0..self.daemons.len()).for_each(|daemon| self.send(daemon));
        self.max_at_target = self.max_at_target.max(self.at_target.len());
        for (i, (_, end)) in self.at_target.iter_mut().take(SLOTS).enumerate() {
            // Service times differ, so that requests do not end together.
            end.get_or_insert(now + SERVICE_MS * (80 + (now + i as u64 * 7) % 41) / 100);
        }
        self.idle_slot_steps += SLOTS.saturating_sub(self.at_target.len()) as u64;
        self.exchange();
    }

    /// Lets the first waiters of a daemon try to get the target.
    fn send(&mut self, daemon: usize) {
        let now = at(self.now);
        let d = &mut self.daemons[daemon];
        while let Some(i) =
            d.waiting.iter().position(|(place, _)| d.admission.turn(place, now) == Turn::First)
        {
            let waiter = d.waiting[i].1;
            let free = with_model("m0", |want| d.fleet.free_places(want, now));
            let (rank, arrived) = (waiter.rank, waiter.arrived);
            if d.admission.leaves_places(&key("m0"), rank, arrived, free, now)
                || !pick(&mut d.fleet, "m0", now)
            {
                return;
            }
            let (place, _) = d.waiting.remove(i);
            d.admission.serve(&place);
            self.at_target.push((daemon, None));
            self.served.push((daemon, waiter, self.now));
        }
    }

    /// Sends demand to the planner, and the planner's sums to all daemons, each 0.3 s.
    fn exchange(&mut self) {
        let (now, count) = (at(self.now), self.daemons.len() as u64);
        for (i, d) in self.daemons.iter_mut().enumerate() {
            if (self.now / STEP_MS + i as u64 * 30 / count).is_multiple_of(30) {
                let seq = (self.now / STEP_MS) as u32;
                let waiting = d.admission.report(now);
                self.totals.record(&demand(&format!("d{i}"), "run", seq, waiting), now);
            }
        }
        if !self.now.is_multiple_of(300) {
            return;
        }
        let announced = self.totals.announce(now);
        let sum = |d: &mut Daemon| d.fleet.in_flight().iter().map(|f| f.count).sum::<u16>();
        let requests = self.daemons.iter_mut().map(sum).sum();
        let load = TargetLoad { target: TargetName::from("t1"), requests, tokens: 0 };
        let id = update((self.now / 300) as u32);
        for d in &mut self.daemons {
            d.fleet.apply_loads(id, std::slice::from_ref(&load), &[], now);
            d.admission.elsewhere.apply(id, &announced, now);
        }
    }
}

/// Guards against slots that stay idle because daemons leave places to each other or know of other
/// daemons' requests late, and against daemons with few requests that pass those that waited longer.
#[parameterized(two = { 2 }, five = { 5 }, twenty = { 20 })]
fn slots_stay_busy_and_the_urgent_go_first_over_several_daemons(daemons: usize) {
    let mut simulation = Simulation::new(daemons);
    for step in 0..2000_u64 {
        // 10 requests per second at 8 slots of 1 s; daemon 0 gets half of them, and one in four is
        // urgent.
        if step % 10 == 0 {
            let n = step / 10;
            let other = 1 + (n / 2) as usize % (daemons - 1);
            simulation.arrive(if n % 2 == 0 { 0 } else { other }, u8::from(n / 2 % 4 != 1));
        }
        if step == 300 {
            simulation.idle_slot_steps = 0;
        }
        simulation.step();
    }
    let idle = simulation.idle_slot_steps as f64 / (1700 * SLOTS) as f64;
    assert!(idle < 0.01, "{idle} of the slots' time is idle");
    // With the second set of slots of unordered admission, there are 16.
    let at_target = simulation.max_at_target;
    assert!(at_target <= 2 * SLOTS, "{at_target} at the target");
    let waits = |rank: u8, is_first_daemon: bool| -> Vec<u64> {
        let is_counted = |(daemon, w, served): &&(usize, Waiter, u64)| {
            *served > 10_000 && w.rank == rank && (*daemon == 0) == is_first_daemon
        };
        let wait = |(_, w, served): &(usize, Waiter, u64)| at(*served).since(w.arrived);
        let counted = simulation.served.iter().filter(is_counted).map(wait);
        counted.map(|wait| wait.as_millis() as u64).collect()
    };
    let longest_urgent = waits(0, true).into_iter().chain(waits(0, false)).max();
    assert!(longest_urgent < Some(1000), "{longest_urgent:?} ms for an urgent request");
    let mean = |waits: Vec<u64>| waits.iter().sum::<u64>() / waits.len() as u64;
    let (at_first, at_others) = (mean(waits(1, true)), mean(waits(1, false)));
    assert!(at_first.min(at_others) > 2500, "{at_first} and {at_others} ms");
    assert!(at_first.abs_diff(at_others) < 500, "{at_first} and {at_others} ms");
}
