//! The HTTP server for callers, and the stages of processing a request.
//!
//! A request passes the stages accept, identify, admit, place, attempt, relay and account, in this
//! order. Each stage but accept is a module of [`stage`].

pub mod explain;
pub mod gateway;
pub mod stage;
pub mod upstream;
pub mod watch;

pub use tansyknot_http::{self as http, problem};
