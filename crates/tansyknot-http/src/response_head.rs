//! The head of a response, parsed by `httparse`, and what it says about the end of the body.
//!
//! A head that does not say clearly where the body ends is malformed: its body could be taken for another
//! one.

use std::ops::RangeInclusive;

use thiserror::Error;

/// Maximum number of header lines in a response head.
const MAX_HEADERS: usize = 64;
/// The statuses that HTTP defines classes for.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// The status of a change to a protocol that no request asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Why bytes are not the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// They are not a status line and header lines.
    #[error("not the head of a response")]
    Syntax,
    /// HTTP has no such status, or it is the response to another request.
    #[error("invalid status")]
    Status,
    /// The header lines do not say clearly where the body ends.
    #[error("ambiguous end of the body")]
    Framing,
}

/// The version of the protocol of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.0, which has no chunks.
    Http10,
    /// HTTP/1.1.
    Http11,
}

/// How the body of a response is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The response has no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// How the body is framed.
    pub framing: Framing,
}

impl ResponseHead {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        values(&self.headers, name).next()
    }

    /// Returns whether it is the head of an interim response, which another response follows.
    pub fn is_interim(&self) -> bool {
        is_interim(self.status)
    }
}

/// Parses the head at the start of `buf`.
///
/// Returns the head and its length in bytes, `None` if the head is incomplete.
///
/// # Errors
///
/// Fails if the bytes are not the start of a response whose end is clear.
pub fn parse(buf: &[u8]) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut res = httparse::Response::new(&mut lines);
    let length = match res.parse(buf) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HeadError::Syntax),
    };
    let mut headers = Vec::with_capacity(res.headers.len());
    for line in res.headers.iter() {
        let value = std::str::from_utf8(line.value).map_err(|_| HeadError::Syntax)?;
        headers.push((line.name.to_ascii_lowercase(), value.to_owned()));
    }
    let status = res.code.ok_or(HeadError::Syntax)?;
    let version = if res.version == Some(0) { Version::Http10 } else { Version::Http11 };
    let framing = framing(version, status, &headers)?;
    Ok(Some((ResponseHead { status, headers, framing }, length)))
}

/// Checks that HTTP has a status, and that it may be the final one or an interim one of a request.
///
/// # Errors
///
/// Fails if it is no such status.
pub fn check_status(status: u16) -> Result<(), HeadError> {
    let is_valid = STATUSES.contains(&status) && status != SWITCHING_PROTOCOLS;
    is_valid.then_some(()).ok_or(HeadError::Status)
}

/// Returns how the body of a response is framed. The names of `headers` are in lower case.
///
/// # Errors
///
/// Fails if HTTP has no such status, or if the headers do not say clearly where the body ends.
pub fn framing(
    version: Version,
    status: u16,
    headers: &[(String, String)],
) -> Result<Framing, HeadError> {
    check_status(status)?;
    let framing = match (is_chunked(version, headers)?, content_length(headers)?) {
        (true, Some(_)) => return Err(HeadError::Framing),
        (true, None) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::UntilClose,
    };
    let has_no_body = is_interim(status) || status == 204;
    match framing {
        Framing::Chunked | Framing::Length(1..) if has_no_body => Err(HeadError::Framing),
        _ if has_no_body || status == 304 => Ok(Framing::Empty),
        Framing::UntilClose if is_persistent(version, headers) => Err(HeadError::Framing),
        framing => Ok(framing),
    }
}

fn is_interim(status: u16) -> bool {
    (100..200).contains(&status)
}

/// Returns whether the body is sent in chunks. No other coding is asked for.
fn is_chunked(version: Version, headers: &[(String, String)]) -> Result<bool, HeadError> {
    let mut codings = values(headers, "transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None)
            if coding.eq_ignore_ascii_case("chunked") && version == Version::Http11 =>
        {
            Ok(true)
        }
        _ => Err(HeadError::Framing),
    }
}

fn content_length(headers: &[(String, String)]) -> Result<Option<u64>, HeadError> {
    let mut lengths = values(headers, "content-length");
    let Some(length) = lengths.next() else { return Ok(None) };
    // The parser of the standard library accepts a sign.
    let is_number = length.bytes().all(|b| b.is_ascii_digit());
    if !is_number || lengths.any(|other| other != length) {
        return Err(HeadError::Framing);
    }
    length.parse().map(Some).map_err(|_| HeadError::Framing)
}

/// Returns whether the sender keeps the connection open (RFC 9112, 9.3), so that its end can't be the
/// body's.
fn is_persistent(version: Version, headers: &[(String, String)]) -> bool {
    let has_option = |option: &str| {
        let mut options = values(headers, "connection").flat_map(|v| v.split(','));
        options.any(|o| o.trim().eq_ignore_ascii_case(option))
    };
    match version {
        Version::Http10 => has_option("keep-alive") && !has_option("close"),
        Version::Http11 => !has_option("close"),
    }
}

fn values<'a>(headers: &'a [(String, String)], name: &str) -> impl Iterator<Item = &'a str> {
    headers.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str())
}
