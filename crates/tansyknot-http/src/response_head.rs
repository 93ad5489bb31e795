//! The head of a response, parsed by `httparse`, and what it says about the end of the body.

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
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(HeadError::Status);
    }
    let framing = framing(status, &headers)?;
    Ok(Some((ResponseHead { status, headers, framing }, length)))
}

fn framing(status: u16, headers: &[(String, String)]) -> Result<Framing, HeadError> {
    let coding = values(headers, "transfer-encoding").next();
    let mut lengths = values(headers, "content-length");
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(HeadError::Framing);
    }
    if status == 204 || status == 304 || is_interim(status) {
        return Ok(Framing::Empty);
    }
    match (coding, length) {
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(_), _) => Err(HeadError::Framing),
        (None, Some(length)) => length.parse().map(Framing::Length).map_err(|_| HeadError::Framing),
        (None, None) => Ok(Framing::UntilClose),
    }
}

fn is_interim(status: u16) -> bool {
    (100..200).contains(&status)
}

fn values<'a>(headers: &'a [(String, String)], name: &str) -> impl Iterator<Item = &'a str> {
    headers.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str())
}
