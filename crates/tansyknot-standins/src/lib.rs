//! Small stand-ins of outside systems for tests, the demonstration and benchmarks.
//!
//! Each speaks HTTP and JSON on a port of its own. `GET /faults` shows the faults that are
//! switched on, `POST /faults` replaces them.

pub mod engine;
pub mod fake;
pub mod hosts;
pub mod plain;
pub mod server;
pub mod table;
pub mod weights;
