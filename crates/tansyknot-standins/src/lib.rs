//! Simple stand-ins for external systems, for tests, the demonstration and benchmarks.
//!
//! Each stand-in serves HTTP with JSON on its own port. `GET /faults` returns the enabled faults,
//! `POST /faults` replaces them. [`fake`] has in-process fakes without sockets.

pub mod engine;
pub mod fake;
pub mod hosts;
pub mod plain;
pub mod server;
pub mod table;
pub mod weights;
