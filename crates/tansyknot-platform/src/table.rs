//! The client of the table service.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use tansyknot_core::{
    Error, Result,
    table::{Row, Table, Transaction},
};

use crate::http::JsonClient;

/// A client of the table service over HTTP and JSON.
#[derive(Clone, Debug)]
pub struct HttpTable {
    http: JsonClient,
    base_url: String,
}

#[derive(Deserialize)]
struct Conflict {
    key: String,
}

impl HttpTable {
    /// Creates a client of the service at `address` whose calls time out after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { http: JsonClient::new("table", timeout), base_url: format!("http://{address}") }
    }
}

impl Table for HttpTable {
    fn read(&self, key: &str) -> Result<Option<Row>> {
        let response = self.http.get(&format!("{}/row", self.base_url), &[("key", key)])?;
        match response.status {
            200 => self.http.parse(&response.text).map(Some),
            404 => Ok(None),
            _ => Err(self.http.unexpected_status(&response)),
        }
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        let limit = limit.to_string();
        let query = [("prefix", prefix), ("after", after), ("limit", limit.as_str())];
        let response = self.http.get(&format!("{}/rows", self.base_url), &query)?;
        match response.status {
            200 => self.http.parse(&response.text),
            _ => Err(self.http.unexpected_status(&response)),
        }
    }

    fn commit(&self, txn: &Transaction) -> Result<()> {
        let response = self.http.post(&format!("{}/commit", self.base_url), txn)?;
        match response.status {
            200 => Ok(()),
            409 => {
                let conflict: Conflict = self.http.parse(&response.text)?;
                Err(Error::Conflict { key: conflict.key })
            }
            _ => Err(self.http.unexpected_status(&response)),
        }
    }
}
