//! Membership and demand messages between daemons over UDP.
//!
//! [`message`] is the codec, [`members`] the membership as a pure state machine, [`interest`]
//! tracks which daemons use which service, and [`node`] runs all three over a socket.

pub mod interest;
pub mod members;
pub mod message;
pub mod node;
