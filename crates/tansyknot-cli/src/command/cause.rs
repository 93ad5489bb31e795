//! `explain` from log files: what a daemon decided for a request, and what daemons believed then.

use std::{path::PathBuf, process::ExitCode};

use jiff::{SignedDuration, Timestamp};
use serde::Serialize;

use crate::{
    args::{Output, Shared},
    exit::Failure,
    line::{self, Line},
    output,
};

/// A request's own line: answered, ended without an answer, refused on arrival.
const REQUEST_EVENTS: [u16; 3] = [1601, 1602, 1603];
/// What daemons believe of the store, the configuration and the planner.
const BELIEFS: [u16; 6] = [1611, 1612, 1613, 1621, 1622, 1623];
/// What becomes of targets, and of orders to them.
const TARGET_EVENTS: [u16; 4] = [1614, 1631, 1632, 1633];
/// How far before a request lines are looked at: a planner's death shows for 5 s.
const BEFORE: SignedDuration = SignedDuration::from_secs(5);
/// How far after its end, for lines that were written late.
const AFTER: SignedDuration = SignedDuration::from_secs(1);

/// One step of a request, as its line's trail has it.
#[derive(Debug, Serialize)]
struct Step {
    after_ms: u64,
    what: String,
}

/// A request and what was around it.
#[derive(Debug, Serialize)]
struct Cause<'a> {
    request: &'a Line,
    meaning: &'static str,
    steps: Vec<Step>,
    around: Vec<&'a Line>,
}

/// Explains a request from log files.
///
/// # Errors
///
/// Fails if a file can't be read or no line has the request.
pub(crate) fn run(shared: &Shared, request: &str, files: &[PathBuf]) -> miette::Result<ExitCode> {
    let lines = line::read(files)?;
    let is_it = |l: &&Line| REQUEST_EVENTS.contains(&l.event) && l.field("request") == request;
    let Some(line) = lines.iter().find(is_it) else {
        return Err(Failure::NotLogged { request: request.to_owned(), lines: lines.len() }.into());
    };
    let steps = steps(line.field("trail"));
    let around = around(&lines, line, &steps);
    let cause = Cause { request: line, meaning: meaning(line.field("outcome")), steps, around };
    print(shared, &cause)?;
    Ok(ExitCode::SUCCESS)
}

/// Reads a trail: `MS:WHAT;` for each step.
fn steps(trail: &str) -> Vec<Step> {
    let step = |text: &str| {
        let (ms, what) = text.split_once(':')?;
        Some(Step { after_ms: ms.parse().ok()?, what: what.to_owned() })
    };
    trail.split(';').filter_map(step).collect()
}

/// Returns the lines that speak of the request's model and targets, or of what its daemon believed.
fn around<'a>(lines: &'a [Line], request: &Line, steps: &[Step]) -> Vec<&'a Line> {
    let (from, to) = (began(request) - BEFORE, request.at + AFTER);
    let model = request.field("model");
    let target = |step: &Step| step.what.split(' ').next().map(ToOwned::to_owned);
    let targets: Vec<String> = steps.iter().filter_map(target).collect();
    let is_related = |l: &&Line| {
        let of_target = targets.iter().any(|t| l.field("target") == t);
        let of_model =
            !model.is_empty() && (l.field("model") == model || l.field("order").contains(model));
        let of_belief = l.daemon == request.daemon || matches!(l.event, 1621 | 1622);
        (TARGET_EVENTS.contains(&l.event) && (of_target || of_model))
            || (BELIEFS.contains(&l.event) && of_belief)
    };
    lines.iter().filter(|l| l.at >= from && l.at <= to).filter(is_related).collect()
}

fn began(request: &Line) -> Timestamp {
    let total: i64 = request.field("total_ms").parse().unwrap_or(0);
    request.at - SignedDuration::from_millis(total)
}

fn meaning(outcome: &str) -> &'static str {
    match outcome {
        "answered" => "a target's whole answer was passed on",
        "target_error" => "the target's own failure was passed on",
        "no_configuration" => "not run: the daemon had not read a configuration yet",
        "stopping" => "not run: the daemon stopped",
        "no_route" => "not run: no route has this host and path",
        "no_target_in_time" => "not run: no target could take it in time",
        "refused_by_targets" => "not run: targets refused it and no further send was allowed",
        "no_answer_in_time" => "may have run: a target had it and was silent",
        "target_failed" => "may have run: the target broke off or sent nonsense",
        "stream_broken" => "may have run: its stream broke off in the middle",
        "caller_left" => "the caller left",
        _ => "refused before any target was looked for",
    }
}

fn print(shared: &Shared, cause: &Cause<'_>) -> miette::Result<()> {
    if shared.output == Output::Json {
        return output::print(shared.output, cause, &[], []);
    }
    let request = cause.request;
    println!("request {} at {}: {}", request.field("request"), request.daemon, cause.meaning);
    println!("{}\n", request.text());
    let steps = cause.steps.iter().map(|s| vec![s.after_ms.to_string(), s.what.clone()]);
    output::print(shared.output, cause, &["AFTER MS", "STEP"], steps)?;
    println!();
    let start = began(request);
    let around = cause.around.iter().map(|l| {
        let after = l.at.duration_since(start).as_millis().to_string();
        vec![after, l.daemon.clone(), l.event.to_string(), l.message.clone(), l.text()]
    });
    output::print(
        shared.output,
        cause,
        &["AFTER MS", "DAEMON", "EVENT", "MESSAGE", "FIELDS"],
        around,
    )
}
