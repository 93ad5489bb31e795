//! `get`: shows the objects of the configuration.

use std::process::ExitCode;

use miette::IntoDiagnostic;
use tansyknot_control::config;

use super::daemons;
use crate::{
    args::{GetArgs, GlobalArgs},
    output,
};

/// Runs `get`.
pub(crate) fn run(global: &GlobalArgs, args: &GetArgs) -> miette::Result<ExitCode> {
    let table = daemons::table(global);
    let mut objects = config::read_objects(&table).into_diagnostic()?;
    if let Some(filter) = &args.filter {
        let prefix = format!("{filter}/");
        objects.retain(|stored| {
            let key = stored.object.key();
            key == *filter || key.starts_with(&prefix)
        });
    }
    let rows = objects.iter().map(|stored| vec![stored.object.key(), stored.version.to_string()]);
    output::print(global.output, &objects, &["OBJECT", "CHANGED IN"], rows)?;
    Ok(ExitCode::SUCCESS)
}
