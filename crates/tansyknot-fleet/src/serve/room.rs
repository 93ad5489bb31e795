//! The size of a request, compared with the caches of the targets.

use tansyknot_core::name::ServiceName;
use tansyknot_policy::room;

use super::{Server, request::Reason};
use crate::{
    catalog::Catalog, fleet::CacheNeed, platform_api::RequestParams, scheduling::RoomAccounting,
};

impl Server {
    /// Returns what a request needs of the cache of a target; fails if no target of `service` can
    /// ever hold the request.
    pub(super) fn cache_need(
        &self,
        params: &RequestParams,
        catalog: &Catalog,
        service: &ServiceName,
    ) -> Result<CacheNeed, Reason> {
        let Some(engine) = catalog.engine(service) else { return Ok(CacheNeed::default()) };
        let capacity = engine.cache_tokens;
        let is_too_large = room::is_too_large(capacity, params.prompt_tokens.unwrap_or(0));
        if is_too_large && self.state.scheduling.room == RoomAccounting::Tokens {
            return Err(Reason::TooLarge);
        }
        let tokens = u32::try_from(params.expected_tokens()).unwrap_or(u32::MAX);
        Ok(CacheNeed { tokens, capacity: Some(capacity) })
    }
}
