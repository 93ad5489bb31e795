//! `logs`: shows the log lines of daemons that match a filter.

use std::process::ExitCode;

use crate::{
    args::{GlobalArgs, LogsArgs},
    log_line::{self, Line},
    output,
};

/// Runs `logs`.
pub(crate) fn run(global: &GlobalArgs, args: &LogsArgs) -> miette::Result<ExitCode> {
    let lines = log_line::read(&args.files)?;
    let found: Vec<&Line> = lines.iter().filter(|line| matches_filter(line, args)).collect();
    let rows = found.iter().map(|line| {
        let event = if line.event == 0 { String::new() } else { line.event.to_string() };
        vec![
            line.at.to_string(),
            line.daemon.clone(),
            event,
            line.message.clone(),
            line.fields_text(),
        ]
    });
    output::print(global.output, &found, &["TIME", "DAEMON", "EVENT", "MESSAGE", "FIELDS"], rows)?;
    Ok(ExitCode::SUCCESS)
}

fn matches_filter(line: &Line, args: &LogsArgs) -> bool {
    let matches_time =
        args.from.is_none_or(|from| line.at >= from) && args.to.is_none_or(|to| line.at <= to);
    let matches_event = args.event.is_empty() || args.event.contains(&line.event);
    let matches_daemon = args.daemon.as_ref().is_none_or(|daemon| line.daemon == *daemon);
    let matches_request = args.request.as_ref().is_none_or(|id| line.field("request") == id);
    let matches_text =
        args.about.as_ref().is_none_or(|text| line.fields_text().contains(text.as_str()));
    matches_time && matches_event && matches_daemon && matches_request && matches_text
}
