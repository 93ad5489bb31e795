//! Writes responses, complete or streamed.

use std::{
    io::{self, Write},
    net::{Shutdown, TcpStream},
    slice,
};

/// A response with a complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FullResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// What happens to the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// The connection waits for the next request.
    KeepAlive,
    /// The connection is closed.
    Close,
}

/// Bodies up to this size are copied behind the head, so that one call writes both. A larger body is
/// written by itself, as its copy would double the memory for a caller that reads slowly.
const MAX_COPIED_BODY_BYTES: usize = 16 << 10;

const LINE_END: &[u8] = b"\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Writes a complete response, with one call unless its body is large.
///
/// # Errors
///
/// Fails if the caller has disconnected or does not read.
pub fn write_response(
    stream: &mut impl Write,
    response: &FullResponse,
    after: ConnectionAction,
) -> io::Result<()> {
    let FullResponse { status, content_type, headers, body } = response;
    write_parts(stream, (*status, content_type, headers), slice::from_ref(body), after)
}

/// Writes a complete response whose body is in several parts, like [`write_response`]. `head` has its
/// status, content type and additional headers.
///
/// # Errors
///
/// Fails if the caller has disconnected or does not read.
pub fn write_parts(
    stream: &mut impl Write,
    head: (u16, &str, &[(String, String)]),
    parts: &[Vec<u8>],
    after: ConnectionAction,
) -> io::Result<()> {
    let length: usize = parts.iter().map(Vec::len).sum();
    let is_copied = length <= MAX_COPIED_BODY_BYTES;
    let mut buf = Vec::with_capacity(256 + if is_copied { length } else { 0 });
    let (status, content_type, headers) = head;
    write_head(&mut buf, status, content_type, headers, after);
    buf.extend_from_slice(format!("content-length: {length}\r\n\r\n").as_bytes());
    if is_copied {
        parts.iter().for_each(|part| buf.extend_from_slice(part));
        return stream.write_all(&buf);
    }
    stream.write_all(&buf)?;
    parts.iter().try_for_each(|part| stream.write_all(part))
}

fn write_head(
    buf: &mut Vec<u8>,
    status: u16,
    content_type: &str,
    headers: &[(String, String)],
    after: ConnectionAction,
) {
    let mut line = |text: String| buf.extend_from_slice(text.as_bytes());
    line(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)));
    line(format!("content-type: {content_type}\r\n"));
    for (name, value) in headers {
        line(format!("{name}: {value}\r\n"));
    }
    if after == ConnectionAction::Close {
        line("connection: close\r\n".to_owned());
    }
}

/// A streamed response; each write is sent immediately as one chunk. Unless it is ended, the caller
/// sees that it is incomplete.
pub struct StreamedResponse {
    stream: TcpStream,
    /// Whether the body is chunked. For HTTP/1.0 callers, the end of the connection ends it.
    is_chunked: bool,
    has_ended: bool,
}

/// Writes the head of a streamed response.
///
/// # Errors
///
/// Fails if the caller has disconnected, or, before the head is written, if the process has no file
/// descriptor left.
pub fn start_stream(
    stream: &TcpStream,
    status: u16,
    content_type: &str,
    headers: &[(String, String)],
    http_1_1: bool,
    after: ConnectionAction,
) -> io::Result<StreamedResponse> {
    let mut buf = Vec::with_capacity(256);
    let after = if http_1_1 { after } else { ConnectionAction::Close };
    write_head(&mut buf, status, content_type, headers, after);
    if http_1_1 {
        buf.extend_from_slice(b"transfer-encoding: chunked\r\n");
    }
    buf.extend_from_slice(b"\r\n");
    let mut out =
        StreamedResponse { stream: stream.try_clone()?, is_chunked: http_1_1, has_ended: false };
    out.stream.write_all(&buf)?;
    Ok(out)
}

impl StreamedResponse {
    /// Sends bytes of the body immediately.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or does not read.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        if !self.is_chunked {
            return self.stream.write_all(bytes);
        }
        if bytes.is_empty() {
            // An empty chunk would end the body.
            return Ok(());
        }
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.reserve_exact(bytes.len() + LINE_END.len());
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(LINE_END);
        self.stream.write_all(&chunk)
    }

    /// Ends the body as complete.
    pub fn end(mut self) {
        // If the caller does not get the last chunk, the body is incomplete for it.
        self.has_ended = !self.is_chunked || self.stream.write_all(LAST_CHUNK).is_ok();
    }
}

impl Drop for StreamedResponse {
    fn drop(&mut self) {
        if !self.has_ended {
            // A missing last chunk shows the caller that the body is incomplete.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }
}

/// Writes the interim response `100 Continue` for which a caller with `Expect: 100-continue` waits.
///
/// # Errors
///
/// Fails if the caller has disconnected.
pub fn write_continue(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        499 => "Client Closed Request",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
