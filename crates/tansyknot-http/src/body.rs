//! Reads the body of a request up to a size limit.

use std::io::{self, Read};

use tansyknot_core::refusal::{Reason, Refusal};

use crate::{chunked::ChunkedReader, head::Framing, receive::Receiver};

/// Reads the entire body.
///
/// # Errors
///
/// Fails if the body is longer than `limit`, arrives too slowly, is malformed or ends early.
pub fn read(rx: &mut Receiver, framing: Framing, limit: u64) -> Result<Vec<u8>, Refusal> {
    match framing {
        Framing::None => Ok(Vec::new()),
        Framing::Length(length) if length > limit => Err(too_large(limit)),
        Framing::Length(length) => {
            let mut body = Vec::new();
            let n = rx.take(length).read_to_end(&mut body).map_err(|e| read_refusal(&e))?;
            if n as u64 == length { Ok(body) } else { Err(truncated()) }
        }
        Framing::Chunked => {
            let mut body = Vec::new();
            let reader = ChunkedReader::new(rx);
            reader.take(limit + 1).read_to_end(&mut body).map_err(|e| read_refusal(&e))?;
            if body.len() as u64 > limit { Err(too_large(limit)) } else { Ok(body) }
        }
    }
}

fn too_large(limit: u64) -> Refusal {
    Refusal::not_run(Reason::BodyTooLarge, format!("a body may have {limit} bytes"))
}

fn truncated() -> Refusal {
    Refusal::not_run(Reason::CallerLeft, "the body was cut off")
}

fn read_refusal(e: &io::Error) -> Refusal {
    match e.kind() {
        io::ErrorKind::TimedOut => Refusal::not_run(Reason::SlowSender, "the body came too slowly"),
        io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData => {
            Refusal::not_run(Reason::BadRequest, "a chunk is malformed")
        }
        _ => truncated(),
    }
}
