//! The datagrams between daemons: a magic byte, a version byte and a `postcard` document, bounded
//! in size.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tansyknot_core::name::{DaemonName, ServiceName, ZoneName};
use thiserror::Error;

/// The version of the datagram format; datagrams of other versions are dropped.
pub const VERSION: u8 = 1;
/// Maximum length of a datagram, below the smallest common MTU.
pub const MAX_BYTES: usize = 1200;
/// The first byte of each datagram, which distinguishes peers' datagrams from others.
const MAGIC: u8 = 0xd7;

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Liveness {
    /// The member replies to probes.
    Alive,
    /// The member has not replied to a probe; it may still refute the suspicion.
    Suspect,
    /// The member is considered dead.
    Dead,
}

/// The state of one member, as sent between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub daemon: DaemonName,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// The incarnation number; it rises with each start and each refutation of the member.
    pub incarnation: u64,
    /// Its state.
    pub liveness: Liveness,
}

/// The encoded use of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseEntry {
    /// The service.
    pub service: ServiceName,
    /// How long ago it was last used, in milliseconds.
    pub ago_ms: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an [`Message::Ack`].
    Ping {
        /// The sequence number, returned in the reply.
        seq: u64,
        /// States of members.
        updates: Vec<MemberUpdate>,
    },
    /// Replies to a ping.
    Ack {
        /// The sequence number of the ping.
        seq: u64,
        /// States of members.
        updates: Vec<MemberUpdate>,
    },
    /// Requests an indirect probe: the receiver pings another member for the sender.
    PingFor {
        /// The sequence number, returned in the reply.
        seq: u64,
        /// The member to ping.
        address: SocketAddr,
        /// States of members.
        updates: Vec<MemberUpdate>,
    },
    /// The sender has requests waiting for a service that the receiver coordinates.
    Demand {
        /// The service.
        service: ServiceName,
        /// Waiting requests.
        waiting: u32,
        /// Requests in flight.
        in_flight: u32,
    },
    /// The sender has used services that the receiver coordinates.
    Use {
        /// The uses.
        uses: Vec<UseEntry>,
    },
    /// The replica row of a service has changed.
    RowChanged {
        /// The service.
        service: ServiceName,
    },
}

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: DaemonName,
    /// The message.
    pub message: Message,
}

/// The reason why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The first byte is not that of a peer's datagram.
    #[error("not a peer's datagram")]
    BadMagic,
    /// The format version is not supported.
    #[error("version {0}")]
    UnsupportedVersion(u8),
    /// The datagram is longer than [`MAX_BYTES`].
    #[error("too long")]
    TooLong,
    /// The document does not parse or has trailing bytes.
    #[error("malformed")]
    Malformed,
}

/// Encodes an envelope.
///
/// # Errors
///
/// Fails if the datagram would be longer than [`MAX_BYTES`].
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, DatagramError> {
    let buf = vec![MAGIC, VERSION];
    let buf = postcard::to_extend(envelope, buf).map_err(|_| DatagramError::Malformed)?;
    if buf.len() > MAX_BYTES { Err(DatagramError::TooLong) } else { Ok(buf) }
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails with the reason to drop the datagram.
pub fn decode(datagram: &[u8]) -> Result<Envelope, DatagramError> {
    if datagram.len() > MAX_BYTES {
        return Err(DatagramError::TooLong);
    }
    match datagram {
        [MAGIC, VERSION, document @ ..] => {
            let (envelope, trailing) =
                postcard::take_from_bytes(document).map_err(|_| DatagramError::Malformed)?;
            if trailing.is_empty() { Ok(envelope) } else { Err(DatagramError::Malformed) }
        }
        [MAGIC, version, ..] => Err(DatagramError::UnsupportedVersion(*version)),
        _ => Err(DatagramError::BadMagic),
    }
}
