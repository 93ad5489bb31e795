//! Executes a task: sends its orders to the target one after the other and waits until each is
//! done.

mod effect;
mod load;
pub mod removal;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, atomic::AtomicUsize},
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    event, metric,
    name::{ModelName, TargetName},
    telemetry::Recorder,
};

use crate::{
    backoff,
    dissemination::message::TargetOverride,
    lease_keeper::{LeaseKeeper, SharedLease},
    plan::{Step, Task},
    platform_api::{Action, Order, OrderReply, Targets},
    state::State,
    target::{self, LoadedModel, Report, StartTime, Target},
};

use effect::{apply, describe, models_without, same_models};
use removal::RemovalDelay;

/// Initial delay before an order is sent again after a conflict with another order in progress. It
/// doubles with each conflict, so that a target whose removal waits for running requests is not
/// polled constantly.
const MIN_CONFLICT_DELAY: Duration = Duration::from_millis(10);
/// Maximum delay before an order is sent again after a conflict.
const MAX_CONFLICT_DELAY: Duration = Duration::from_millis(80);
/// Number of conflicts after which a report of the target is requested, to check how many orders it
/// has accepted.
const CONFLICTS_BEFORE_REPORT: u32 = 5;
/// Conflicts after which the task is abandoned. They take several seconds, since a removal waits
/// for running requests.
const MAX_CONFLICTS: u32 = 60;
/// Maximum age of a report on arrival: it shows every order that was executed at least this long
/// before.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);
/// Consecutive orders without a response after which the task is abandoned.
const MAX_UNANSWERED_ORDERS: u32 = 3;
/// Interval between checks whether a load has ended.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(120);
/// Reports after which a load that has not ended is abandoned.
const MAX_LOAD_REPORTS: u32 = 30;

/// Executes tasks by sending their orders to the targets.
pub struct TaskRunner {
    /// The state shared by the daemon's threads.
    pub state: Arc<State>,
    /// Maintains the lease and adds targets to it.
    pub keeper: Arc<LeaseKeeper>,
    /// The lease, which is checked before each order.
    pub lease: Arc<SharedLease>,
    /// The client of the targets.
    pub targets: Arc<dyn Targets>,
    /// Receives the metrics.
    pub recorder: Arc<dyn Recorder>,
    /// This daemon's name.
    pub daemon: Arc<str>,
    /// Number of loads whose expected time is over and that do not show in the list of targets yet.
    pub overdue_loads: AtomicUsize,
    /// The orders that targets have accepted from this planner.
    pub ledger: Mutex<Ledger>,
    /// The delay between a removal and the next order.
    pub removal_delay: Mutex<RemovalDelay>,
}

/// The number of orders that each target has accepted under one fencing token, and its loaded
/// models after them.
///
/// The ledger takes precedence over the list of targets, which may be seconds old: as long as a
/// target has accepted no more orders than the ledger records, its loaded models are those in the
/// ledger.
#[derive(Debug, Default)]
pub struct Ledger {
    fence: u64,
    targets: HashMap<TargetName, LedgerEntry>,
    override_revision: u64,
}

impl Ledger {
    /// Drops what was recorded under another fencing token.
    fn begin(&mut self, fence: u64) {
        if self.fence != fence {
            *self = Self { fence, ..Self::default() };
        }
    }
}

#[derive(Clone, Debug)]
struct LedgerEntry {
    started_at: Option<StartTime>,
    orders: u64,
    models: Vec<LoadedModel>,
}

/// The progress of a task.
struct Progress<'a> {
    target: Arc<Target>,
    models: Vec<LoadedModel>,
    orders: u64,
    /// When the target accepted the removal that was its last order.
    removal_at: Option<Time>,
    on_load_accepted: &'a dyn Fn(),
}

/// How a task has ended, which determines when its target gets the next task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskOutcome {
    /// All orders were executed.
    Done,
    /// The target's loaded models differ from those that the plan assumed; they are known now.
    Replan,
    /// The target executes an order of an earlier task or of another planner, or a load of this
    /// task that has not ended in time.
    Busy,
    /// The target did not execute the orders.
    Failed,
}

/// Why a task has ended before its last order was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopReason {
    /// This daemon may no longer send orders to the target.
    LeaseLost,
    /// The target has accepted orders that this task has not sent.
    Overtaken,
    /// The target executes an order that this task has not sent, or the response to which was lost.
    Busy,
    /// The target's loaded models differ from those that the plan assumed.
    Outdated,
    /// The target does not respond.
    Unresponsive,
    /// The target has refused the order.
    Refused,
    /// The load has failed.
    NotLoaded,
    /// The load has not ended in time, and the target may still execute it.
    StillLoading,
    /// The target has started again since the task was planned.
    Restarted,
    /// The target's availability zone is drained.
    ZoneDrained,
}

impl StopReason {
    fn name(self) -> &'static str {
        match self {
            StopReason::LeaseLost => "lease_lost",
            StopReason::Overtaken => "overtaken",
            StopReason::Busy => "busy",
            StopReason::Outdated => "outdated",
            StopReason::Unresponsive => "silent",
            StopReason::Refused => "refused",
            StopReason::NotLoaded => "not_loaded",
            StopReason::StillLoading => "still_loading",
            StopReason::Restarted => "restarted",
            StopReason::ZoneDrained => "zone_drained",
        }
    }

    fn outcome(self) -> TaskOutcome {
        match self {
            StopReason::Outdated => TaskOutcome::Replan,
            StopReason::Busy | StopReason::StillLoading => TaskOutcome::Busy,
            _ => TaskOutcome::Failed,
        }
    }
}

impl TaskRunner {
    /// Executes a task.
    pub fn run(&self, task: &Task) -> TaskOutcome {
        self.run_with(task, &|| ())
    }

    /// Executes a task; calls `on_load_accepted` when the target has accepted the load of a model.
    pub fn run_with(&self, task: &Task, on_load_accepted: &dyn Fn()) -> TaskOutcome {
        let mut progress = Progress {
            target: Arc::clone(&task.target),
            models: task.target.models.clone(),
            orders: 0,
            removal_at: None,
            on_load_accepted,
        };
        let result = self.execute(&mut progress, task);
        if let Err((reason, failed_step)) = result {
            event::FLEET_ORDER_FAILED.emit(&[
                ("target", &task.target.name),
                ("order", &failed_step.map_or_else(String::new, |step| describe(&step.action))),
                ("accepted", &progress.orders),
                ("reason", &reason.name()),
            ]);
            self.recorder.count(metric::ORDERS_FAILED.name, &task.target.service, 1);
            self.ledger().targets.remove(&task.target.name);
            // An override of a target that was busy from the start would hide the end of its load.
            if reason != StopReason::Busy || failed_step.is_some() {
                self.publish(&progress.target, progress.models.clone());
            }
            return reason.outcome();
        }
        let started_at = progress.target.started_at;
        let entry = LedgerEntry { started_at, orders: progress.orders, models: progress.models };
        self.ledger().targets.insert(task.target.name.clone(), entry);
        TaskOutcome::Done
    }

    fn execute<'a>(
        &self,
        progress: &mut Progress<'_>,
        task: &'a Task,
    ) -> Result<(), (StopReason, Option<&'a Step>)> {
        self.begin(progress).map_err(|reason| (reason, None))?;
        for step in &task.steps {
            self.step(progress, step).map_err(|reason| (reason, Some(step)))?;
        }
        Ok(())
    }

    /// Determines how many orders the target has accepted, and checks that its loaded models are
    /// those that the plan assumed.
    fn begin(&self, progress: &mut Progress<'_>) -> Result<(), StopReason> {
        let fence = self.keeper.add_target(&progress.target.name).ok_or(StopReason::LeaseLost)?;
        let recorded = {
            let mut ledger = self.ledger();
            ledger.begin(fence);
            ledger.targets.get(&progress.target.name).cloned()
        };
        let recorded = recorded.filter(|recorded| {
            target::may_be_same_run(recorded.started_at, progress.target.started_at)
        });
        if let Some(recorded) = recorded {
            progress.orders = recorded.orders;
            return self.check_models(progress, recorded.models);
        }
        let report = self.report(progress)?;
        progress.orders = report.accepted_orders;
        if report.busy {
            return Err(StopReason::Busy);
        }
        self.check_models(progress, report.models)
    }

    /// Abandons the task if the target's loaded models differ from those that the plan assumed.
    fn check_models(
        &self,
        progress: &mut Progress<'_>,
        models: Vec<LoadedModel>,
    ) -> Result<(), StopReason> {
        if same_models(&models, &progress.models) {
            return Ok(());
        }
        progress.models = models;
        Err(StopReason::Outdated)
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no holder of the lock panics")
    }

    fn removal_delay(&self) -> MutexGuard<'_, RemovalDelay> {
        self.removal_delay.lock().expect("no holder of the lock panics")
    }

    fn now(&self) -> Time {
        self.state.now()
    }

    fn step(&self, progress: &mut Progress<'_>, step: &Step) -> Result<(), StopReason> {
        if let Action::Remove { model, adapter: None } = &step.action {
            // Daemons stop sending requests for the model before the target begins to refuse them.
            let left = models_without(&progress.models, model);
            self.publish(&progress.target, left);
        }
        let began = self.now();
        let ordered = self.send_until_accepted(progress, &step.action)?;
        event::FLEET_ORDERED.emit(&[
            ("target", &progress.target.name),
            ("order", &describe(&step.action)),
            ("accepted", &progress.orders),
            ("took_ms", &self.now().since(began).as_millis()),
        ]);
        self.recorder.count(metric::ORDERS.name, &progress.target.service, 1);
        apply(&mut progress.models, &step.action);
        match &step.action {
            Action::Load { model, adapter: None } if ordered == OrderReply::Accepted => {
                (progress.on_load_accepted)();
                self.await_load(progress, model, step.expected_duration).inspect_err(|_| {
                    // The next task's report shows whether the model is loaded.
                    progress.models.retain(|h| h.model != *model);
                })?;
            }
            Action::Remove { adapter: None, .. } => {
                // The remaining models were published before the order.
                progress.removal_at = (ordered == OrderReply::Accepted).then(|| self.now());
                let delay = self.removal_delay().current();
                self.pause(delay);
                return Ok(());
            }
            _ => {}
        }
        self.publish(&progress.target, progress.models.clone());
        Ok(())
    }

    /// Sends an order repeatedly until the target has accepted it.
    ///
    /// An order without a response is retried immediately: both carry the same expected order
    /// count, so the target executes at most one of them.
    fn send_until_accepted(
        &self,
        progress: &mut Progress<'_>,
        action: &Action,
    ) -> Result<OrderReply, StopReason> {
        let (mut conflicts, mut unanswered) = (0, 0);
        let removal_at = progress.removal_at.take();
        loop {
            let sent_at = self.now();
            match self.send(progress, action)? {
                Some(OrderReply::Accepted) => {
                    progress.orders += 1;
                    if let Some(removal_at) = removal_at.filter(|_| unanswered == 0) {
                        let elapsed = sent_at.since(removal_at);
                        self.removal_delay().observe(elapsed, conflicts > 0);
                    }
                    return Ok(OrderReply::Accepted);
                }
                Some(OrderReply::Refused) => return Err(StopReason::Refused),
                Some(OrderReply::Done) if unanswered == 0 => {
                    self.count_done(progress, action);
                    return Ok(OrderReply::Done);
                }
                Some(OrderReply::Conflict) if unanswered == 0 => {
                    conflicts += 1;
                    self.recorder.count(metric::ORDERS_REFUSED.name, &progress.target.service, 1);
                    if conflicts > MAX_CONFLICTS {
                        return Err(StopReason::Overtaken);
                    }
                    self.pause(backoff::exponential(
                        MIN_CONFLICT_DELAY,
                        conflicts - 1,
                        MAX_CONFLICT_DELAY,
                    ));
                    if conflicts % CONFLICTS_BEFORE_REPORT == 0 {
                        let is_settled = conflicts > CONFLICTS_BEFORE_REPORT;
                        self.check_order_count(progress, is_settled)?;
                    }
                }
                // The order without a response may have been executed.
                Some(OrderReply::Done | OrderReply::Conflict) => {
                    self.pause(MAX_REPORT_AGE);
                    if self.was_executed(progress, action)? {
                        return Ok(OrderReply::Done);
                    }
                    unanswered = 0;
                }
                None => {
                    unanswered += 1;
                    if unanswered >= MAX_UNANSWERED_ORDERS {
                        return Err(StopReason::Unresponsive);
                    }
                }
            }
        }
    }

    /// Sends an order once; `None` if no response came.
    fn send(
        &self,
        progress: &Progress<'_>,
        action: &Action,
    ) -> Result<Option<OrderReply>, StopReason> {
        let name = &progress.target.name;
        if self.state.fleet().zone_drains().contains(&progress.target.zone) {
            return Err(StopReason::ZoneDrained);
        }
        let fence = self.keeper.add_target(name).ok_or(StopReason::LeaseLost)?;
        let order = Order {
            action: action.clone(),
            expected_orders: progress.orders,
            holder: Arc::clone(&self.daemon),
            fence,
        };
        let still_allowed = || {
            let now = self.now();
            let allowed = self.lease.may_order(name, now) == Some(fence);
            self.lease.record_order(name, now);
            allowed
        };
        match self.targets.order(&progress.target, &order, &still_allowed) {
            Ok(ordered) => Ok(Some(ordered)),
            Err(e) => {
                log::debug!("target {name} did not respond to an order: {e}");
                Ok(None)
            }
        }
    }

    /// Determines from reports whether an order without a response was executed.
    ///
    /// A higher order count alone does not prove it: an earlier order may have been executed late.
    fn was_executed(
        &self,
        progress: &mut Progress<'_>,
        action: &Action,
    ) -> Result<bool, StopReason> {
        let mut expected = progress.models.clone();
        apply(&mut expected, action);
        for _ in 0..MAX_LOAD_REPORTS {
            let report = self.report(progress)?;
            if report.accepted_orders <= progress.orders {
                return Ok(false);
            }
            if !report.busy {
                progress.orders = report.accepted_orders;
                if same_models(&report.models, &expected) {
                    return Ok(true);
                }
                progress.models = report.models;
                return Err(StopReason::Overtaken);
            }
            self.pause(LOAD_POLL_INTERVAL);
        }
        Err(StopReason::Busy)
    }

    /// Counts an order that the target reported as done: the immediate removal of an adapter counts
    /// as an accepted order, an order whose result already existed does not.
    fn count_done(&self, progress: &mut Progress<'_>, action: &Action) {
        if let Action::Remove { adapter: Some(_), .. } = action {
            progress.orders += 1;
        }
    }

    /// Abandons the task if the target's order count differs from this task's. A report with a
    /// lower count may be out of date, unless enough time has passed since the previous orders.
    fn check_order_count(
        &self,
        progress: &mut Progress<'_>,
        is_settled: bool,
    ) -> Result<(), StopReason> {
        let report = self.report(progress)?;
        let may_be_old = report.accepted_orders < progress.orders && !is_settled;
        if report.accepted_orders == progress.orders || may_be_old {
            return Ok(());
        }
        progress.orders = report.accepted_orders;
        if report.busy {
            return Err(StopReason::Busy);
        }
        progress.models = report.models;
        Err(StopReason::Overtaken)
    }

    fn report(&self, progress: &Progress<'_>) -> Result<Report, StopReason> {
        let report = self.targets.report(&progress.target).map_err(|e| {
            log::debug!("target {} did not send a report: {e}", progress.target.name);
            StopReason::Unresponsive
        })?;
        let is_same = target::may_be_same_run(progress.target.started_at, report.started_at);
        if is_same { Ok(report) } else { Err(StopReason::Restarted) }
    }

    /// Publishes that a load has completed whose task has ended before. The override that the task
    /// or the previous planner has published lacks the model and precedes the list.
    pub fn publish_loaded(&self, target: &TargetName, model: &ModelName) {
        let Some(target) = self.state.fleet().target(target).cloned() else { return };
        if !target.holds(model, None) {
            let mut models = target.models.clone();
            models.push(LoadedModel { model: model.clone(), adapters: Vec::new() });
            self.ledger().begin(self.lease.fence());
            self.publish(&target, models);
        }
    }

    /// Updates this daemon's view with the target's models, as an override that is then sent to all
    /// daemons.
    fn publish(&self, target: &Target, models: Vec<LoadedModel>) {
        let (fence, revision) = {
            let mut ledger = self.ledger();
            ledger.override_revision += 1;
            (ledger.fence, ledger.override_revision)
        };
        let now = self.now();
        let mut fleet = self.state.fleet();
        let Some(state) = fleet.target(&target.name).map(|t| t.state) else { return };
        let (name, started_at) = (target.name.clone(), target.started_at);
        fleet.apply_override(
            &TargetOverride { target: name, started_at, revision, state, models },
            fence,
            now,
        );
        drop(fleet);
        self.state.notify_view_changed();
    }

    fn pause(&self, duration: Duration) {
        self.state.clock.sleep(duration);
    }
}
