//! Access to the table service and to the daemons that it lists.

use std::time::Duration;

use miette::IntoDiagnostic;
use serde_json::Value;
use tansyknot_control::replicas;
use tansyknot_core::replica::DaemonRow;
use tansyknot_platform::{http::JsonClient, table::HttpTable};

use crate::args::GlobalArgs;

/// Timeout of a call to the table service.
const TABLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a call to a daemon.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a client of the table service.
pub(crate) fn table(global: &GlobalArgs) -> HttpTable {
    HttpTable::new(global.table, TABLE_TIMEOUT)
}

/// Reads the names and rows of all daemons from the table.
///
/// # Errors
///
/// Fails if the table can't be read.
pub(crate) fn read_all(table: &HttpTable) -> miette::Result<Vec<(String, DaemonRow)>> {
    replicas::read_daemons(table).into_diagnostic()
}

/// Gets a page of a daemon's operator interface. Returns `None` if the page does not exist.
///
/// # Errors
///
/// Fails if the daemon does not respond or responds with another error.
pub(crate) fn get_page(daemon: &DaemonRow, path: &str) -> tansyknot_core::Result<Option<Value>> {
    let http = JsonClient::new("daemon", DAEMON_TIMEOUT);
    let response = http.get(&format!("http://{}{path}", daemon.operators_address), &[])?;
    match response.status {
        200 => http.parse(&response.text).map(Some),
        404 => Ok(None),
        _ => Err(http.unexpected_status(&response)),
    }
}
