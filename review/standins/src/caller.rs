//! Callers, which send one request on a new connection and check whether the answer is complete.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status; 0 if no head of an answer arrived.
    pub status: u16,
    /// The header lines, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, without its framing.
    pub body: Vec<u8>,
    /// Whether the answer is complete by its own framing.
    pub is_complete: bool,
    /// How long it took.
    pub took: Duration,
}

impl Answer {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Sends the bytes of a request and reads its answer, for `timeout` at most.
pub fn send(address: SocketAddr, request: &[u8], timeout: Duration) -> Answer {
    let began = Instant::now();
    let mut bytes = Vec::new();
    if let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        let _ = stream.set_nodelay(true);
        if stream.write_all(request).is_ok() {
            read_answer(&mut stream, &mut bytes, began + timeout);
        }
    }
    let mut answer = parse(&bytes).unwrap_or_default();
    answer.took = began.elapsed();
    answer
}

/// Reads until the answer is complete, the connection ends or the time is over.
fn read_answer(stream: &mut TcpStream, bytes: &mut Vec<u8>, until: Instant) {
    let mut buf = [0; 16 << 10];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return;
        }
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return,
            Ok(n) => bytes.extend_from_slice(&buf[..n]),
        }
        if parse(bytes).is_some_and(|answer| answer.is_complete) {
            return;
        }
    }
}

/// Returns the answer in `bytes`; `None` if its head is not complete.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let end = find(bytes, b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut answer = Answer { status, headers, ..Answer::default() };
    let rest = &bytes[end + 4..];
    if answer.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        (answer.body, answer.is_complete) = unchunk(rest);
    } else {
        let length = answer.header("content-length").and_then(|v| v.parse::<usize>().ok());
        answer.is_complete = length.is_some_and(|length| rest.len() >= length);
        answer.body = rest.to_vec();
    }
    Some(answer)
}

/// Returns the content of complete chunks, and whether the last chunk has arrived.
fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = find(rest, b"\r\n") {
        let size = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
        let Some(chunk) = rest.get(end + 2..end + 2 + size + 2) else { break };
        if size == 0 {
            return (body, true);
        }
        body.extend_from_slice(&chunk[..size]);
        rest = &rest[end + 2 + size + 2..];
    }
    (body, false)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
