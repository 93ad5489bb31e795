//! Finding the daemons through the table and asking them.

use std::time::Duration;

use miette::IntoDiagnostic;
use serde_json::Value;
use tansyknot_control::replicas;
use tansyknot_core::replica::DaemonRow;
use tansyknot_platform::{http::JsonClient, table::HttpTable};

use crate::args::Shared;

/// How long the table may take.
const TABLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a daemon may take.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(2);

/// Makes a client of the table service.
pub(crate) fn table(shared: &Shared) -> HttpTable {
    HttpTable::new(shared.table, TABLE_TIMEOUT)
}

/// Reads the rows of all daemons.
///
/// # Errors
///
/// Fails if the table does.
pub(crate) fn all(table: &HttpTable) -> miette::Result<Vec<(String, DaemonRow)>> {
    replicas::read_daemons(table).into_diagnostic()
}

/// Gets a page of a daemon's operators' interface; `None` if it does not have it.
///
/// # Errors
///
/// Fails if the daemon does not answer.
pub(crate) fn get(daemon: &DaemonRow, path: &str) -> tansyknot_core::Result<Option<Value>> {
    let http = JsonClient::new("daemon", DAEMON_TIMEOUT);
    let answer = http.get(&format!("http://{}{path}", daemon.operators_address), &[])?;
    match answer.status {
        200 => http.parse(&answer.text).map(Some),
        404 => Ok(None),
        _ => Err(http.unexpected(&answer)),
    }
}
