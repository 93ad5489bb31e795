//! The stages of processing a request.
//!
//! `identify` → `admit` → `place` → `attempt` → `relay` → `account`. Each stage takes the
//! output of the previous one. A refused request, or one whose stored response is replayed, passes
//! directly to `account`. The HTTP server accepts requests.

pub mod account;
pub mod admit;
pub mod attempt;
pub mod identify;
pub mod place;
pub mod relay;
