//! `history`: shows the latest changes of the configuration.

use std::process::ExitCode;

use miette::IntoDiagnostic;
use tansyknot_control::config;

use super::daemons;
use crate::{
    args::{GlobalArgs, HistoryArgs},
    output,
};

/// Runs `history`.
pub(crate) fn run(global: &GlobalArgs, args: &HistoryArgs) -> miette::Result<ExitCode> {
    let table = daemons::table(global);
    let (head, _) = config::read_head(&table).into_diagnostic()?;
    let after = head.version.saturating_sub(args.limit);
    let limit = usize::try_from(args.limit).into_diagnostic()?;
    let mut changes = config::read_changes(&table, after, limit).into_diagnostic()?;
    changes.reverse();
    let rows = changes.iter().map(|change| {
        let objects: Vec<String> = change.ops.iter().map(|op| op.key()).collect();
        vec![
            change.version.to_string(),
            change.author.clone(),
            change.at_ms.to_string(),
            objects.join(" "),
        ]
    });
    output::print(
        global.output,
        &changes,
        &["VERSION", "AUTHOR", "AT (UNIX MS)", "OBJECTS"],
        rows,
    )?;
    Ok(ExitCode::SUCCESS)
}
