//! Streams of tokens that come by the clock and can be resumed and cancelled.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
    time::{Duration, Instant},
};

/// Streams kept for resuming.
const KEPT: usize = 4096;

/// One stream: which token is due when.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The attempt that it answers.
    pub attempt: String,
    /// The model that the caller named.
    pub model: String,
    /// When it began.
    pub began: Instant,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_gap: Duration,
    /// Tokens in all.
    pub tokens: u64,
}

/// Returns the text of a token.
pub fn token(at: u64) -> String {
    format!(" t{at}")
}

impl Stream {
    /// Returns when the event at `at` is due after the beginning.
    pub fn due(&self, at: u64) -> Duration {
        let gaps = u32::try_from(at).unwrap_or(u32::MAX);
        self.first_token + self.token_gap * gaps
    }

    /// Returns the event at `at`; the one after the last token ends the stream.
    pub fn event(&self, at: u64) -> Vec<u8> {
        if at == self.tokens {
            return b"data: [DONE]\n\n".to_vec();
        }
        let text = token(at);
        format!(
            "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":\"{}\",\
             \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n",
            self.attempt, self.model
        )
        .into_bytes()
    }
}

/// The latest streams.
#[derive(Debug, Default)]
pub struct Streams {
    kept: Mutex<HashMap<String, Stream>>,
    cancelled: Mutex<HashSet<String>>,
}

impl Streams {
    /// Keeps a stream for resuming.
    pub fn keep(&self, stream: &Stream) {
        let mut kept = self.kept.lock().expect("no holder of the lock panics");
        if kept.len() >= KEPT {
            kept.clear();
        }
        kept.insert(stream.attempt.clone(), stream.clone());
    }

    /// Returns a stream that is kept.
    pub fn get(&self, attempt: &str) -> Option<Stream> {
        self.kept.lock().expect("no holder of the lock panics").get(attempt).cloned()
    }

    /// Cancels a stream.
    pub fn cancel(&self, attempt: &str) {
        let mut cancelled = self.cancelled.lock().expect("no holder of the lock panics");
        cancelled.insert(attempt.to_owned());
    }

    /// Tells whether a stream was cancelled.
    pub fn is_cancelled(&self, attempt: &str) -> bool {
        self.cancelled.lock().expect("no holder of the lock panics").contains(attempt)
    }
}
