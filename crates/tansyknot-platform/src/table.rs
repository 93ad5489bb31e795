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
    base: String,
}

#[derive(Deserialize)]
struct Conflict {
    key: String,
}

impl HttpTable {
    /// Makes a client of the service at `address`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { http: JsonClient::new("table", timeout), base: format!("http://{address}") }
    }
}

impl Table for HttpTable {
    fn read(&self, key: &str) -> Result<Option<Row>> {
        let answer = self.http.get(&format!("{}/row", self.base), &[("key", key)])?;
        match answer.status {
            200 => self.http.parse(&answer.text).map(Some),
            404 => Ok(None),
            _ => Err(self.http.unexpected(&answer)),
        }
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        let limit = limit.to_string();
        let query = [("prefix", prefix), ("after", after), ("limit", limit.as_str())];
        let answer = self.http.get(&format!("{}/rows", self.base), &query)?;
        match answer.status {
            200 => self.http.parse(&answer.text),
            _ => Err(self.http.unexpected(&answer)),
        }
    }

    fn commit(&self, txn: &Transaction) -> Result<()> {
        let answer = self.http.post(&format!("{}/commit", self.base), txn)?;
        match answer.status {
            200 => Ok(()),
            409 => {
                let conflict: Conflict = self.http.parse(&answer.text)?;
                Err(Error::Conflict { key: conflict.key })
            }
            _ => Err(self.http.unexpected(&answer)),
        }
    }
}
