//! Serves requests from targets that hold several models each, ordered by one planner.
//!
//! A request goes through route, pick, exchange and relay. Beside that, a daemon follows the
//! store, tells the planner what is asked for, and one daemon at a time is the planner.

pub mod access;
pub mod backoff;
pub mod backpressure;
pub mod budget;
pub mod catalog;
pub mod conduct;
pub mod counted;
pub mod dissemination;
pub mod estimate;
pub mod exchange;
pub mod fleet;
pub mod follow;
pub mod keep;
pub mod lease;
pub mod outside;
pub mod plan;
pub mod poison;
pub mod relay;
pub mod serve;
pub mod spans;
pub mod state;
pub mod stop;
pub mod target;
pub mod task;
