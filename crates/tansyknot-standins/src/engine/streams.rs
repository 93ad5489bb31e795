//! Streams of tokens that are sent on a fixed schedule and can be resumed and cancelled.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
    time::{Duration, Instant},
};

/// Maximum number of streams retained for resuming. At the limit, all of them are dropped.
const MAX_STREAMS: usize = 4096;

/// A stream of tokens with the schedule of its events.
#[derive(Clone, Debug)]
pub struct TokenStream {
    /// The identifier of the attempt.
    pub attempt: String,
    /// The name of the model in the request.
    pub model: String,
    /// The start time.
    pub started_at: Instant,
    /// The time to the first token.
    pub first_token: Duration,
    /// The time between tokens.
    pub token_gap: Duration,
    /// The total number of tokens.
    pub tokens: u64,
}

/// Returns the text of the token at `index`.
pub fn token_text(index: u64) -> String {
    format!(" t{index}")
}

impl TokenStream {
    /// Returns the time from the start of the stream to the event at `index`.
    pub fn due_after(&self, index: u64) -> Duration {
        let gaps = u32::try_from(index).unwrap_or(u32::MAX);
        self.first_token + self.token_gap * gaps
    }

    /// Returns the event at `index`. The event after the last token is the end marker.
    pub fn event(&self, index: u64) -> Vec<u8> {
        if index == self.tokens {
            return b"data: [DONE]\n\n".to_vec();
        }
        let text = token_text(index);
        format!(
            "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":\"{}\",\
             \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n",
            self.attempt, self.model
        )
        .into_bytes()
    }
}

/// The latest streams of an engine.
#[derive(Debug, Default)]
pub struct Streams {
    streams: Mutex<HashMap<String, TokenStream>>,
    cancelled: Mutex<HashSet<String>>,
}

impl Streams {
    /// Retains a stream for resuming.
    pub fn insert(&self, stream: &TokenStream) {
        let mut streams = self.streams.lock().expect("no holder of the lock panics");
        if streams.len() >= MAX_STREAMS {
            streams.clear();
        }
        streams.insert(stream.attempt.clone(), stream.clone());
    }

    /// Returns a retained stream.
    pub fn get(&self, attempt: &str) -> Option<TokenStream> {
        self.streams.lock().expect("no holder of the lock panics").get(attempt).cloned()
    }

    /// Cancels the stream of an attempt.
    pub fn cancel(&self, attempt: &str) {
        let mut cancelled = self.cancelled.lock().expect("no holder of the lock panics");
        cancelled.insert(attempt.to_owned());
    }

    /// Returns whether the stream of an attempt is cancelled.
    pub fn is_cancelled(&self, attempt: &str) -> bool {
        self.cancelled.lock().expect("no holder of the lock panics").contains(attempt)
    }
}
