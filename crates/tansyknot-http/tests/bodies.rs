//! The receipt of bodies in random framings, compared with a plain model.

use std::{
    collections::VecDeque,
    io::{self, Write},
    net::{Shutdown, TcpListener, TcpStream},
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_core::refusal::Reason;
use tansyknot_http::{
    body::{self, Body},
    head::Framing,
    memory::{RequestMemory, ResponseShare, UNSHARED_RESPONSE_BYTES},
    receive::{Receiver, Source},
};
use yare::parameterized;

const LIMIT: u64 = 300 << 10;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Delivers bytes in pieces, and then the end of the stream. Counts the reads.
struct Pieces {
    pieces: VecDeque<Vec<u8>>,
    reads: Arc<AtomicUsize>,
}

impl Source for Pieces {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        let Some(piece) = self.pieces.front_mut() else { return Ok(0) };
        let n = out.len().min(piece.len());
        out[..n].copy_from_slice(&piece[..n]);
        piece.drain(..n);
        if piece.is_empty() {
            self.pieces.pop_front();
        }
        Ok(n)
    }

    fn set_timeout(&mut self, _: Duration) -> io::Result<()> {
        Ok(())
    }
}

/// Returns a connection, which a body that gives way would end.
fn connection() -> Arc<TcpStream> {
    let (client, _) = connect(&listen());
    Arc::new(client)
}

fn receiver(pieces: impl IntoIterator<Item = Vec<u8>>) -> (Receiver, Arc<AtomicUsize>) {
    let reads = Arc::default();
    let source = Pieces { pieces: pieces.into_iter().collect(), reads: Arc::clone(&reads) };
    let mut rx = Receiver::new(source);
    rx.set_deadline(TIMEOUT);
    (rx, reads)
}

/// A body on the wire, and what is expected of it.
struct Case {
    framing: Framing,
    wire: Vec<u8>,
    /// `None` if the body is refused.
    content: Option<Vec<u8>>,
}

fn random_bytes(rng: &mut StdRng, length: usize) -> Vec<u8> {
    (0..length).map(|_| rng.random()).collect()
}

/// Returns a length, often a small one and sometimes one beyond the limit.
fn random_length(rng: &mut StdRng) -> usize {
    let max = [8, 300, 5_000, 70_000, 310_000][rng.random_range(0..5)];
    rng.random_range(0..max)
}

fn random_case(rng: &mut StdRng) -> Case {
    let length = random_length(rng);
    let mut content = random_bytes(rng, length);
    let mut is_whole = content.len() as u64 <= LIMIT;
    let (framing, mut wire) = if rng.random_bool(0.3) {
        (Framing::Length(content.len() as u64), content.clone())
    } else {
        (Framing::Chunked, random_chunks(rng, &content))
    };
    if rng.random_bool(0.2) && !wire.is_empty() {
        wire.truncate(rng.random_range(0..wire.len()));
        is_whole = false;
    } else if rng.random_bool(0.2) {
        // The next request.
        wire.extend_from_slice(b"GET / HTTP/1.1\r\n\r\n");
    }
    if framing == Framing::Length(0) {
        content.clear();
        is_whole = true;
    }
    Case { framing, wire, content: is_whole.then_some(content) }
}

fn random_chunks(rng: &mut StdRng, mut content: &[u8]) -> Vec<u8> {
    let max = [1, 4, 100, 9_000, 200_000][rng.random_range(0..5)];
    let mut wire = Vec::new();
    while !content.is_empty() {
        let n = rng.random_range(1..=max).min(content.len());
        let zeros = "0".repeat(rng.random_range(0..4));
        wire.extend_from_slice(format!("{zeros}{n:X}{}\r\n", extension(rng)).as_bytes());
        wire.extend_from_slice(&content[..n]);
        wire.extend_from_slice(b"\r\n");
        content = &content[n..];
    }
    wire.extend_from_slice(format!("0{}\r\n{}\r\n", extension(rng), trailers(rng)).as_bytes());
    wire
}

fn trailers(rng: &mut StdRng) -> String {
    let lines = if rng.random_bool(0.8) { 0 } else { rng.random_range(1..10) };
    let line = |n: usize| format!("X-Trailer-{n}: {}\r\n", "t".repeat(n * 20));
    (0..lines).map(line).collect()
}

fn extension(rng: &mut StdRng) -> String {
    if rng.random_bool(0.8) {
        return String::new();
    }
    format!(";{}", "e".repeat(rng.random_range(0..200)))
}

/// Cuts the wire into pieces of random lengths.
fn random_pieces(rng: &mut StdRng, mut wire: &[u8]) -> Vec<Vec<u8>> {
    let max = [1, 50, 5_000, 100_000][rng.random_range(0..4)];
    let mut pieces = Vec::new();
    while !wire.is_empty() {
        let (piece, rest) = wire.split_at(rng.random_range(1..=max).min(wire.len()));
        pieces.push(piece.to_vec());
        wire = rest;
    }
    pieces
}

fn seeds() -> Range<u64> {
    let text = std::env::var("BODY_SEEDS").unwrap_or_else(|_| "0..60".to_owned());
    let (from, to) = text.split_once("..").expect("a range of seeds");
    from.parse().expect("a number")..to.parse().expect("a number")
}

#[test]
fn bodies_in_random_framings_are_received_as_in_a_plain_model() {
    let memory = Arc::new(RequestMemory::new(0, LIMIT));
    let stream = connection();
    for seed in seeds() {
        let mut rng = StdRng::seed_from_u64(seed);
        let case = random_case(&mut rng);
        let (mut rx, _) = receiver(random_pieces(&mut rng, &case.wire));
        let received = body::read(&mut rx, case.framing, LIMIT, &memory, &stream);
        let content = received.as_ref().ok().map(|body| body.contiguous().into_owned());
        assert!(content == case.content, "seed {seed}: {:?}", received.as_ref().err());
        if let Ok(body) = &received {
            assert!(memory.held_bytes() >= body.len() as u64, "seed {seed}: bytes are not counted");
            let from_parts: Vec<u8> = body.parts().flatten().copied().collect();
            assert!(Some(from_parts) == case.content, "seed {seed}");
        }
        drop(received);
        assert_eq!(memory.held_bytes(), 0, "seed {seed}: bytes are still held");
    }
    // The longest body takes no more than its blocks and the kernel's buffer.
    let bound = LIMIT + (64 << 10) + (128 << 10);
    assert!(memory.peak_bytes() <= bound, "{} bytes", memory.peak_bytes());
}

#[test]
fn body_in_chunks_of_a_byte_costs_a_read_for_each() {
    let content = 10_000;
    let wire = [b"1\r\nb\r\n".repeat(content), b"0\r\n\r\n".to_vec()].concat();
    let wire_len = wire.len();
    let (mut rx, reads) = receiver([wire]);
    let memory = Arc::new(RequestMemory::new(0, LIMIT));
    let body = body::read(&mut rx, Framing::Chunked, LIMIT, &memory, &connection());
    assert_eq!(body.expect("the body is valid").len(), content);
    let reads = reads.load(Ordering::SeqCst);
    assert!(reads <= wire_len / 4096 + 2, "{reads} reads for {wire_len} bytes");
}

#[parameterized(
    none = { "", true },
    without_value = { "X-Sum:\r\n", true },
    several = { "X-Sum: a:b\r\nX-Other: c\r\n", true },
    another_request = { "GET / HTTP/1.1\r\n", false },
    without_name = { ": a\r\n", false },
    folded = { "X-Sum: a\r\n b\r\n", false },
    too_long = { &"X-Sum: a\r\n".repeat(1_000), false },
)]
fn trailers_are_skipped(trailers: &str, is_valid: bool) {
    let next = b"GET / HTTP/1.1\r\n\r\n";
    let wire = [format!("3\r\nabc\r\n0\r\n{trailers}\r\n").as_bytes(), next].concat();
    let (mut rx, _) = receiver([wire]);
    let memory = Arc::new(RequestMemory::new(0, LIMIT));
    let body = body::read(&mut rx, Framing::Chunked, LIMIT, &memory, &connection());
    match body {
        Ok(body) => {
            assert!(is_valid);
            assert_eq!((&*body.contiguous(), rx.buffered()), (&b"abc"[..], &next[..]));
        }
        Err(refusal) => assert_eq!((refusal.reason, is_valid), (Reason::BadRequest, false)),
    }
}

/// Receives a body of this length, of which all bytes are there.
fn receive(length: usize, memory: &Arc<RequestMemory>) -> Result<Body, Reason> {
    let (mut rx, _) = receiver([vec![b'b'; length]]);
    let framing = Framing::Length(length as u64);
    body::read(&mut rx, framing, LIMIT, memory, &connection()).map_err(|refusal| refusal.reason)
}

#[test]
fn small_body_finds_no_room_beside_long_ones() {
    let memory = Arc::new(RequestMemory::new(0, LIMIT));
    let longest = receive(LIMIT as usize, &memory).expect("the longest body alone finds room");
    let refused = receive(LIMIT as usize, &memory).expect_err("there is no room for another one");
    assert_eq!(refused, Reason::NoMemory);
    let small = receive(32 << 10, &memory).expect("small bodies have a reserve");
    drop((longest, small));
    assert_eq!(memory.held_bytes(), 0);
    receive(LIMIT as usize, &memory).expect("the bytes are released");
}

/// Guards against responses that take what small bodies need.
#[test]
fn responses_leave_room_for_small_bodies() {
    let memory = Arc::new(RequestMemory::new(0, LIMIT).with_total(0));
    let mut share = ResponseShare::new(Arc::clone(&memory));
    while share.grow(1000) {}
    assert!(share.bytes() > LIMIT, "{} bytes", share.bytes());
    receive(32 << 10, &memory).expect("small bodies have a reserve");
    assert_eq!(receive(LIMIT as usize, &memory), Err(Reason::NoMemory));
    // What each response may hold by itself is not counted.
    let mut other = ResponseShare::new(Arc::clone(&memory));
    assert!(other.grow(UNSHARED_RESPONSE_BYTES) && !other.grow(1000));
    drop((share, other));
    assert_eq!(memory.response_bytes(), 0);
    receive(LIMIT as usize, &memory).expect("the bytes are released");
}

/// Guards against slow bodies, each of which makes progress, that together keep all memory until they
/// are whole.
#[test]
fn whole_body_finds_room_beside_slow_ones() {
    const LENGTH: usize = 64 << 10;
    const SLOW_BODIES: usize = 12;
    const WHOLE_LENGTH: usize = 2000;
    let memory = Arc::new(RequestMemory::new(0, LIMIT));
    let ends = Arc::new(AtomicBool::new(false));
    let (listener, refused) = (listen(), Arc::new(AtomicUsize::new(0)));
    thread::scope(|scope| {
        for _ in 0..SLOW_BODIES {
            let (mut client, server) = connect(&listener);
            let (memory, refused, ends) = (&memory, &refused, &ends);
            scope.spawn(move || {
                // The receiver may have ended.
                while !ends.load(Ordering::SeqCst) && client.write_all(&[b'b'; 1000]).is_ok() {
                    thread::sleep(Duration::from_millis(100));
                }
            });
            scope.spawn(move || {
                let mut rx = Receiver::new(Arc::clone(&server));
                rx.set_deadline(TIMEOUT);
                let framing = Framing::Length(LENGTH as u64);
                let body = body::read(&mut rx, framing, LIMIT, memory, &server);
                if body.is_err_and(|refusal| refusal.reason == Reason::NoMemory) {
                    refused.fetch_add(1, Ordering::SeqCst);
                }
                // Bytes that are not read would keep the client's connection open.
                let _ = server.shutdown(Shutdown::Both);
            });
        }
        // Once one is refused, the others hold all memory.
        while refused.load(Ordering::SeqCst) == 0 {
            thread::sleep(Duration::from_millis(10));
        }
        let (mut rx, _) = receiver([vec![b'b'; WHOLE_LENGTH]]);
        rx.fill().expect("the bytes are there");
        let framing = Framing::Length(WHOLE_LENGTH as u64);
        let whole = body::read(&mut rx, framing, LIMIT, &memory, &connection());
        ends.store(true, Ordering::SeqCst);
        whole.expect("a slow body gives way");
    });
}

fn listen() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free")
}

/// Returns both ends of a connection.
fn connect(listener: &TcpListener) -> (TcpStream, Arc<TcpStream>) {
    let address = listener.local_addr().expect("a listener has an address");
    let client = TcpStream::connect(address).expect("the listener accepts");
    let (server, _) = listener.accept().expect("a client connects");
    (client, Arc::new(server))
}
