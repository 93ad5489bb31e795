//! Writes responses, complete or streamed.

use std::{
    io::{self, Write},
    net::{Shutdown, TcpStream},
    slice,
    sync::Arc,
};

use chunked_transfer::Encoder;

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

/// Writes a complete response, with one call unless its body is large.
///
/// # Errors
///
/// Fails if the caller has disconnected or does not read.
pub fn write_response(
    mut stream: &TcpStream,
    response: &FullResponse,
    after: ConnectionAction,
) -> io::Result<()> {
    let FullResponse { status, content_type, headers, body } = response;
    write_parts(&mut stream, (*status, content_type, headers), slice::from_ref(body), after)
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
    parts: &[impl AsRef<[u8]>],
    after: ConnectionAction,
) -> io::Result<()> {
    let length: usize = parts.iter().map(|part| part.as_ref().len()).sum();
    let is_copied = length <= MAX_COPIED_BODY_BYTES;
    let mut buf = Vec::with_capacity(256 + if is_copied { length } else { 0 });
    let (status, content_type, headers) = head;
    write_head(&mut buf, status, content_type, headers, after);
    buf.extend_from_slice(format!("content-length: {length}\r\n\r\n").as_bytes());
    if is_copied {
        parts.iter().for_each(|part| buf.extend_from_slice(part.as_ref()));
        return stream.write_all(&buf);
    }
    stream.write_all(&buf)?;
    parts.iter().try_for_each(|part| stream.write_all(part.as_ref()))
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
    stream: SharedStream,
    body: Option<Body>,
}

enum Body {
    Chunked(Encoder<SharedStream>),
    /// For HTTP/1.0 callers: the end of the connection ends the body.
    Plain(SharedStream),
}

/// The caller's connection, shared by the body and the response.
#[derive(Clone)]
struct SharedStream(Arc<TcpStream>);

impl Write for SharedStream {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        (&*self.0).write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        (&*self.0).flush()
    }
}

/// Writes the head of a streamed response.
///
/// # Errors
///
/// Fails if the caller has disconnected.
pub fn start_stream(
    stream: &Arc<TcpStream>,
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
    let mut stream = SharedStream(Arc::clone(stream));
    // The encoder writes the last chunk when it is dropped, so nothing may fail once it exists.
    stream.write_all(&buf)?;
    let body = if http_1_1 {
        Body::Chunked(Encoder::with_flush_after_write(stream.clone()))
    } else {
        Body::Plain(stream.clone())
    };
    Ok(StreamedResponse { stream, body: Some(body) })
}

impl StreamedResponse {
    /// Sends bytes of the body immediately.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or does not read.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.body {
            Some(Body::Chunked(encoder)) => encoder.write_all(bytes),
            Some(Body::Plain(out)) => out.write_all(bytes),
            None => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Ends the body as complete.
    pub fn end(mut self) {
        // Dropping the encoder writes the last chunk.
        self.body = None;
    }
}

impl Drop for StreamedResponse {
    fn drop(&mut self) {
        if self.body.is_some() {
            // A missing last chunk shows the caller that the body is incomplete. The connection is
            // shut down first because the encoder writes that chunk when it is dropped.
            let _ = self.stream.0.shutdown(Shutdown::Write);
        }
    }
}

/// Writes the interim response `100 Continue` for which a caller with `Expect: 100-continue` waits.
///
/// # Errors
///
/// Fails if the caller has disconnected.
pub fn write_continue(mut stream: &TcpStream) -> io::Result<()> {
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
