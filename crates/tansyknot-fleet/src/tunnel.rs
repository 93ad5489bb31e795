//! Connections to targets through another daemon, for a daemon that can't open them itself.
//!
//! A tunnel carries the bytes of one exchange. The daemon that opens it has taken every decision
//! about the request; the other one only connects to the target that it is told, if its own view
//! lists that target, and never uses a tunnel for it.

pub mod client;
pub mod frame;
pub mod peers;
pub mod server;

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tansyknot_core::name::TargetName;

/// Set in the first word of a connection between daemons that asks for a tunnel. The word of other
/// requests is their length, which has no such bit.
pub const REQUEST_FLAG: u32 = 1 << 31;
/// A longer request is malformed.
const MAX_REQUEST_BYTES: u32 = 1 << 10;
/// A longer reply is malformed.
const MAX_REPLY_BYTES: u32 = 256;
/// Timeout for connecting to a target on behalf of another daemon; a round trip takes a few ms.
const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for connecting to another daemon.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout for the reply to a request, which waits for the connection to the target.
const REPLY_TIMEOUT: Duration = Duration::from_millis(160);

/// A request for a tunnel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// The target to connect to.
    pub target: TargetName,
    /// Whether only the connection is tested.
    pub is_probe: bool,
    /// How long the exchange may last, in milliseconds.
    pub time_left_ms: u32,
}

/// The reply to a request for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelReply {
    /// The target is connected.
    Connected,
    /// The daemon reaches targets of the service and could not connect to this one.
    TargetUnreachable,
    /// The daemon does not reach this target itself, which shows nothing about the target.
    NoPath,
    /// The daemon reaches no target of the service itself; this other daemon has recently helped it.
    CutOff(Option<SocketAddr>),
    /// The daemon has no room for another tunnel, or is about to stop.
    Busy,
    /// The daemon does not know the target, or does not send requests to it any more.
    UnknownTarget,
}
