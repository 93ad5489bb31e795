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
    base: String,
    etag: Mutex<Option<String>>,
}

impl HttpHostList {
    /// Makes a client of the list at `address`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            http: JsonClient::new("list of hosts", timeout),
            base: format!("http://{address}"),
            etag: Mutex::default(),
        }
    }
}

impl HostList for HttpHostList {
    fn list(&self) -> Result<Option<Vec<Target>>> {
        let mut etag = self.etag.lock().expect("no holder of the lock panics");
        let answer = self.http.get_if_changed(&format!("{}/hosts", self.base), etag.as_deref())?;
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
