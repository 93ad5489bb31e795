//! A stand-in of the transactional table service.

use std::{
    collections::BTreeMap,
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::table::{ABSENT, Row, Transaction};
use tansyknot_edge::http::{
    respond::After,
    server::{Handler, Request},
};

use crate::server::{self, Running};

/// Faults of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableFaults {
    /// Every call is cut off without an answer and without effect.
    pub down: bool,
    /// Every call waits this long first.
    pub slow_ms: u64,
    /// The replies of this many commits are cut off after the write took effect.
    pub lose_replies: u32,
    /// Reads and scans answer from the state of this many commits ago.
    pub stale_commits: usize,
}

/// Calls that the table has answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Reads and scans.
    pub reads: u64,
    /// Rows returned by reads and scans.
    pub rows: u64,
    /// Commits, whether or not they took effect.
    pub commits: u64,
    /// Commits whose conditions did not hold.
    pub conflicts: u64,
}

type Rows = BTreeMap<String, Row>;

#[derive(Default)]
struct State {
    rows: Rows,
    revision: u64,
    past: Vec<Rows>,
}

/// The table's rows and faults; also usable without a server.
#[derive(Default)]
pub struct TableState {
    state: Mutex<State>,
    /// The faults that are switched on.
    pub faults: Mutex<TableFaults>,
    reads: AtomicU64,
    read_rows: AtomicU64,
    commits: AtomicU64,
    conflicts: AtomicU64,
}

/// States kept for stale reads.
const PAST: usize = 16;

#[derive(Serialize)]
struct Conflict<'a> {
    key: &'a str,
}

impl TableState {
    /// Makes the writes if the conditions hold.
    ///
    /// # Errors
    ///
    /// Fails with the first key whose condition does not hold.
    pub fn commit(&self, txn: &Transaction) -> Result<(), String> {
        self.commits.fetch_add(1, Ordering::Relaxed);
        let keep_past = self.faults().stale_commits > 0;
        let mut state = self.state.lock().expect("no holder of the lock panics");
        for condition in &txn.conditions {
            let version = state.rows.get(&condition.key).map_or(ABSENT, |row| row.version);
            if version != condition.version {
                self.conflicts.fetch_add(1, Ordering::Relaxed);
                return Err(condition.key.clone());
            }
        }
        if keep_past {
            let past = state.rows.clone();
            state.past.push(past);
            if state.past.len() > PAST {
                state.past.remove(0);
            }
        }
        // One revision for the whole table: a row that is deleted and made again still rises.
        state.revision += 1;
        let version = state.revision;
        for write in &txn.writes {
            match &write.value {
                Some(value) => {
                    let row = Row { key: write.key.clone(), version, value: value.clone() };
                    state.rows.insert(write.key.clone(), row);
                }
                None => drop(state.rows.remove(&write.key)),
            }
        }
        Ok(())
    }

    /// Runs `f` on the rows that a read sees.
    pub fn read<T>(&self, f: impl FnOnce(&Rows) -> T) -> T {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let back = self.faults().stale_commits;
        let state = self.state.lock().expect("no holder of the lock panics");
        let stale = state.past.len().checked_sub(back).and_then(|at| state.past.get(at));
        f(stale.unwrap_or(&state.rows))
    }

    /// Returns the faults that are switched on.
    pub fn faults(&self) -> TableFaults {
        self.faults.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns what has been answered.
    pub fn counts(&self) -> Counts {
        Counts {
            reads: self.reads.load(Ordering::Relaxed),
            rows: self.read_rows.load(Ordering::Relaxed),
            commits: self.commits.load(Ordering::Relaxed),
            conflicts: self.conflicts.load(Ordering::Relaxed),
        }
    }

    /// Takes one lost reply, if any is left.
    pub fn take_lost_reply(&self) -> bool {
        let mut faults = self.faults.lock().expect("no holder of the lock panics");
        let lost = faults.lose_replies > 0;
        faults.lose_replies = faults.lose_replies.saturating_sub(1);
        lost
    }

    /// Returns up to `limit` rows with a prefix after a key.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let rows: Vec<Row> = self.read(|rows| {
            let from = if after > prefix { after } else { prefix };
            let range = rows.range(from.to_owned()..);
            let range = range.take_while(|(key, _)| key.starts_with(prefix));
            range
                .filter(|(key, _)| key.as_str() > after)
                .take(limit)
                .map(|(_, r)| r.clone())
                .collect()
        });
        self.read_rows.fetch_add(rows.len() as u64, Ordering::Relaxed);
        rows
    }

    fn answer(&self, req: &Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        match req.head.path.as_str() {
            "/row" => {
                let key = server::query(req, "key");
                match self.read(|rows| rows.get(&key).cloned()) {
                    Some(row) => server::json(stream, after, 200, &row),
                    None => server::json(stream, after, 404, &"no such row"),
                }
            }
            "/rows" => {
                let (prefix, start) = (server::query(req, "prefix"), server::query(req, "after"));
                let limit = server::query(req, "limit").parse().unwrap_or(100);
                server::json(stream, after, 200, &self.scan(&prefix, &start, limit))
            }
            "/commit" => match self.commit(&server::parse(req)?) {
                Ok(()) if self.take_lost_reply() => cut(stream),
                Ok(()) => server::json(stream, after, 200, &()),
                Err(key) => server::json(stream, after, 409, &Conflict { key: &key }),
            },
            "/counts" => server::json(stream, after, 200, &self.counts()),
            _ => server::json(stream, after, 404, &"no such page"),
        }
    }
}

impl Handler for TableState {
    fn handle(&self, req: Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        if let Some(done) = server::faults(&req, stream, after, &self.faults) {
            return done;
        }
        let faults = self.faults();
        thread::sleep(Duration::from_millis(faults.slow_ms));
        if faults.down {
            return cut(stream);
        }
        self.answer(&req, stream, after)
    }
}

fn cut(stream: &mut TcpStream) -> io::Result<After> {
    stream.shutdown(Shutdown::Both)?;
    Ok(After::Close)
}

/// Starts a table on `address`.
///
/// # Errors
///
/// Fails if the address can't be taken.
pub fn start(address: SocketAddr) -> io::Result<(Running, Arc<TableState>)> {
    let state = Arc::new(TableState::default());
    let running = server::start(address, Arc::clone(&state) as Arc<dyn Handler>)?;
    Ok((running, state))
}
