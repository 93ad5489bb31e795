//! The client of the list of hosts.

use std::{net::SocketAddr, time::Duration};

use tansyknot_core::{
    Result,
    host::{HostList, Target},
};

use crate::http::JsonClient;

/// A client of the list of hosts over HTTP and JSON.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    http: JsonClient,
    base: String,
}

impl HttpHostList {
    /// Makes a client of the list at `address`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { http: JsonClient::new("list of hosts", timeout), base: format!("http://{address}") }
    }
}

impl HostList for HttpHostList {
    fn list(&self) -> Result<Vec<Target>> {
        let answer = self.http.get(&format!("{}/hosts", self.base), &[])?;
        match answer.status {
            200 => self.http.parse(&answer.text),
            _ => Err(self.http.unexpected(&answer)),
        }
    }
}
