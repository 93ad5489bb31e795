//! A blocking HTTP client for complete JSON responses, and the classification of its failures.

use std::{
    io::{self, Read as _},
    time::Duration,
};

use serde::{Serialize, de::DeserializeOwned};
use tansyknot_core::{Error, Result};

/// A call whose response body is longer than this fails, unless the client has another bound. The longest
/// responses are the platform's lists.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// A response with its body as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub text: String,
    /// The `ETag` header, if it was sent.
    pub etag: Option<String>,
    headers: ureq::http::HeaderMap,
}

impl HttpResponse {
    /// Returns the value of a header, if it was sent and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// A client of one kind of external service.
#[derive(Clone, Debug)]
pub struct JsonClient {
    service: &'static str,
    agent: ureq::Agent,
    max_response_bytes: u64,
}

impl JsonClient {
    /// Creates a client whose calls time out after `timeout`. Errors name the `service`.
    pub fn new(service: &'static str, timeout: Duration) -> Self {
        let cfg = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .timeout_connect(Some(timeout.min(Duration::from_secs(1))))
            .max_redirects(0)
            .proxy(None)
            .build();
        Self { service, agent: cfg.new_agent(), max_response_bytes: MAX_RESPONSE_BYTES }
    }

    /// Returns this client with a bound on the body of each response. Without it, a service that sends
    /// bytes without end could take the memory of a small host.
    #[must_use]
    pub fn with_max_response_bytes(self, bytes: u64) -> Self {
        Self { max_response_bytes: bytes, ..self }
    }

    /// Gets `url` with query parameters.
    ///
    /// # Errors
    ///
    /// Fails if no complete UTF-8 response was received.
    pub fn get(&self, url: &str, query: &[(&str, &str)]) -> Result<HttpResponse> {
        let req = self.agent.get(url).query_pairs(query.iter().copied());
        self.read(req.call())
    }

    /// Gets `url` with query parameters; `timeout` replaces the client's timeout.
    ///
    /// # Errors
    ///
    /// Fails if no complete UTF-8 response was received.
    pub fn get_with_timeout(
        &self,
        url: &str,
        query: &[(&str, &str)],
        timeout: Duration,
    ) -> Result<HttpResponse> {
        let req = self.agent.get(url).query_pairs(query.iter().copied());
        self.read(req.config().timeout_global(Some(timeout)).build().call())
    }

    /// Gets `url`, or a response with status 304 if the resource still has this `ETag`.
    ///
    /// # Errors
    ///
    /// Fails if no complete UTF-8 response was received.
    pub fn get_if_changed(&self, url: &str, etag: Option<&str>) -> Result<HttpResponse> {
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
    /// Fails if no complete UTF-8 response was received. The call may have taken effect if
    /// [`Error::may_have_taken_effect`] returns true.
    pub fn post<T: Serialize>(&self, url: &str, doc: &T) -> Result<HttpResponse> {
        self.read(self.agent.post(url).send_json(doc))
    }

    /// Parses the text of a response.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the text is not a JSON document of type `T`.
    pub fn parse<T: DeserializeOwned>(&self, text: &str) -> Result<T> {
        serde_json::from_str(text).map_err(|e| Error::malformed(self.service, e))
    }

    /// Returns the error for a status that the protocol does not define: [`Error::Busy`] for 429 and
    /// 503, otherwise [`Error::Malformed`].
    pub fn unexpected_status(&self, response: &HttpResponse) -> Error {
        match response.status {
            429 | 503 => Error::busy(self.service, &response.text),
            status => Error::malformed(self.service, format!("status {status}: {}", response.text)),
        }
    }

    fn read(
        &self,
        result: std::result::Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<HttpResponse> {
        let mut res = result.map_err(|e| classify(self.service, &e))?;
        let status = res.status().as_u16();
        let etag = res.headers().get("etag").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let mut bytes = Vec::new();
        let mut body = res.body_mut().with_config().limit(self.max_response_bytes).reader();
        body.read_to_end(&mut bytes).map_err(|e| self.body_error(&e, bytes.len()))?;
        let text = String::from_utf8(bytes).map_err(|e| Error::malformed(self.service, e))?;
        Ok(HttpResponse { status, text, etag, headers: std::mem::take(res.headers_mut()) })
    }

    /// Returns the error of a call whose response body failed after `received` bytes.
    fn body_error(&self, e: &io::Error, received: usize) -> Error {
        Error::unknown(self.service, format!("{e} after {received} bytes of the answer"))
    }
}

/// Distinguishes a call that was never sent from one whose outcome is unknown.
fn classify(service: &'static str, e: &ureq::Error) -> Error {
    let never_sent = match e {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if never_sent { Error::unreachable(service, e) } else { Error::unknown(service, e) }
}
