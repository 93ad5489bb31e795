//! A loopback proxy that delays, narrows, silences or resets connections.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};

/// Bytes that pass at once.
const PIECE: usize = 4096;

/// How a path treats what passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Weather {
    /// It passes.
    Fair,
    /// Each piece is held back this long.
    Slow(Duration),
    /// Answers pass at so many bytes a second.
    Narrow(u32),
    /// Nothing passes in either direction.
    Silent,
    /// Requests pass, answers do not.
    AnswersLost,
}

impl Weather {
    pub(crate) fn any(rng: &mut StdRng) -> Self {
        match rng.random_range(0..6) {
            0 => Weather::Slow(Duration::from_millis(rng.random_range(5..300))),
            1 => Weather::Silent,
            2 => Weather::AnswersLost,
            _ => Weather::Fair,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

struct Shared {
    weather: Mutex<Weather>,
    /// Connections of an older epoch are reset.
    epoch: AtomicU64,
    /// When pieces went on that a silent path had held back.
    healed: Mutex<Vec<Instant>>,
}

/// A path to one address.
#[derive(Clone)]
pub(crate) struct Path {
    pub(crate) address: SocketAddr,
    shared: Arc<Shared>,
}

impl Path {
    /// Opens a path to `target`.
    pub(crate) fn open(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let shared = Arc::new(Shared {
            weather: Mutex::new(Weather::Fair),
            epoch: AtomicU64::new(0),
            healed: Mutex::default(),
        });
        let path = Self { address, shared: Arc::clone(&shared) };
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if let Ok(to) = TcpStream::connect(target) {
                    join(&shared, from, to);
                }
            }
        });
        path
    }

    pub(crate) fn set(&self, weather: Weather) {
        *self.shared.weather.lock().expect("no holder of the lock panics") = weather;
    }

    /// Returns when pieces went on that had been held back.
    pub(crate) fn healed(&self) -> Vec<Instant> {
        self.shared.healed.lock().expect("no holder of the lock panics").clone()
    }

    /// Resets every connection.
    pub(crate) fn reset_all(&self) {
        self.shared.epoch.fetch_add(1, Ordering::SeqCst);
    }
}

fn join(shared: &Arc<Shared>, a: TcpStream, b: TcpStream) {
    let (Ok(a2), Ok(b2)) = (a.try_clone(), b.try_clone()) else { return };
    let (there, back) = (Arc::clone(shared), Arc::clone(shared));
    thread::spawn(move || pump(&there, a, b, Way::There));
    thread::spawn(move || pump(&back, b2, a2, Way::Back));
}

/// Copies one direction until either side ends or the path is reset.
fn pump(shared: &Shared, mut from: TcpStream, mut to: TcpStream, way: Way) {
    let epoch = shared.epoch.load(Ordering::SeqCst);
    let is_reset = || shared.epoch.load(Ordering::SeqCst) != epoch;
    // Looks at the weather this often while nothing comes.
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut buf = [0; PIECE];
    while !is_reset() {
        let n = match from.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        let mut was_held = false;
        while blocks(shared, way, n) && !is_reset() {
            was_held = true;
            thread::sleep(Duration::from_millis(20));
        }
        if was_held {
            shared.healed.lock().expect("no holder of the lock panics").push(Instant::now());
        }
        if is_reset() || to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    // Either side may have closed already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Tells whether a piece of `n` bytes is held; waits for a slow path.
fn blocks(shared: &Shared, way: Way, n: usize) -> bool {
    let weather = *shared.weather.lock().expect("no holder of the lock panics");
    match weather {
        Weather::Fair => false,
        Weather::Slow(span) => {
            thread::sleep(span);
            false
        }
        Weather::Narrow(bytes_per_s) => {
            if way == Way::Back {
                thread::sleep(Duration::from_secs_f64(n as f64 / f64::from(bytes_per_s)));
            }
            false
        }
        Weather::Silent => true,
        Weather::AnswersLost => way == Way::Back,
    }
}
