//! Divides the memory and the descriptors of the host among connections and requests.

use std::sync::Arc;

use rustix::process::{self, Resource};
use tansyknot_config::settings::Limits;
use tansyknot_http::{
    memory::RequestMemory,
    server::{DrainBehaviour, ServerOptions},
};

/// One in so many bytes of the host's memory is for the bodies of requests, and as many for
/// connections. The rest is for responses and the daemon's own state.
const MEMORY_DIVISOR: u64 = 4;
/// The touched part of a connection's stack, and the kernel's receive buffer.
const CONNECTION_BYTES: u64 = 32 << 10;
/// A head is held as it is received, and as it is parsed.
const HEAD_COPIES: u64 = 2;
/// A request needs a descriptor for its caller and one for its target.
const DESCRIPTORS_PER_CONNECTION: u32 = 2;
/// Descriptors for files, the store, and the connections and tunnels of other daemons.
const OTHER_DESCRIPTORS: u32 = 1100;

/// Returns the options of a listener for callers.
pub(crate) fn server_options(limits: &Limits, on_drain: DrainBehaviour) -> ServerOptions {
    let request_bytes = limits.memory.get() / MEMORY_DIVISOR;
    ServerOptions {
        max_head_bytes: limits.head.get(),
        max_body_bytes: limits.body.get(),
        memory: Arc::new(RequestMemory::new(request_bytes, limits.body.get())),
        max_connections: max_connections(limits),
        head_timeout: limits.receive_timeout.duration(),
        body_timeout: limits.receive_timeout.duration(),
        idle_timeout: limits.idle_timeout.duration(),
        write_timeout: limits.write_timeout.duration(),
        on_drain,
    }
}

fn max_connections(limits: &Limits) -> u32 {
    let connection_bytes = CONNECTION_BYTES + HEAD_COPIES * limits.head.get();
    let by_memory = limits.memory.get() / MEMORY_DIVISOR / connection_bytes;
    let descriptors = limits.descriptors.unwrap_or_else(process_descriptors);
    let other = OTHER_DESCRIPTORS.min(descriptors / 2);
    let by_descriptors = (descriptors - other) / DESCRIPTORS_PER_CONNECTION;
    let by_memory = u32::try_from(by_memory).unwrap_or(u32::MAX);
    limits.connections.min(by_memory).min(by_descriptors).max(1)
}

/// Returns the number of descriptors that the system allows this process.
fn process_descriptors() -> u32 {
    let limit = process::getrlimit(Resource::Nofile).current;
    limit.and_then(|n| u32::try_from(n).ok()).unwrap_or(u32::MAX)
}
