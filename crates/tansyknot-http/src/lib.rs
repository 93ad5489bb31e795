//! HTTP/1.1 server side towards callers: reads requests within limits and writes responses. Heads and
//! chunks of targets' responses are decoded here as well.

pub mod body;
pub mod chunked;
mod connection;
mod connections;
pub mod disconnect;
pub mod events;
pub mod head;
pub mod memory;
pub mod problem;
pub mod receive;
pub mod respond;
pub mod response_head;
pub mod response_parts;
pub mod server;
