//! HTTP clients of the table service, the list of hosts and the model engines.

pub mod engine;
pub mod host;
pub mod http;
pub mod table;
