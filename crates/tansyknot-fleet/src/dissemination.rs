//! Dissemination of state between daemons: each daemon sends its demand to the planner, whose
//! updates reach all daemons, through relays in large fleets.

pub mod announced_loads;
pub mod changes;
pub mod datagram;
pub mod heartbeat;
pub mod message;
pub mod peers;
pub mod planner_view;
pub mod recipients;
pub mod relays;
pub mod scheduling;
