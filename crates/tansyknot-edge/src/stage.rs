//! The stages of processing a request.
//!
//! `identify` → `admit` → `place` → `attempt` → `relay` → `account`. Each stage takes the
//! output of the previous one, and none bypasses its neighbours. The HTTP server accepts requests.

pub mod account;
pub mod admit;
pub mod attempt;
pub mod identify;
pub mod place;
pub mod relay;
