//! The client of the control interface of model engines.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    Error, Result,
    engine::{Engine, EngineStatus, LoadOrder, UnloadOrder},
    host::Target,
    name::{AdapterName, AttemptId, ServiceName},
};

use crate::http::{HttpResponse, JsonClient};

/// A call whose response body is longer than this fails. The longest one lists an engine's models.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;

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
struct StaleFenceResponse {
    seen: u64,
}

impl HttpEngine {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let http = JsonClient::new("engine", timeout);
        Self { http: http.with_max_response_bytes(MAX_RESPONSE_BYTES) }
    }

    fn send_order<T: Serialize>(&self, target: &Target, path: &str, doc: &T) -> Result<()> {
        let response = self.http.post(&format!("http://{}{path}", target.address), doc)?;
        match response.status {
            200 | 202 => Ok(()),
            412 => Err(self.stale_fence(&response)?),
            507 => Err(Error::OutOfMemory),
            409 => Err(Error::busy("engine", response.text)),
            _ => Err(self.http.unexpected_status(&response)),
        }
    }

    fn stale_fence(&self, response: &HttpResponse) -> Result<Error> {
        let rejection: StaleFenceResponse = self.http.parse(&response.text)?;
        Ok(Error::StaleFence { seen: rejection.seen })
    }
}

impl Engine for HttpEngine {
    fn status(&self, target: &Target) -> Result<EngineStatus> {
        let response = self.http.get(&format!("http://{}/control/status", target.address), &[])?;
        match response.status {
            200 => self.http.parse(&response.text),
            _ => Err(self.http.unexpected_status(&response)),
        }
    }

    fn load(&self, target: &Target, order: &LoadOrder) -> Result<()> {
        self.send_order(target, "/control/load", order)
    }

    fn unload(&self, target: &Target, order: &UnloadOrder) -> Result<()> {
        self.send_order(target, "/control/unload", order)
    }

    fn load_adapter(
        &self,
        target: &Target,
        service: &ServiceName,
        adapter: &AdapterName,
    ) -> Result<()> {
        self.send_order(target, "/control/adapter", &AdapterOrder { service, adapter })
    }

    fn cancel(&self, target: &Target, attempt: &AttemptId) -> Result<()> {
        self.send_order(target, "/control/cancel", &CancelOrder { attempt })
    }
}
