//! The client of the control interface of model engines.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    Error, Result,
    engine::{Engine, EngineStatus, LoadOrder, UnloadOrder},
    host::Target,
    name::{AdapterName, AttemptId, ServiceName},
};

use crate::http::{Answer, JsonClient};

/// A client of model engines over HTTP and JSON.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    http: JsonClient,
}

#[derive(Serialize)]
struct AdapterOrder<'a> {
    service: &'a ServiceName,
    adapter: &'a AdapterName,
}

#[derive(Serialize)]
struct CancelOrder<'a> {
    attempt: &'a AttemptId,
}

#[derive(Deserialize)]
struct Refused {
    seen: u64,
}

impl HttpEngine {
    /// Makes a client whose calls end after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self { http: JsonClient::new("engine", timeout) }
    }

    fn order<T: Serialize>(&self, target: &Target, path: &str, doc: &T) -> Result<()> {
        let answer = self.http.post(&format!("http://{}{path}", target.address), doc)?;
        match answer.status {
            200 | 202 => Ok(()),
            412 => Err(self.stale_fence(&answer)?),
            507 => Err(Error::OutOfMemory),
            409 => Err(Error::busy("engine", answer.text)),
            _ => Err(self.http.unexpected(&answer)),
        }
    }

    fn stale_fence(&self, answer: &Answer) -> Result<Error> {
        let refused: Refused = self.http.parse(&answer.text)?;
        Ok(Error::StaleFence { seen: refused.seen })
    }
}

impl Engine for HttpEngine {
    fn status(&self, target: &Target) -> Result<EngineStatus> {
        let answer = self.http.get(&format!("http://{}/control/status", target.address), &[])?;
        match answer.status {
            200 => self.http.parse(&answer.text),
            _ => Err(self.http.unexpected(&answer)),
        }
    }

    fn load(&self, target: &Target, order: &LoadOrder) -> Result<()> {
        self.order(target, "/control/load", order)
    }

    fn unload(&self, target: &Target, order: &UnloadOrder) -> Result<()> {
        self.order(target, "/control/unload", order)
    }

    fn load_adapter(
        &self,
        target: &Target,
        service: &ServiceName,
        adapter: &AdapterName,
    ) -> Result<()> {
        self.order(target, "/control/adapter", &AdapterOrder { service, adapter })
    }

    fn cancel(&self, target: &Target, attempt: &AttemptId) -> Result<()> {
        self.order(target, "/control/cancel", &CancelOrder { attempt })
    }
}
