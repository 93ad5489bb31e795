//! `explain --logs`: explains a request from log files, with the steps that its daemon took and
//! the related events of all daemons at that time.

use std::{path::PathBuf, process::ExitCode};

use jiff::{SignedDuration, Timestamp};
use serde::Serialize;

use crate::{
    args::{GlobalArgs, Output},
    exit::Failure,
    log_line::{self, Line},
    output,
};

/// Events of a request's outcome: answered, ended without a response, refused on arrival.
const REQUEST_EVENTS: [u16; 3] = [1601, 1602, 1603];
/// Events of a daemon's state: its view of the store, the configuration and the planner.
const DAEMON_STATE_EVENTS: [u16; 6] = [1611, 1612, 1613, 1621, 1622, 1623];
/// Events of targets and of orders to them.
const TARGET_EVENTS: [u16; 4] = [1614, 1631, 1632, 1633];
/// How long before a request's start events are related to it. The failure of a planner has
/// effects for 5 s.
const WINDOW_BEFORE_START: SignedDuration = SignedDuration::from_secs(5);
/// How long after a request's end events are related to it, for lines that are written late.
const WINDOW_AFTER_END: SignedDuration = SignedDuration::from_secs(1);

/// A step of a request, parsed from the `trail` field of its log line.
#[derive(Debug, Serialize)]
struct Step {
    after_ms: u64,
    what: String,
}

/// A request with its steps and related events.
#[derive(Debug, Serialize)]
struct Cause<'a> {
    request: &'a Line,
    meaning: &'static str,
    steps: Vec<Step>,
    around: Vec<&'a Line>,
}

/// Runs `explain` on log files.
///
/// # Errors
///
/// Fails if a file can't be read or has no line of the request.
pub(crate) fn run(
    global: &GlobalArgs,
    request: &str,
    files: &[PathBuf],
) -> miette::Result<ExitCode> {
    let lines = log_line::read(files)?;
    let is_request_line =
        |l: &&Line| REQUEST_EVENTS.contains(&l.event) && l.field("request") == request;
    let Some(line) = lines.iter().find(is_request_line) else {
        return Err(Failure::NotLogged { request: request.to_owned(), lines: lines.len() }.into());
    };
    let steps = parse_steps(line.field("trail"));
    let around = related_lines(&lines, line, &steps);
    let cause = Cause { request: line, meaning: meaning(line.field("outcome")), steps, around };
    print(global, &cause)?;
    Ok(ExitCode::SUCCESS)
}

/// Parses a trail, which has the form `MS:WHAT;` for each step.
fn parse_steps(trail: &str) -> Vec<Step> {
    let step = |text: &str| {
        let (ms, what) = text.split_once(':')?;
        Some(Step { after_ms: ms.parse().ok()?, what: what.to_owned() })
    };
    trail.split(';').filter_map(step).collect()
}

/// Returns the lines with events of the request's model and targets, of its daemon's state, or of
/// the planner.
fn related_lines<'a>(lines: &'a [Line], request: &Line, steps: &[Step]) -> Vec<&'a Line> {
    let (from, to) = (start_time(request) - WINDOW_BEFORE_START, request.at + WINDOW_AFTER_END);
    let model = request.field("model");
    let target = |step: &Step| step.what.split(' ').next().map(ToOwned::to_owned);
    let targets: Vec<String> = steps.iter().filter_map(target).collect();
    let is_related = |l: &&Line| {
        let has_target = targets.iter().any(|t| l.field("target") == t);
        let has_model =
            !model.is_empty() && (l.field("model") == model || l.field("order").contains(model));
        let is_relevant_state = l.daemon == request.daemon || matches!(l.event, 1621 | 1622);
        (TARGET_EVENTS.contains(&l.event) && (has_target || has_model))
            || (DAEMON_STATE_EVENTS.contains(&l.event) && is_relevant_state)
    };
    lines.iter().filter(|l| l.at >= from && l.at <= to).filter(is_related).collect()
}

fn start_time(request: &Line) -> Timestamp {
    let total_ms: i64 = request.field("total_ms").parse().unwrap_or(0);
    request.at - SignedDuration::from_millis(total_ms)
}

fn meaning(outcome: &str) -> &'static str {
    match outcome {
        "answered" => "a target's full response was passed on",
        "target_error" => "the target's own error response was passed on",
        "no_configuration" => "not run: the daemon had not read a configuration yet",
        "stopping" => "not run: the daemon was stopping",
        "no_route" => "not run: no route has this host and path",
        "no_target_in_time" => "not run: no target could accept it in time",
        "refused_by_targets" => "not run: targets refused it and no further retry was allowed",
        "no_answer_in_time" => "may have run: a target received it and did not respond in time",
        "target_failed" => {
            "may have run: the target closed the connection or sent an invalid response"
        }
        "stream_broken" => "may have run: its stream broke before the end",
        "caller_left" => "the caller disconnected",
        _ => "refused before a target was selected",
    }
}

fn print(global: &GlobalArgs, cause: &Cause<'_>) -> miette::Result<()> {
    if global.output == Output::Json {
        return output::print(global.output, cause, &[], []);
    }
    let request = cause.request;
    println!("request {} at {}: {}", request.field("request"), request.daemon, cause.meaning);
    println!("{}\n", request.fields_text());
    let steps = cause.steps.iter().map(|s| vec![s.after_ms.to_string(), s.what.clone()]);
    output::print(global.output, cause, &["AFTER MS", "STEP"], steps)?;
    println!();
    let start = start_time(request);
    let around = cause.around.iter().map(|l| {
        let after = l.at.duration_since(start).as_millis().to_string();
        vec![after, l.daemon.clone(), l.event.to_string(), l.message.clone(), l.fields_text()]
    });
    output::print(
        global.output,
        cause,
        &["AFTER MS", "DAEMON", "EVENT", "MESSAGE", "FIELDS"],
        around,
    )
}
