//! The HTTP server for callers and the stages a request passes.
//!
//! A request goes through accept, identify, admit, place, attempt, relay and account, in this
//! order; each stage is a module under [`stage`].

pub mod explain;
pub mod gateway;
pub mod stage;
pub mod upstream;
pub mod watch;

pub use tansyknot_http::{self as http, problem};
