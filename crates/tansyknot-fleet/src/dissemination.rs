//! Dissemination of state between daemons: each daemon sends its demand to the planner, whose
//! updates reach all daemons, through relays in large fleets.

pub mod audience;
pub mod changes;
pub mod datagram;
pub mod followed;
pub mod message;
pub mod pace;
pub mod peers;
pub mod relays;
