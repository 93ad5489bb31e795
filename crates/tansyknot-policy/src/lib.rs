//! Placement, routing, admission and retention decisions as pure functions.
//!
//! Nothing here does input or output or reads a clock: state and time come in, a decision
//! goes out. The daemon and the trace replay run the same code.

pub mod budget;
pub mod gaps;
pub mod meter;
pub mod placement;
pub mod pool;
pub mod queue;
pub mod retention;
pub mod routing;
pub mod scaling;
pub mod staging;
