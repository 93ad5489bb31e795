//! The client of the list of hosts.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use tansyknot_core::{
    Result,
    host::{HostList, Target},
};

use crate::http::JsonClient;

/// A client of the list of hosts over HTTP and JSON.
///
/// It asks for the list only if its `ETag` has changed: at the target size one list is over a
/// megabyte, and a thousand of them would be read for each that differs.
#[derive(Debug)]
pub struct HttpHostList {
    http: JsonClient,
    url: String,
    etag: Mutex<Option<String>>,
}

impl HttpHostList {
    /// Makes a client of the list at `address`.
    /// A `query` such as `region=dakar` has the platform list only a part of the hosts.
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
        let answer = self.http.get_if_changed(&self.url, etag.as_deref())?;
        match answer.status {
            200 => {
                let targets = self.http.parse(&answer.text)?;
                // A list that did not parse must not count as read.
                *etag = answer.etag;
                Ok(Some(targets))
            }
            304 => Ok(None),
            _ => Err(self.http.unexpected(&answer)),
        }
    }
}
