//! HTTP/1.1 towards callers: reading requests within bounds and writing answers.

pub mod body;
pub mod events;
pub mod head;
pub mod presence;
pub mod problem;
pub mod receive;
pub mod respond;
pub mod server;
