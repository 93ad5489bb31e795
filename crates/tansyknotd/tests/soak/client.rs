//! A caller that asks all the while over kept connections, and checks what it is told.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_adapter_standins::{caller::Request, runner::EVENTS_PER_STREAM};

use crate::world::{MODEL_COUNT, Outcome, World};

/// How long a caller waits for an answer; above every route's timeout.
const WAIT: Duration = Duration::from_secs(9);
/// The routes, and whether their answers are streams.
const ROUTES: [(&str, bool); 4] =
    [("/lookup/", false), ("/ledger/", false), ("/query/", true), ("/dossier/", true)];

/// An answer as far as it came.
pub(crate) struct Answer {
    pub(crate) status: u16,
    keeps: bool,
    body: String,
    /// Whether the body ended as its head said.
    whole: bool,
}

impl Answer {
    /// Tells whether another request may follow on the connection.
    pub(crate) fn keeps_connection(&self) -> bool {
        self.keeps && self.whole
    }
}

/// Asks until the world is over; returns what broke.
pub(crate) fn run(world: &World, seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut broken = Vec::new();
    let mut kept: Option<BufReader<TcpStream>> = None;
    for n in 0_u64.. {
        if world.is_over() {
            break;
        }
        let (path, is_stream) = ROUTES[rng.random_range(0..ROUTES.len())];
        let model = format!("m{}", rng.random_range(0..MODEL_COUNT));
        let id = format!("s{seed}-{n}");
        let daemon = &world.daemons[rng.random_range(0..world.daemons.len())];
        if rng.random_bool(0.2) {
            kept = None;
        }
        let stream = kept.take().or_else(|| connect(daemon.callers()));
        let Some(mut stream) = stream else {
            std::thread::sleep(Duration::from_millis(30));
            continue;
        };
        let answer = ask(&mut stream, path, &id, is_stream.then_some(model.as_str()));
        let status = answer.as_ref().map_or(0, |a| a.status);
        if let Some(answer) = answer {
            broken.extend(judge(&answer, path, &id, is_stream));
            if answer.keeps_connection() {
                kept = Some(stream);
            }
        }
        world.saw(Outcome { id, path, status });
    }
    broken
}

/// Checks that an answer is whole and this request's.
fn judge(answer: &Answer, path: &str, id: &str, is_stream: bool) -> Option<String> {
    if answer.status != 200 {
        return None;
    }
    if !is_stream {
        let is_own = !answer.whole || answer.body == format!("answer to {id}");
        return (!is_own).then(|| format!("{path} {id}: another answer: {:?}", answer.body));
    }
    let lines = answer.body.lines().filter_map(|l| l.strip_prefix("data: token "));
    let tokens: Vec<u64> = lines.filter_map(|n| n.parse().ok()).collect();
    let in_order: Vec<u64> = (1..=tokens.len() as u64).collect();
    if tokens != in_order {
        return Some(format!("{path} {id}: tokens {tokens:?}"));
    }
    let looks_whole = answer.whole && tokens.len() as u64 != EVENTS_PER_STREAM;
    looks_whole.then(|| format!("{path} {id}: ends cleanly after {} events", tokens.len()))
}

pub(crate) fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(WAIT)).ok()?;
    Some(BufReader::new(stream))
}

/// Sends a request and reads its answer; `None` if none came.
pub(crate) fn ask(
    stream: &mut BufReader<TcpStream>,
    path: &str,
    id: &str,
    model: Option<&str>,
) -> Option<Answer> {
    let req = Request::new(path, id, model, 4_000);
    stream.get_mut().write_all(req.text().as_bytes()).ok()?;
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let (mut keeps, mut length, mut chunked) = (true, 0, false);
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        keeps &= line != "connection: close";
        chunked |= line == "transfer-encoding: chunked";
        if let Some(n) = line.strip_prefix("content-length: ") {
            length = n.parse().ok()?;
        }
    }
    let (body, whole) = if chunked { read_chunks(stream) } else { read_length(stream, length) };
    Some(Answer { status, keeps, body, whole })
}

fn read_length(stream: &mut impl Read, length: usize) -> (String, bool) {
    let mut body = vec![0; length];
    let whole = stream.read_exact(&mut body).is_ok();
    (String::from_utf8_lossy(&body).into_owned(), whole)
}

fn read_chunks(stream: &mut BufReader<TcpStream>) -> (String, bool) {
    let mut body = String::new();
    loop {
        let mut line = String::new();
        let read = stream.read_line(&mut line);
        let Ok(length) = usize::from_str_radix(line.trim_end(), 16) else { return (body, false) };
        // The line break after a chunk is part of what is read.
        let (chunk, whole) = read_length(stream, length + 2);
        if read.is_err() || !whole {
            return (body, false);
        }
        if length == 0 {
            return (body, true);
        }
        body.push_str(&chunk[..chunk.len().saturating_sub(2)]);
    }
}
