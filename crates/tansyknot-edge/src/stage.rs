//! The stages of a request, in the order that it passes them.
//!
//! `identify` → `admit` → `place` → `attempt` → `relay` → `account`. Each takes the message of
//! the stage before it; none reaches around its neighbour. Accepting is the HTTP server's.

pub mod account;
pub mod admit;
pub mod attempt;
pub mod identify;
pub mod place;
pub mod relay;
