//! The client of the list of hosts.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use tansyknot_core::{
    Result,
    host::{HostList, Target},
};

use crate::http::JsonClient;

/// A client of the list of hosts over HTTP and JSON.
///
/// Requests carry the `ETag` of the last list, so an unchanged list is not sent again: at the fleet
/// size that the service is designed for, a list exceeds one megabyte, and without the
/// `ETag` a client would read a thousand of them for each one that differs.
#[derive(Debug)]
pub struct HttpHostList {
    http: JsonClient,
    url: String,
    etag: Mutex<Option<String>>,
}

impl HttpHostList {
    /// Creates a client of the list at `address`.
    ///
    /// A `query` such as `region=dakar` restricts the list to a part of the hosts.
    pub fn new(address: SocketAddr, query: &str, timeout: Duration) -> Self {
        let query = if query.is_empty() { String::new() } else { format!("?{query}") };
        Self {
            http: JsonClient::new("list of hosts", timeout),
            url: format!("http://{address}/hosts{query}"),
            etag: Mutex::default(),
        }
    }
}

impl HostList for HttpHostList {
    fn list(&self) -> Result<Option<Vec<Target>>> {
        let mut etag = self.etag.lock().expect("no holder of the lock panics");
        let response = self.http.get_if_changed(&self.url, etag.as_deref())?;
        match response.status {
            200 => {
                let targets = self.http.parse(&response.text)?;
                // The `ETag` is stored only after the list was parsed, so that a malformed list is
                // requested again.
                *etag = response.etag;
                Ok(Some(targets))
            }
            304 => Ok(None),
            _ => Err(self.http.unexpected_status(&response)),
        }
    }
}
