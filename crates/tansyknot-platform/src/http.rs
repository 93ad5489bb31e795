//! Calls with whole JSON answers, and what their failures mean.

use std::{
    io::{self, Read as _},
    time::Duration,
};

use serde::{Serialize, de::DeserializeOwned};
use tansyknot_core::{Error, Result};

/// An answer longer than this is malformed.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// A status and the text that came with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub text: String,
    /// The `ETag` header.
    pub etag: Option<String>,
}

/// A client of one kind of outside service.
#[derive(Clone, Debug)]
pub struct JsonClient {
    service: &'static str,
    agent: ureq::Agent,
}

impl JsonClient {
    /// Makes a client whose calls end after `timeout`.
    pub fn new(service: &'static str, timeout: Duration) -> Self {
        let cfg = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .timeout_connect(Some(timeout.min(Duration::from_secs(1))))
            .max_redirects(0)
            .proxy(None)
            .build();
        Self { service, agent: cfg.new_agent() }
    }

    /// Gets `url` with query parameters.
    ///
    /// # Errors
    ///
    /// Fails if no answer came.
    pub fn get(&self, url: &str, query: &[(&str, &str)]) -> Result<Answer> {
        let req = self.agent.get(url).query_pairs(query.iter().copied());
        self.read(req.call())
    }

    /// Gets `url` with query parameters, within `timeout` in place of the client's own.
    ///
    /// # Errors
    ///
    /// Fails if no answer came.
    pub fn get_within(
        &self,
        url: &str,
        query: &[(&str, &str)],
        timeout: Duration,
    ) -> Result<Answer> {
        let req = self.agent.get(url).query_pairs(query.iter().copied());
        self.read(req.config().timeout_global(Some(timeout)).build().call())
    }

    /// Gets `url` unless it still has this `ETag`; the status is then 304.
    ///
    /// # Errors
    ///
    /// Fails if no answer came.
    pub fn get_if_changed(&self, url: &str, etag: Option<&str>) -> Result<Answer> {
        let req = self.agent.get(url);
        let req = match etag {
            Some(etag) => req.header("if-none-match", etag),
            None => req,
        };
        self.read(req.call())
    }

    /// Posts a JSON document to `url`.
    ///
    /// # Errors
    ///
    /// Fails if no answer came; the call may have taken effect if the error says so.
    pub fn post<T: Serialize>(&self, url: &str, doc: &T) -> Result<Answer> {
        self.read(self.agent.post(url).send_json(doc))
    }

    /// Parses the text of an answer.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if it is not the document that is expected.
    pub fn parse<T: DeserializeOwned>(&self, text: &str) -> Result<T> {
        serde_json::from_str(text).map_err(|e| Error::malformed(self.service, e))
    }

    /// Turns a status that the protocol does not name into an error.
    pub fn unexpected(&self, answer: &Answer) -> Error {
        match answer.status {
            429 | 503 => Error::busy(self.service, &answer.text),
            status => Error::malformed(self.service, format!("status {status}: {}", answer.text)),
        }
    }

    fn read(
        &self,
        result: std::result::Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Answer> {
        let mut res = result.map_err(|e| classify(self.service, &e))?;
        let status = res.status().as_u16();
        let etag = res.headers().get("etag").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let mut bytes = Vec::new();
        let mut body = res.body_mut().with_config().limit(MAX_ANSWER_BYTES).reader();
        body.read_to_end(&mut bytes).map_err(|e| self.broken_off(&e, bytes.len()))?;
        let text = String::from_utf8(bytes).map_err(|e| Error::malformed(self.service, e))?;
        Ok(Answer { status, text, etag })
    }

    /// Returns the failure of a call whose answer broke off after `received` bytes of its body.
    fn broken_off(&self, e: &io::Error, received: usize) -> Error {
        Error::unknown(self.service, format!("{e} after {received} bytes of the answer"))
    }
}

/// Tells a call that never left from one whose result is unknown.
fn classify(service: &'static str, e: &ureq::Error) -> Error {
    let never_left = match e {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if never_left { Error::unreachable(service, e) } else { Error::unknown(service, e) }
}
