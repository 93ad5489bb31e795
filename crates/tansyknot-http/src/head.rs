//! The head of a request, parsed by `httparse` and checked against the daemon's limits.

use tansyknot_core::refusal::{Reason, Refusal};

/// Maximum number of header lines in one head.
const MAX_HEADERS: usize = 64;

/// Hop-by-hop headers (RFC 9110, 7.6.1), in addition to those that `Connection` names.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers to forward: all but the hop-by-hop headers and `Content-Length`, which is
/// written anew.
pub fn end_to_end(headers: &[(String, String)]) -> impl Iterator<Item = &(String, String)> + Clone {
    let connection_options =
        headers.iter().filter(|(n, _)| n == "connection").flat_map(|(_, v)| v.split(','));
    let connection_options: Vec<String> =
        connection_options.map(|name| name.trim().to_ascii_lowercase()).collect();
    headers.iter().filter(move |(name, _)| {
        name != "content-length"
            && !HOP_BY_HOP_HEADERS.contains(&name.as_str())
            && !connection_options.contains(name)
    })
}

/// How the body of a request is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The request has no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// Path and query as received, for forwarding unchanged.
    pub target: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Whether the connection may be reused for another request.
    pub keep_alive: bool,
    /// Whether the request is HTTP/1.1, so that the caller accepts a chunked response.
    pub http_1_1: bool,
    /// How the body is framed.
    pub framing: Framing,
}

impl Head {
    /// Returns the value of a header; `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns whether the request declares a body, even an empty one.
    pub fn has_body(&self) -> bool {
        self.framing != Framing::None
    }

    /// Returns whether the caller waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.header("expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"))
    }
}

/// Parses the head at the start of `buf`.
///
/// Returns the head and its length in bytes, `None` if the head is incomplete.
///
/// # Errors
///
/// Fails if the bytes are not the start of a request that the daemon accepts.
pub fn parse(buf: &[u8]) -> Result<Option<(Head, usize)>, Refusal> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut lines);
    let length = match req.parse(buf) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => {
            return Err(Refusal::not_run(Reason::HeadTooLarge, "too many header lines"));
        }
        Err(e) => return Err(bad_request(e.to_string())),
    };
    let http_1_1 = req.version == Some(1);
    let target = req.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut headers = Vec::with_capacity(req.headers.len());
    for line in req.headers.iter() {
        let value = std::str::from_utf8(line.value)
            .map_err(|_| bad_request(format!("the value of {} is not text", line.name)))?;
        headers.push((line.name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    reject_duplicates(&headers)?;
    let framing = framing(&headers)?;
    let keep_alive = keeps_alive(&headers, http_1_1);
    let head = Head {
        method: req.method.unwrap_or("GET").to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        target: target.to_owned(),
        headers,
        keep_alive,
        http_1_1,
        framing,
    };
    Ok(Some((head, length)))
}

/// Returns whether an empty line, which ends a head, ends after the first `scanned` bytes of `buf`.
pub(crate) fn may_end(buf: &[u8], scanned: usize) -> bool {
    let unscanned = &buf[scanned.saturating_sub(2)..];
    let ends_line = |i: usize| unscanned[..i].ends_with(b"\n") || unscanned[..i].ends_with(b"\n\r");
    unscanned.iter().enumerate().any(|(i, byte)| *byte == b'\n' && ends_line(i))
}

/// Headers that may occur only once: they decide on the caller, the request's identity and deadline,
/// and the end of the body.
const SINGLETON_HEADERS: &[&str] = &[
    "authorization",
    "content-length",
    "transfer-encoding",
    "idempotency-key",
    "x-deadline-ms",
    "x-request-id",
];

fn reject_duplicates(headers: &[(String, String)]) -> Result<(), Refusal> {
    for name in SINGLETON_HEADERS {
        if headers.iter().filter(|(n, _)| n == name).count() > 1 {
            return Err(bad_request(format!("{name} is there more than once")));
        }
    }
    Ok(())
}

fn framing(headers: &[(String, String)]) -> Result<Framing, Refusal> {
    let value = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
    match (value("transfer-encoding"), value("content-length")) {
        // Requests with both framings can be used for request smuggling (RFC 9112, 6.1).
        (Some(_), Some(_)) => Err(bad_request("content-length beside transfer-encoding")),
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(coding), None) => {
            Err(bad_request(format!("transfer-encoding {coding} is not taken")))
        }
        (None, Some(length)) if length.bytes().all(|b| b.is_ascii_digit()) => length
            .parse()
            .map(Framing::Length)
            .map_err(|_| bad_request("content-length is no number")),
        (None, Some(_)) => Err(bad_request("content-length is no number")),
        (None, None) => Ok(Framing::None),
    }
}

fn keeps_alive(headers: &[(String, String)], http_1_1: bool) -> bool {
    let connection = headers.iter().find(|(n, _)| n == "connection").map(|(_, v)| v.as_str());
    match connection {
        Some(v) if v.eq_ignore_ascii_case("close") => false,
        Some(v) if v.eq_ignore_ascii_case("keep-alive") => true,
        _ => http_1_1,
    }
}

fn bad_request(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::BadRequest, detail)
}
