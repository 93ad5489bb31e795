//! What this daemon knows of the origins of streams that callers may resume.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    fmt,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::clock::Time;

use super::Origin;

/// Maximum number of records, of some 150 bytes each. Beyond it, the oldest are dropped.
const MAX_RECORDS: usize = 1 << 16;
/// Maximum lifetime of a record.
const MAX_LIFETIME: Duration = Duration::from_secs(120);

/// Identifies a stream: a hash of the identifier of the attempt that began it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(u128);

impl StreamKey {
    /// Returns the key of the stream that an attempt begins.
    pub fn of_attempt(id: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(id.as_bytes()))
    }

    /// Returns a hash that ranks daemons for the stream.
    pub fn short_hash(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Debug for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The origin of a stream, as daemons send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamKey,
    /// Its origin.
    pub origin: Origin,
    /// How long its caller may still resume it, in milliseconds.
    pub lifetime_ms: u32,
}

/// What is known of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    /// The stream's origin.
    Origin(Arc<Origin>),
    /// Two attempts with the same identifier have begun streams at different software, so it is not
    /// known which of them the caller resumes.
    Ambiguous,
}

#[derive(Clone, Debug)]
struct Record {
    known: Known,
    until: Time,
}

/// The origins of streams, until their callers can no longer resume them.
#[derive(Debug)]
pub struct StreamRecords {
    records: HashMap<StreamKey, Record>,
    /// The streams in the order in which their records were added.
    added: VecDeque<StreamKey>,
    /// The origins of the records, each stored once.
    origins: HashSet<Arc<Origin>>,
    max_records: usize,
}

impl Default for StreamRecords {
    fn default() -> Self {
        Self::with_capacity(MAX_RECORDS)
    }
}

impl StreamRecords {
    /// Creates an empty collection of at most `max_records`.
    pub fn with_capacity(max_records: usize) -> Self {
        Self {
            records: HashMap::new(),
            added: VecDeque::new(),
            origins: HashSet::new(),
            max_records,
        }
    }

    /// Adds a record.
    pub fn add(&mut self, record: StreamRecord, now: Time) {
        self.expire(now);
        let lifetime = Duration::from_millis(record.lifetime_ms.into()).min(MAX_LIFETIME);
        let until = now + lifetime;
        let origin = self.shared(record.origin);
        if let Some(known) = self.records.get_mut(&record.stream) {
            known.until = known.until.max(until);
            if known.known != Known::Origin(origin) {
                known.known = Known::Ambiguous;
            }
            return;
        }
        self.records.insert(record.stream, Record { known: Known::Origin(origin), until });
        self.added.push_back(record.stream);
        if self.records.len() > self.max_records {
            self.remove_oldest();
        }
    }

    /// Returns what is known of a stream; `None` if nothing is.
    pub fn get(&self, stream: StreamKey, now: Time) -> Option<Known> {
        let record = self.records.get(&stream).filter(|record| now < record.until)?;
        Some(record.known.clone())
    }

    /// Returns the record of a stream with the rest of its lifetime, to send it to another daemon;
    /// `None` if its origin is not known.
    pub fn record(&self, stream: StreamKey, now: Time) -> Option<StreamRecord> {
        let record = self.records.get(&stream).filter(|record| now < record.until)?;
        let Known::Origin(origin) = &record.known else { return None };
        let lifetime_ms = u32::try_from(record.until.since(now).as_millis()).unwrap_or(u32::MAX);
        Some(StreamRecord { stream, origin: Origin::clone(origin), lifetime_ms })
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes the oldest records that have expired. A record behind one with a longer lifetime
    /// stays until that one expires.
    fn expire(&mut self, now: Time) {
        while let Some(oldest) = self.added.front() {
            if self.records.get(oldest).is_some_and(|record| now < record.until) {
                break;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some(oldest) = self.added.pop_front() else { return };
        let Some(Record { known: Known::Origin(origin), .. }) = self.records.remove(&oldest) else {
            return;
        };
        // One reference is the set's, the other one is held here.
        if Arc::strong_count(&origin) == 2 {
            self.origins.remove(&origin);
        }
    }

    fn shared(&mut self, origin: Origin) -> Arc<Origin> {
        if let Some(known) = self.origins.get(&origin) {
            return Arc::clone(known);
        }
        let origin = Arc::new(origin);
        self.origins.insert(Arc::clone(&origin));
        origin
    }
}
