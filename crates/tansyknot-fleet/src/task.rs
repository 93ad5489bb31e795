//! Carries out a task: sends its orders to the target one after the other and sees them done.

mod effect;
mod load;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, atomic::AtomicUsize},
    time::Duration,
};

use tansyknot_core::{clock::Time, event, metric, name::TargetName, telemetry::Recorder};

use crate::{
    backoff,
    dissemination::message::TargetNote,
    keep::{Keeper, SharedLease},
    outside::{Action, Order, Ordered, Targets},
    plan::{Step, Task},
    state::State,
    target::{self, Born, Held, Report, Target},
};

use effect::{apply, describe, same_models, without};

/// Pause before an order is sent again that met another one under way, at first. It doubles, so
/// that a removal that waits for its runs is not asked for all the time.
const CONFLICT_PAUSE: Duration = Duration::from_millis(10);
/// The longest such pause.
const CONFLICT_PAUSE_MOST: Duration = Duration::from_millis(80);
/// Pause after a model's removal, which takes some ms if nobody uses it.
const REMOVAL_PAUSE: Duration = Duration::from_millis(10);
/// Conflicts after which the target is asked what it has accepted.
const CONFLICTS_BEFORE_REPORT: u32 = 5;
/// Conflicts after which the task is given up: some seconds, as a removal waits for its runs.
const CONFLICTS_MAX: u32 = 60;
/// A report may be this old, so what was done before that long shows in it.
const REPORT_LAG: Duration = Duration::from_millis(400);
/// Orders without an answer after which the task is given up.
const SILENCES_MAX: u32 = 3;
/// Pause between two looks for the end of a load.
const LOAD_LOOK: Duration = Duration::from_millis(120);
/// Reports after which a load that does not end is given up.
const LOAD_REPORTS: u32 = 30;

/// What tasks work with.
pub struct Orders {
    /// The shared state.
    pub state: Arc<State>,
    /// Keeps the lease that allows orders.
    pub keeper: Arc<Keeper>,
    /// The lease.
    pub lease: Arc<SharedLease>,
    /// Calls to targets.
    pub targets: Arc<dyn Targets>,
    /// Where figures go.
    pub recorder: Arc<dyn Recorder>,
    /// This daemon's name.
    pub daemon: Arc<str>,
    /// Loads that should be done by now and have not shown in the list of targets.
    pub due: AtomicUsize,
    /// What targets have accepted from this planner.
    pub ledger: Mutex<Ledger>,
}

/// What targets have accepted under one lease.
///
/// It goes before the list of targets, which may be seconds old: as long as a target has accepted
/// no more orders than stand here, it holds what stands here.
#[derive(Debug, Default)]
pub struct Ledger {
    fence: u64,
    targets: HashMap<TargetName, Account>,
    notes: u64,
}

#[derive(Clone, Debug)]
struct Account {
    born: Option<Born>,
    orders: u64,
    models: Vec<Held>,
}

/// A task under way.
struct Progress {
    target: Arc<Target>,
    models: Vec<Held>,
    orders: u64,
}

/// How a task has ended, as far as its target's next task is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// All of it was done.
    Done,
    /// The target holds other models than were planned with, which are known now.
    Replan,
    /// The target does not do what it is told.
    Failed,
}

/// Why a task has ended before its last order was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stopped {
    /// This daemon may not order any more.
    LeaseLost,
    /// The target has accepted other orders than this task knows of.
    Overtaken,
    /// The target holds other models than the task was planned with.
    Outdated,
    /// The target does not answer.
    Silent,
    /// The target refuses the order.
    Refused,
    /// The load did not end in time.
    NotLoaded,
    /// The target has started again since the task was planned.
    Restarted,
}

impl Stopped {
    fn name(self) -> &'static str {
        match self {
            Stopped::LeaseLost => "lease_lost",
            Stopped::Overtaken => "overtaken",
            Stopped::Outdated => "outdated",
            Stopped::Silent => "silent",
            Stopped::Refused => "refused",
            Stopped::NotLoaded => "not_loaded",
            Stopped::Restarted => "restarted",
        }
    }
}

impl Orders {
    /// Carries out a task.
    pub fn run(&self, task: &Task) -> TaskEnd {
        let mut progress = Progress {
            target: Arc::clone(&task.target),
            models: task.target.models.clone(),
            orders: 0,
        };
        let result = self.carry_out(&mut progress, task);
        if let Err((stopped, at)) = result {
            event::FLEET_ORDER_FAILED.emit(&[
                ("target", &task.target.name),
                ("order", &at.map_or_else(String::new, |step| describe(&step.action))),
                ("accepted", &progress.orders),
                ("reason", &stopped.name()),
            ]);
            self.recorder.count(metric::ORDERS_FAILED.name, &task.target.service, 1);
            self.ledger().targets.remove(&task.target.name);
            self.publish(&progress, progress.models.clone());
            let is_known = stopped == Stopped::Outdated;
            return if is_known { TaskEnd::Replan } else { TaskEnd::Failed };
        }
        let born = progress.target.born;
        let account = Account { born, orders: progress.orders, models: progress.models };
        self.ledger().targets.insert(task.target.name.clone(), account);
        TaskEnd::Done
    }

    fn carry_out<'a>(
        &self,
        progress: &mut Progress,
        task: &'a Task,
    ) -> Result<(), (Stopped, Option<&'a Step>)> {
        self.begin(progress).map_err(|stopped| (stopped, None))?;
        for step in &task.steps {
            self.step(progress, step).map_err(|stopped| (stopped, Some(step)))?;
        }
        Ok(())
    }

    /// Finds out how many orders the target has accepted, and that it holds what was planned with.
    fn begin(&self, progress: &mut Progress) -> Result<(), Stopped> {
        let fence = self.keeper.cover(&progress.target.name).ok_or(Stopped::LeaseLost)?;
        let known = {
            let mut ledger = self.ledger();
            if ledger.fence != fence {
                *ledger = Ledger { fence, ..Ledger::default() };
            }
            ledger.targets.get(&progress.target.name).cloned()
        };
        let known = known.filter(|known| target::may_be_same_run(known.born, progress.target.born));
        if let Some(known) = known {
            progress.orders = known.orders;
            return self.agree(progress, known.models);
        }
        let report = self.report(progress)?;
        progress.orders = report.orders;
        if report.busy {
            return Err(Stopped::Overtaken);
        }
        self.agree(progress, report.models)
    }

    /// Gives the task up if the target holds other models than it was planned with.
    fn agree(&self, progress: &mut Progress, models: Vec<Held>) -> Result<(), Stopped> {
        if same_models(&models, &progress.models) {
            return Ok(());
        }
        progress.models = models;
        Err(Stopped::Outdated)
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no holder of the lock panics")
    }

    fn now(&self) -> Time {
        self.state.now()
    }

    fn step(&self, progress: &mut Progress, step: &Step) -> Result<(), Stopped> {
        if let Action::Remove { model, adapter: None } = &step.action {
            // Requests are kept away before the target begins to refuse them.
            let left = without(&progress.models, model);
            self.publish(progress, left);
        }
        let began = self.now();
        let ordered = self.accepted(progress, &step.action)?;
        event::FLEET_ORDERED.emit(&[
            ("target", &progress.target.name),
            ("order", &describe(&step.action)),
            ("accepted", &progress.orders),
            ("took_ms", &self.now().since(began).as_millis()),
        ]);
        self.recorder.count(metric::ORDERS.name, &progress.target.service, 1);
        apply(&mut progress.models, &step.action);
        match &step.action {
            Action::Load { model, adapter: None } if ordered == Ordered::Accepted => {
                self.await_load(progress, model, step.takes).inspect_err(|_| {
                    // Whether it is there is for the next task's report to say.
                    progress.models.retain(|h| h.model != *model);
                })?;
            }
            Action::Remove { adapter: None, .. } => {
                // What is left has been published before the order.
                self.pause(REMOVAL_PAUSE);
                return Ok(());
            }
            _ => {}
        }
        self.publish(progress, progress.models.clone());
        Ok(())
    }

    /// Sends an order until the target has accepted it.
    ///
    /// One without an answer is sent again at once: both expect the same count, so that the target
    /// carries out one of them at most.
    fn accepted(&self, progress: &mut Progress, action: &Action) -> Result<Ordered, Stopped> {
        let (mut conflicts, mut silences) = (0, 0);
        loop {
            match self.send(progress, action)? {
                Some(Ordered::Accepted) => {
                    progress.orders += 1;
                    return Ok(Ordered::Accepted);
                }
                Some(Ordered::Refused) => return Err(Stopped::Refused),
                Some(Ordered::Done) if silences == 0 => {
                    self.settle_done(progress, action);
                    return Ok(Ordered::Done);
                }
                Some(Ordered::Conflict) if silences == 0 => {
                    conflicts += 1;
                    if conflicts > CONFLICTS_MAX {
                        return Err(Stopped::Overtaken);
                    }
                    self.pause(backoff::grown(CONFLICT_PAUSE, conflicts - 1, CONFLICT_PAUSE_MOST));
                    if conflicts % CONFLICTS_BEFORE_REPORT == 0 {
                        let is_settled = conflicts > CONFLICTS_BEFORE_REPORT;
                        self.check_count(progress, is_settled)?;
                    }
                }
                // The one that was not answered may have been carried out.
                Some(Ordered::Done | Ordered::Conflict) => {
                    self.pause(REPORT_LAG);
                    if self.was_carried_out(progress, action)? {
                        return Ok(Ordered::Done);
                    }
                    silences = 0;
                }
                None => {
                    silences += 1;
                    if silences >= SILENCES_MAX {
                        return Err(Stopped::Silent);
                    }
                }
            }
        }
    }

    /// Sends an order once; `None` if it was not answered.
    fn send(&self, progress: &Progress, action: &Action) -> Result<Option<Ordered>, Stopped> {
        let name = &progress.target.name;
        let fence = self.keeper.cover(name).ok_or(Stopped::LeaseLost)?;
        let order = Order {
            action: action.clone(),
            expected: progress.orders,
            holder: Arc::clone(&self.daemon),
            fence,
        };
        let still_allowed = || {
            let now = self.now();
            let allowed = self.lease.may_order(name, now) == Some(fence);
            self.lease.ordered(name, now);
            allowed
        };
        match self.targets.order(&progress.target, &order, &still_allowed) {
            Ok(ordered) => Ok(Some(ordered)),
            Err(e) => {
                log::debug!("{name} did not answer an order: {e}");
                Ok(None)
            }
        }
    }

    /// Finds out whether an order without an answer was carried out.
    ///
    /// A higher count alone does not tell: an earlier order may have been carried out late.
    fn was_carried_out(&self, progress: &mut Progress, action: &Action) -> Result<bool, Stopped> {
        let mut expected = progress.models.clone();
        apply(&mut expected, action);
        for _ in 0..LOAD_REPORTS {
            let report = self.report(progress)?;
            if report.orders <= progress.orders {
                return Ok(false);
            }
            if !report.busy {
                progress.orders = report.orders;
                if same_models(&report.models, &expected) {
                    return Ok(true);
                }
                progress.models = report.models;
                return Err(Stopped::Overtaken);
            }
            self.pause(LOAD_LOOK);
        }
        Err(Stopped::Silent)
    }

    /// An adapter that is removed at once counts as an order; what already holds does not.
    fn settle_done(&self, progress: &mut Progress, action: &Action) {
        if let Action::Remove { adapter: Some(_), .. } = action {
            progress.orders += 1;
        }
    }

    /// Gives the task up if the target has accepted other orders than this task counts. A report
    /// that says fewer may be old, unless the orders before it are long since settled.
    fn check_count(&self, progress: &mut Progress, is_settled: bool) -> Result<(), Stopped> {
        let report = self.report(progress)?;
        let may_be_old = report.orders < progress.orders && !is_settled;
        if report.orders == progress.orders || may_be_old {
            return Ok(());
        }
        progress.orders = report.orders;
        if !report.busy {
            progress.models = report.models;
        }
        Err(Stopped::Overtaken)
    }

    fn report(&self, progress: &Progress) -> Result<Report, Stopped> {
        let report = self.targets.report(&progress.target).map_err(|e| {
            log::debug!("{} did not report: {e}", progress.target.name);
            Stopped::Silent
        })?;
        let is_same = target::may_be_same_run(progress.target.born, report.born);
        if is_same { Ok(report) } else { Err(Stopped::Restarted) }
    }

    /// Takes what the task knows of the target into this daemon's view, from where all are told.
    fn publish(&self, progress: &Progress, models: Vec<Held>) {
        let (fence, revision) = {
            let mut ledger = self.ledger();
            ledger.notes += 1;
            (ledger.fence, ledger.notes)
        };
        let now = self.now();
        let mut fleet = self.state.fleet();
        let target = progress.target.name.clone();
        let Some(state) = fleet.target(&target).map(|t| t.state) else { return };
        let born = progress.target.born;
        fleet.note(&TargetNote { target, born, revision, state, models }, fence, now);
        drop(fleet);
        self.state.view_changed();
    }

    fn pause(&self, span: Duration) {
        self.state.clock.sleep(span);
    }
}
