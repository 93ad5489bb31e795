//! Placement, routing, admission and retention decisions as pure functions.
//!
//! Nothing here performs I/O or reads a clock: each function takes state and the current time
//! and returns a decision. The daemon and the trace replay share this code.

pub mod budget;
pub mod choice;
pub mod condition;
pub mod copies;
pub mod gaps;
pub mod placement;
pub mod pool;
pub mod queue;
pub mod retention;
pub mod room;
pub mod routing;
pub mod scaling;
pub mod staging;
pub mod token_bucket;
pub mod weight_store;
