//! Divides the memory and the descriptors of the host among connections and requests.

use std::sync::Arc;

use rustix::process::{self, Resource};
use tansyknot_config::settings::Limits;
use tansyknot_fleet::response_buffers;
use tansyknot_http::{
    memory::RequestMemory,
    receive,
    server::{DrainBehaviour, ServerOptions},
};

/// One in so many bytes of the host's memory is for the daemon's own state.
const STATE_DIVISOR: u64 = 8;
/// The least that the daemon's own state takes.
const MIN_STATE_BYTES: u64 = 16 << 20;
/// The rest is counted in sevenths.
const SEVENTHS: u64 = 7;
/// For the bodies of requests.
const BODY_SEVENTHS: u64 = 2;
/// For bodies and responses together.
const BODY_AND_RESPONSE_SEVENTHS: u64 = 3;
/// For connections.
const CONNECTION_SEVENTHS: u64 = 4;
/// The touched part of a connection's stack while a head is received.
const RECEIVING_STACK_BYTES: u64 = 16 << 10;
/// The touched part of a connection's stack while its request is served, with the buffers of the
/// relay.
const SERVING_STACK_BYTES: u64 = 48 << 10;
/// A request needs a descriptor for its caller and one for its target.
const DESCRIPTORS_PER_CONNECTION: u32 = 2;
/// Descriptors for files, the store, and the connections and tunnels of other daemons.
const OTHER_DESCRIPTORS: u32 = 1100;

/// Returns the options of a listener for callers.
pub(crate) fn server_options(limits: &Limits, on_drain: DrainBehaviour) -> ServerOptions {
    let seventh = seventh_bytes(limits);
    let memory = RequestMemory::new(seventh * BODY_SEVENTHS, limits.body.get())
        .with_total(seventh * BODY_AND_RESPONSE_SEVENTHS);
    let memory = match limits.response_buffers {
        Some(bytes) => memory.with_responses(bytes.get()),
        None => memory,
    };
    ServerOptions {
        max_head_bytes: limits.head.get(),
        max_body_bytes: limits.body.get(),
        memory: Arc::new(memory),
        max_connections: max_connections(limits),
        head_timeout: limits.receive_timeout.duration(),
        body_timeout: limits.receive_timeout.duration(),
        idle_timeout: limits.idle_timeout.duration(),
        write_timeout: limits.write_timeout.duration(),
        on_drain,
    }
}

/// Returns a seventh of the memory that the daemon's own state leaves.
fn seventh_bytes(limits: &Limits) -> u64 {
    let memory = limits.memory.get();
    let state = (memory / STATE_DIVISOR).max(MIN_STATE_BYTES);
    memory.saturating_sub(state) / SEVENTHS
}

fn max_connections(limits: &Limits) -> u32 {
    let by_memory = seventh_bytes(limits) * CONNECTION_SEVENTHS / connection_bytes(limits);
    let descriptors = limits.descriptors.unwrap_or_else(process_descriptors);
    let other = OTHER_DESCRIPTORS.min(descriptors / 2);
    let by_descriptors = (descriptors - other) / DESCRIPTORS_PER_CONNECTION;
    let by_memory = u32::try_from(by_memory).unwrap_or(u32::MAX);
    limits.connections.min(by_memory).min(by_descriptors).max(1)
}

/// Returns what a connection takes at most, beside its shares of the totals.
fn connection_bytes(limits: &Limits) -> u64 {
    let head = limits.head.get();
    // The head is held as it is received, and as it is parsed.
    let receiving = RECEIVING_STACK_BYTES + 2 * head;
    let serving = SERVING_STACK_BYTES + head + response_buffers::UNSHARED_BYTES_WITH_KERNEL;
    receive::BUFFER_BYTES + receiving.max(serving)
}

/// Returns the number of descriptors that the system allows this process.
fn process_descriptors() -> u32 {
    let limit = process::getrlimit(Resource::Nofile).current;
    limit.and_then(|n| u32::try_from(n).ok()).unwrap_or(u32::MAX)
}
