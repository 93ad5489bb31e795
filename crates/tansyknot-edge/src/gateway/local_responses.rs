//! Responses of the daemon itself: the list of models and the health check.

use serde::Serialize;
use tansyknot_config::object::Backend;
use tansyknot_core::refusal::Refusal;

use super::{ActiveRequest, Gateway};
use crate::{http::respond::FullResponse, stage::identify};

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

impl Gateway {
    pub(super) fn models(&self, active: &ActiveRequest<'_>) -> Result<FullResponse, Refusal> {
        let entry = |id: String| ModelEntry { id, object: "model", owned_by: "tansyknot" };
        let data = self.parts.config.with(|store| {
            let caller = identify::caller(store, &active.req.head)?;
            let is_permitted = |name: &str| {
                let resolved = store.resolve(name);
                resolved.is_some_and(|r| {
                    let is_model = matches!(r.service.backend, Backend::Model(_));
                    is_model && caller.services.matches(&r.service.labels)
                })
            };
            let services = store.services().map(|s| s.name.to_string());
            let adapters = store.adapters().map(|(name, _)| name.to_string());
            let names = services.chain(adapters).filter(|name| is_permitted(name));
            Ok(names.map(entry).collect())
        })?;
        let list = ModelList { object: "list", data };
        Ok(json(200, &list))
    }

    pub(super) fn health(&self) -> FullResponse {
        let draining = self.parts.lifecycle.is_draining();
        let has_state = self.parts.config.version() > 0 && self.parts.hosts.has_been_read();
        let (status, body): (u16, &[u8]) = match (draining, has_state) {
            (true, _) => (503, b"draining\n"),
            (false, true) => (200, b"ok\n"),
            (false, false) => (503, b"no configuration or no list of hosts\n"),
        };
        FullResponse {
            status,
            content_type: "text/plain".to_owned(),
            headers: Vec::new(),
            body: body.to_vec(),
        }
    }
}

fn json<T: Serialize>(status: u16, doc: &T) -> FullResponse {
    FullResponse {
        status,
        content_type: "application/json".to_owned(),
        headers: Vec::new(),
        body: serde_json::to_vec(doc).expect("JSON documents have string keys"),
    }
}
