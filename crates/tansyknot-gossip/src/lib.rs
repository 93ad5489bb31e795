//! Membership and demand messages between daemons over UDP.
//!
//! [`message`] is the codec, [`members`] the membership as a pure state machine, [`interest`]
//! remembers who uses which service, and [`node`] carries all three over a socket.

pub mod interest;
pub mod members;
pub mod message;
pub mod node;
