//! `logs`: the lines of daemons' logs that speak of something.

use std::process::ExitCode;

use crate::{
    args::{LogsArgs, Shared},
    line::{self, Line},
    output,
};

/// Runs `logs`.
pub(crate) fn run(shared: &Shared, args: &LogsArgs) -> miette::Result<ExitCode> {
    let lines = line::read(&args.files)?;
    let found: Vec<&Line> = lines.iter().filter(|line| is_wanted(line, args)).collect();
    let rows = found.iter().map(|line| {
        let event = if line.event == 0 { String::new() } else { line.event.to_string() };
        vec![line.at.to_string(), line.daemon.clone(), event, line.message.clone(), line.text()]
    });
    output::print(shared.output, &found, &["TIME", "DAEMON", "EVENT", "MESSAGE", "FIELDS"], rows)?;
    Ok(ExitCode::SUCCESS)
}

fn is_wanted(line: &Line, args: &LogsArgs) -> bool {
    let is_in_time =
        args.from.is_none_or(|from| line.at >= from) && args.to.is_none_or(|to| line.at <= to);
    let is_event = args.event.is_empty() || args.event.contains(&line.event);
    let is_daemon = args.daemon.as_ref().is_none_or(|daemon| line.daemon == *daemon);
    let is_of_request = args.request.as_ref().is_none_or(|id| line.field("request") == id);
    let speaks = args.about.as_ref().is_none_or(|word| line.text().contains(word.as_str()));
    is_in_time && is_event && is_daemon && is_of_request && speaks
}
