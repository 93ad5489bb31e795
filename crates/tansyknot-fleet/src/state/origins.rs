//! The origins of streams in a daemon's state.

use std::time::Duration;

use tansyknot_core::{
    clock::Time,
    name::{ServiceName, SoftwareVersion},
};

use super::State;
use crate::{
    lease,
    stream_origin::{
        history::{RETENTION, SoleVersion, SoleVersions},
        lookup::Lookups,
        records::{StreamRecord, StreamRecords},
        routing::RoutingHistory,
    },
};

/// The maximum age of a view of the targets' software, as a multiple of that at which a daemon calls
/// the store: the time for a call and its repetition.
const MAX_VIEW_AGE: u32 = 2;

/// The origins of streams that callers may resume.
#[derive(Debug, Default)]
pub struct Origins {
    /// The origins that this daemon knows.
    pub records: StreamRecords,
    /// Its questions to other daemons.
    pub lookups: Lookups,
    /// The longest time for which any caller could resume its stream.
    longest_lifetime: Duration,
    /// The routes by which streams come to their services.
    pub routing: RoutingHistory,
}

impl State {
    /// Records the origin of a stream.
    pub fn record_origin(&self, record: StreamRecord) {
        let now = self.now();
        self.record_longest_stream(Duration::from_millis(record.lifetime_ms.into()));
        self.origins().records.add(record, now);
    }

    /// Returns the longest time for which any caller could resume its stream, as far as is known.
    pub fn longest_stream(&self) -> Duration {
        self.origins().longest_lifetime
    }

    /// Records that the caller of a stream could resume it for `lifetime`. What exceeds the time for which
    /// versions are remembered does not count: a caller may name any deadline.
    pub fn record_longest_stream(&self, lifetime: Duration) {
        let mut origins = self.origins();
        origins.longest_lifetime = origins.longest_lifetime.max(lifetime.min(RETENTION));
    }

    /// Records whether the view of the targets' software is current.
    pub fn record_software_view(&self, now: Time) {
        let max_age = self.freshness.max_list_age * MAX_VIEW_AGE;
        let is_current = self.list_age(now).is_some_and(|age| age <= max_age);
        self.fleet().record_software_view(is_current, now);
    }

    /// Returns the version of all targets that a service has had for as long as a stream may have
    /// lasted, if it is known to be only one and the same routes have led there.
    pub fn sole_software(&self, service: &ServiceName) -> Option<SoftwareVersion> {
        let now = self.now();
        self.record_software_view(now);
        let timeout = self.catalog().map_or(Duration::ZERO, |c| c.longest_timeout(service));
        let longest_stream = self.longest_stream().max(timeout);
        let sole = self.fleet().sole_software(service, now)?;
        let sole = self.bounded_by_routing(service, sole, now);
        (Duration::from_millis(sole.for_ms) >= longest_stream).then_some(sole.version)
    }

    /// Returns the sole versions of all services, each for as long as the same routes have led there.
    pub fn sole_versions_on_routes(&self) -> SoleVersions {
        let now = self.now();
        let versions = self.fleet().sole_versions(now).into_iter();
        let bounded = versions.map(|(service, sole)| {
            let sole = self.bounded_by_routing(&service, sole, now);
            (service, sole)
        });
        bounded.collect()
    }

    fn bounded_by_routing(
        &self,
        service: &ServiceName,
        sole: SoleVersion,
        now: Time,
    ) -> SoleVersion {
        let unchanged_for = self.origins().routing.unchanged_for(service, now);
        let unchanged_ms = unchanged_for.map_or(u64::MAX, lease::millis);
        SoleVersion { for_ms: sole.for_ms.min(unchanged_ms), ..sole }
    }

    /// Returns the age of the view of the targets; `None` if there is none, or it has gaps.
    fn list_age(&self, now: Time) -> Option<Duration> {
        let own_read_at = self.store_contacts().list;
        if self.fleet().has_gap() {
            return None;
        }
        let as_of = self.planner_view().list_as_of().max(own_read_at)?;
        Some(now.since(as_of))
    }
}
