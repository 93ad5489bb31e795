//! A caller that sends requests over persistent connections and checks the responses.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_adapter_standins::{caller::Request, runner::EVENTS_PER_STREAM};

use crate::world::{MODEL_COUNT, Outcome, World};

/// How long a caller waits for a response; longer than the timeout of every route.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(9);
/// The routes, and whether their responses are streams.
const ROUTES: [(&str, bool); 4] =
    [("/lookup/", false), ("/ledger/", false), ("/query/", true), ("/dossier/", true)];

/// A response as far as it was received.
pub(crate) struct Response {
    pub(crate) status: u16,
    keep_alive: bool,
    pub(crate) body: String,
    /// Whether the body ended as the head of the response announced.
    is_complete: bool,
}

impl Response {
    /// Returns whether another request may follow on the connection.
    pub(crate) fn keeps_connection(&self) -> bool {
        self.keep_alive && self.is_complete
    }
}

/// Sends requests until the clients are stopped; returns the violations.
pub(crate) fn run(world: &World, seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut violations = Vec::new();
    let mut connection: Option<BufReader<TcpStream>> = None;
    for n in 0_u64.. {
        if world.are_clients_stopped() {
            break;
        }
        let (path, is_stream) = ROUTES[rng.random_range(0..ROUTES.len())];
        let model = format!("m{}", rng.random_range(0..MODEL_COUNT));
        let id = format!("s{seed}-{n}");
        let daemon = &world.daemons[rng.random_range(0..world.daemons.len())];
        if rng.random_bool(0.2) {
            connection = None;
        }
        let stream = connection.take().or_else(|| connect(daemon.callers()));
        let Some(mut stream) = stream else {
            std::thread::sleep(Duration::from_millis(30));
            continue;
        };
        let response = send(&mut stream, path, &id, is_stream.then_some(model.as_str()));
        let status = response.as_ref().map_or(0, |a| a.status);
        if let Some(response) = response {
            violations.extend(check_response(&response, path, &id, is_stream));
            if response.keeps_connection() {
                connection = Some(stream);
            }
        }
        world.record_outcome(Outcome { id, path, status });
    }
    violations
}

/// Checks that a successful response is complete and belongs to the request.
fn check_response(response: &Response, path: &str, id: &str, is_stream: bool) -> Option<String> {
    if response.status != 200 {
        return None;
    }
    if !is_stream {
        let is_own = !response.is_complete || response.body == format!("answer to {id}");
        return (!is_own)
            .then(|| format!("{path} {id}: response of another request: {:?}", response.body));
    }
    let lines = response.body.lines().filter_map(|l| l.strip_prefix("data: token "));
    let tokens: Vec<u64> = lines.filter_map(|n| n.parse().ok()).collect();
    let in_order: Vec<u64> = (1..=tokens.len() as u64).collect();
    if tokens != in_order {
        return Some(format!("{path} {id}: tokens {tokens:?}"));
    }
    let has_wrong_event_count = response.is_complete && tokens.len() as u64 != EVENTS_PER_STREAM;
    has_wrong_event_count
        .then(|| format!("{path} {id}: the stream ends cleanly after {} events", tokens.len()))
}

pub(crate) fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    Some(BufReader::new(stream))
}

/// Sends a request and reads its response; returns `None` if none was received.
pub(crate) fn send(
    stream: &mut BufReader<TcpStream>,
    path: &str,
    id: &str,
    model: Option<&str>,
) -> Option<Response> {
    send_request(stream, &Request::new(path, id, model, 4_000))
}

/// Sends a request and reads the response; `None` if there is none.
pub(crate) fn send_request(
    stream: &mut BufReader<TcpStream>,
    req: &Request<'_>,
) -> Option<Response> {
    stream.get_mut().write_all(req.text().as_bytes()).ok()?;
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let (mut keep_alive, mut length, mut chunked) = (true, 0, false);
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        keep_alive &= line != "connection: close";
        chunked |= line == "transfer-encoding: chunked";
        if let Some(n) = line.strip_prefix("content-length: ") {
            length = n.parse().ok()?;
        }
    }
    let (body, is_complete) =
        if chunked { read_chunks(stream) } else { read_length(stream, length) };
    Some(Response { status, keep_alive, body, is_complete })
}

fn read_length(stream: &mut impl Read, length: usize) -> (String, bool) {
    let mut body = vec![0; length];
    let is_complete = stream.read_exact(&mut body).is_ok();
    (String::from_utf8_lossy(&body).into_owned(), is_complete)
}

fn read_chunks(stream: &mut BufReader<TcpStream>) -> (String, bool) {
    let mut body = String::new();
    loop {
        let mut line = String::new();
        let read = stream.read_line(&mut line);
        let Ok(length) = usize::from_str_radix(line.trim_end(), 16) else { return (body, false) };
        // The line break after a chunk is read together with the chunk.
        let (chunk, is_complete) = read_length(stream, length + 2);
        if read.is_err() || !is_complete {
            return (body, false);
        }
        if length == 0 {
            return (body, true);
        }
        body.push_str(&chunk[..chunk.len().saturating_sub(2)]);
    }
}
