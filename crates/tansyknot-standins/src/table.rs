//! A stand-in for the transactional table service.

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
    respond::ConnectionAction,
    server::{Handler, Request},
};

use crate::server::{self, RunningServer};

/// Faults that the table can simulate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableFaults {
    /// The connection of every call is closed without a response and without effect.
    pub down: bool,
    /// The delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// The number of commits whose connection is closed after the write has taken effect.
    pub lose_replies: u32,
    /// Reads and scans return the state of this many commits ago.
    pub stale_commits: usize,
}

/// Counts of the calls that the table has served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// The number of reads and scans.
    pub reads: u64,
    /// The number of rows returned by scans.
    pub rows: u64,
    /// The number of commits, whether or not they took effect.
    pub commits: u64,
    /// The number of commits whose conditions did not hold.
    pub conflicts: u64,
}

type Rows = BTreeMap<String, Row>;

#[derive(Default)]
struct State {
    rows: Rows,
    revision: u64,
    past_rows: Vec<Rows>,
}

/// The rows and faults of a table. It can be used without a server.
#[derive(Default)]
pub struct TableState {
    state: Mutex<State>,
    /// The enabled faults.
    pub faults: Mutex<TableFaults>,
    reads: AtomicU64,
    read_rows: AtomicU64,
    commits: AtomicU64,
    conflicts: AtomicU64,
}

/// Maximum number of past states retained for stale reads.
const MAX_PAST_STATES: usize = 16;

#[derive(Serialize)]
struct Conflict<'a> {
    key: &'a str,
}

impl TableState {
    /// Applies the writes of a transaction if its conditions hold.
    ///
    /// # Errors
    ///
    /// Returns the first key whose condition does not hold.
    pub fn commit(&self, txn: &Transaction) -> Result<(), String> {
        self.commits.fetch_add(1, Ordering::Relaxed);
        let retain_past = self.faults().stale_commits > 0;
        let mut state = self.state.lock().expect("no holder of the lock panics");
        for condition in &txn.conditions {
            let version = state.rows.get(&condition.key).map_or(ABSENT, |row| row.version);
            if version != condition.version {
                self.conflicts.fetch_add(1, Ordering::Relaxed);
                return Err(condition.key.clone());
            }
        }
        if retain_past {
            let rows = state.rows.clone();
            state.past_rows.push(rows);
            if state.past_rows.len() > MAX_PAST_STATES {
                state.past_rows.remove(0);
            }
        }
        // The table has one revision for all rows, so that the version of a row that is deleted and
        // created again still increases.
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

    /// Runs `f` on the rows that are visible to a read.
    pub fn read<T>(&self, f: impl FnOnce(&Rows) -> T) -> T {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let stale_commits = self.faults().stale_commits;
        let state = self.state.lock().expect("no holder of the lock panics");
        let stale =
            state.past_rows.len().checked_sub(stale_commits).and_then(|at| state.past_rows.get(at));
        f(stale.unwrap_or(&state.rows))
    }

    /// Returns the enabled faults.
    pub fn faults(&self) -> TableFaults {
        self.faults.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns the counts of served calls.
    pub fn counts(&self) -> Counts {
        Counts {
            reads: self.reads.load(Ordering::Relaxed),
            rows: self.read_rows.load(Ordering::Relaxed),
            commits: self.commits.load(Ordering::Relaxed),
            conflicts: self.conflicts.load(Ordering::Relaxed),
        }
    }

    /// Uses up one lost reply. Returns whether there was one left.
    pub fn take_lost_reply(&self) -> bool {
        let mut faults = self.faults.lock().expect("no holder of the lock panics");
        let is_lost = faults.lose_replies > 0;
        faults.lose_replies = faults.lose_replies.saturating_sub(1);
        is_lost
    }

    /// Returns up to `limit` rows whose keys start with `prefix` and sort after `after`.
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

    fn handle_call(
        &self,
        req: &Request,
        stream: &TcpStream,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        match req.head.path.as_str() {
            "/row" => {
                let key = server::query_param(req, "key");
                match self.read(|rows| rows.get(&key).cloned()) {
                    Some(row) => server::json(stream, after, 200, &row),
                    None => server::json(stream, after, 404, &"no such row"),
                }
            }
            "/rows" => {
                let (prefix, start) =
                    (server::query_param(req, "prefix"), server::query_param(req, "after"));
                let limit = server::query_param(req, "limit").parse().unwrap_or(100);
                server::json(stream, after, 200, &self.scan(&prefix, &start, limit))
            }
            "/commit" => match self.commit(&server::parse_body(req)?) {
                Ok(()) if self.take_lost_reply() => close_connection(stream),
                Ok(()) => server::json(stream, after, 200, &()),
                Err(key) => server::json(stream, after, 409, &Conflict { key: &key }),
            },
            "/counts" => server::json(stream, after, 200, &self.counts()),
            _ => server::json(stream, after, 404, &"no such page"),
        }
    }
}

impl Handler for TableState {
    fn handle(
        &self,
        req: Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        if let Some(result) = server::handle_faults(&req, stream, after, &self.faults) {
            return result;
        }
        let faults = self.faults();
        thread::sleep(Duration::from_millis(faults.slow_ms));
        if faults.down {
            return close_connection(stream);
        }
        self.handle_call(&req, stream, after)
    }
}

fn close_connection(stream: &TcpStream) -> io::Result<ConnectionAction> {
    stream.shutdown(Shutdown::Both)?;
    Ok(ConnectionAction::Close)
}

/// Starts a table on `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(address: SocketAddr) -> io::Result<(RunningServer, Arc<TableState>)> {
    let state = Arc::new(TableState::default());
    let running = server::start(address, Arc::clone(&state) as Arc<dyn Handler>)?;
    Ok((running, state))
}
