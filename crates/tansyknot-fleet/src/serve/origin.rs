//! The origin of the stream that a request resumes, and of the stream that a request begins.

use std::{cell::OnceCell, rc::Rc, time::Duration};

use tansyknot_core::{clock::BootInstant, metric, name::ServiceName};

use super::{
    DEFAULT_DEADLINE, Server,
    request::{ActiveRequest, Reason},
};
use crate::{
    catalog::{Repeatability, Route},
    dissemination::message,
    platform_api::{RequestParams, Resumption},
    stream_origin::{
        Origin, Software,
        lookup::Progress,
        records::{Known, StreamKey, StreamRecord},
    },
    target::Target,
};

/// How long a daemon waits for the replies of those that keep the origin of a stream. Beyond it, the
/// daemons that know it are taken for lost.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);
/// How often the question is repeated, as datagrams may be lost. A daemon that knows of one version
/// only waits no longer.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(60);

/// A stream that a request begins and that its caller may resume.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewStream {
    key: StreamKey,
    lifetime: Duration,
}

impl NewStream {
    /// Returns the stream of a request; `None` if it continues another one or can't be resumed.
    pub(super) fn of(request: &ActiveRequest<'_>) -> Option<Self> {
        let is_resumable = request.route.repeatability == Repeatability::ResumableStream;
        let is_new = is_resumable && request.params.resumption.is_none();
        is_new.then(|| Self {
            key: StreamKey::of_attempt(&request.params.id),
            lifetime: request.params.deadline.unwrap_or(DEFAULT_DEADLINE),
        })
    }
}

impl Server {
    /// Returns the origin of the stream that a request resumes; an empty cell if it resumes none.
    ///
    /// # Errors
    ///
    /// Fails if the origin is not known, so that the stream can't go on.
    pub(super) fn resumed_origin(
        &self,
        params: &RequestParams,
        route: &Route,
    ) -> Result<Rc<OnceCell<Origin>>, Reason> {
        let is_stream = route.repeatability.is_stream();
        let Some(resumption) = params.resumption.as_ref().filter(|_| is_stream) else {
            return Ok(Rc::default());
        };
        let began = BootInstant::now();
        let found = self.find_origin(resumption, route);
        let label = ServiceName::new(route.name.clone());
        self.recorder.time(metric::ORIGIN_LOOKUP.name, &label, began.elapsed());
        found.map(|origin| Rc::new(OnceCell::from(origin))).ok_or(Reason::OriginUnknown)
    }

    fn find_origin(&self, resumption: &Resumption, route: &Route) -> Option<Origin> {
        let stream = resumption.first_attempt.as_deref().map(StreamKey::of_attempt);
        let sole = route.sole_service().and_then(|service| self.sole_origin(service));
        let timeout = if sole.is_some() { LOOKUP_INTERVAL } else { LOOKUP_TIMEOUT };
        match stream.and_then(|stream| self.known_origin(stream, timeout)) {
            Some(Known::Origin(origin)) => Some(Origin::clone(&origin)),
            Some(Known::Ambiguous) => None,
            None => sole,
        }
    }

    /// Returns the origin of all streams of a service that callers may resume, if they have only one.
    fn sole_origin(&self, service: &ServiceName) -> Option<Origin> {
        let version = self.state.sole_software(service)?;
        Some(Origin { service: service.clone(), software: Software::Version(version) })
    }

    /// Returns what this daemon or another one knows of a stream.
    fn known_origin(&self, stream: StreamKey, timeout: Duration) -> Option<Known> {
        let known = self.recorded_origin(stream);
        if known.is_some() {
            return known;
        }
        self.state.origins().lookups.begin(stream);
        let known = self.ask_for_origin(stream, timeout);
        self.state.origins().lookups.end(stream);
        known
    }

    fn recorded_origin(&self, stream: StreamKey) -> Option<Known> {
        let now = self.state.now();
        self.state.origins().records.get(stream, now)
    }

    /// Asks the daemons that keep the origin of a stream, until one knows it or none does.
    fn ask_for_origin(&self, stream: StreamKey, timeout: Duration) -> Option<Known> {
        let until = BootInstant::now() + timeout;
        while BootInstant::now() < until {
            let mut seen = self.state.origins_changed.count();
            self.origins.query(stream);
            let repeat_at = until.min(BootInstant::now() + LOOKUP_INTERVAL);
            while BootInstant::now() < repeat_at {
                let known = self.recorded_origin(stream);
                if known.is_some() {
                    return known;
                }
                if self.state.origins().lookups.progress(stream) == Progress::Unknown {
                    return None;
                }
                let left = repeat_at.duration_since(BootInstant::now());
                seen = self.state.origins_changed.wait(seen, left);
            }
        }
        None
    }

    /// Records that a target brings the first event of a stream, before the event is sent to the
    /// caller. A stream that goes on keeps its origin.
    pub(super) fn record_first_event(
        &self,
        origin: &OnceCell<Origin>,
        target: &Target,
        stream: Option<NewStream>,
    ) {
        if origin.set(Origin::of(target)).is_err() {
            return;
        }
        let Some(NewStream { key: stream, lifetime }) = stream else { return };
        let lifetime_ms = message::millis(lifetime);
        let record = StreamRecord { stream, origin: Origin::of(target), lifetime_ms };
        self.origins.publish(&record);
        self.state.record_origin(record);
    }
}
