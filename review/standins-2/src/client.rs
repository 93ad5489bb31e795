//! A caller: one request on one channel, and what came back.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// An answer, as far as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the framing says that the body is complete.
    pub is_complete: bool,
    pub head_after: Option<Duration>,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = |line: &'_ &str| {
            line.split_once(':').is_some_and(|(n, _)| n.trim().eq_ignore_ascii_case(name))
        };
        Some(self.head.lines().find(line)?.split_once(':')?.1.trim())
    }
}

/// Sends a request on a new channel and reads its answer for at most `budget`.
pub fn exchange(address: SocketAddr, request: &[u8], budget: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    exchange_on(&mut stream, request, budget)
}

/// Sends a request on an open channel and reads its answer for at most `budget`.
pub fn exchange_on(stream: &mut TcpStream, request: &[u8], budget: Duration) -> io::Result<Answer> {
    let began = Instant::now();
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(budget))?;
    stream.write_all(request)?;
    Ok(read_answer(stream, began, budget))
}

fn read_answer(stream: &mut TcpStream, began: Instant, budget: Duration) -> Answer {
    let mut answer = Answer::default();
    let mut bytes = Vec::new();
    let mut buf = [0; 16 << 10];
    loop {
        if answer.status == 0 {
            parse_head(&mut answer, &bytes, began);
        }
        if answer.status != 0 && take_body(&mut answer, &bytes) {
            answer.is_complete = true;
            break;
        }
        let left = budget.saturating_sub(began.elapsed());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            break;
        }
        match stream.read(&mut buf) {
            Ok(0) => {
                // Only an answer without any framing ends with the channel.
                let is_framed = answer.header("content-length").is_some()
                    || answer.header("transfer-encoding").is_some();
                answer.is_complete = answer.status != 0 && !is_framed;
                break;
            }
            Ok(n) => bytes.extend_from_slice(&buf[..n]),
            Err(_) => break,
        }
    }
    answer.took = began.elapsed();
    answer
}

fn head_length(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4)
}

fn parse_head(answer: &mut Answer, bytes: &[u8], began: Instant) {
    let Some(length) = head_length(bytes) else { return };
    let head = String::from_utf8_lossy(&bytes[..length]).into_owned();
    answer.status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    answer.head = head;
    answer.head_after = Some(began.elapsed());
}

/// Decodes the body received so far; returns whether its framing says that it is complete.
fn take_body(answer: &mut Answer, bytes: &[u8]) -> bool {
    let rest = &bytes[head_length(bytes).unwrap_or(bytes.len())..];
    if answer.header("transfer-encoding").is_some() {
        let (body, is_complete) = dechunk(rest);
        answer.body = body;
        return is_complete;
    }
    answer.body = rest.to_vec();
    let length = answer.header("content-length").and_then(|v| v.parse().ok());
    length.is_some_and(|length: usize| rest.len() >= length)
}

fn dechunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(at) = rest.windows(2).position(|w| w == b"\r\n") else { return (body, false) };
        let size = String::from_utf8_lossy(&rest[..at]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (body, false) };
        rest = &rest[at + 2..];
        if size == 0 {
            return (body, rest.starts_with(b"\r\n"));
        }
        body.extend_from_slice(&rest[..size.min(rest.len())]);
        if rest.len() < size + 2 {
            return (body, false);
        }
        rest = &rest[size + 2..];
    }
}
