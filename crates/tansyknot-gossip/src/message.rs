//! The datagrams between daemons: a version byte and a `postcard` document, bounded in size.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tansyknot_core::name::{DaemonName, ServiceName, ZoneName};
use thiserror::Error;

/// The version of the datagrams; one of another version is dropped.
pub const VERSION: u8 = 1;
/// The longest datagram, below the smallest usual MTU.
pub const MAX_BYTES: usize = 1200;
/// The first byte of each datagram, to tell strays from peers.
const MAGIC: u8 = 0xd7;

/// What is said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It has not answered; it may still refute this.
    Suspect,
    /// It is taken for gone.
    Dead,
}

/// News of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub daemon: DaemonName,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Rises with each start and each refutation of the member.
    pub number: u64,
    /// What is said of it.
    pub liveness: Liveness,
}

/// The use of one service, as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseEntry {
    /// The service.
    pub service: ServiceName,
    /// How long ago it was last used, in milliseconds.
    pub ago_ms: u32,
    /// Requests that are being served.
    pub in_flight: u32,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`].
    Ping {
        /// Returned in the answer.
        seq: u64,
        /// News of members.
        updates: Vec<Update>,
    },
    /// Answers a ping.
    Ack {
        /// The ping's number.
        seq: u64,
        /// News of members.
        updates: Vec<Update>,
    },
    /// Asks the receiver to ping another member on the sender's behalf.
    PingFor {
        /// Returned in the answer.
        seq: u64,
        /// The member to ping.
        address: SocketAddr,
        /// News of members.
        updates: Vec<Update>,
    },
    /// The sender has requests waiting for a service that the receiver coordinates.
    Wake {
        /// The service.
        service: ServiceName,
        /// Requests that wait.
        waiting: u32,
        /// Requests that are being served.
        in_flight: u32,
    },
    /// The sender has used services that the receiver coordinates.
    Used {
        /// The uses.
        uses: Vec<UseEntry>,
    },
    /// The replica row of a service has changed.
    Changed {
        /// The service.
        service: ServiceName,
    },
}

/// A message and who sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: DaemonName,
    /// The message.
    pub message: Message,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Dropped {
    /// It does not start like a peer's.
    #[error("not a peer's datagram")]
    Stray,
    /// It has another version.
    #[error("version {0}")]
    Version(u8),
    /// It is longer than datagrams may be.
    #[error("too long")]
    TooLong,
    /// Its document does not parse, or bytes are left over.
    #[error("malformed")]
    Malformed,
}

/// Encodes an envelope.
///
/// # Errors
///
/// Fails if the datagram would be too long.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, Dropped> {
    let buf = vec![MAGIC, VERSION];
    let buf = postcard::to_extend(envelope, buf).map_err(|_| Dropped::Malformed)?;
    if buf.len() > MAX_BYTES { Err(Dropped::TooLong) } else { Ok(buf) }
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails with why it is dropped.
pub fn decode(datagram: &[u8]) -> Result<Envelope, Dropped> {
    if datagram.len() > MAX_BYTES {
        return Err(Dropped::TooLong);
    }
    match datagram {
        [MAGIC, VERSION, document @ ..] => {
            let (envelope, rest) =
                postcard::take_from_bytes(document).map_err(|_| Dropped::Malformed)?;
            if rest.is_empty() { Ok(envelope) } else { Err(Dropped::Malformed) }
        }
        [MAGIC, version, ..] => Err(Dropped::Version(*version)),
        _ => Err(Dropped::Stray),
    }
}
