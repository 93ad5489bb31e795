//! How daemons know: demand goes up to the planner, and its news go down to all, by relays where
//! they are many.

pub mod audience;
pub mod changes;
pub mod datagram;
pub mod followed;
pub mod message;
pub mod pace;
pub mod peers;
pub mod relays;
