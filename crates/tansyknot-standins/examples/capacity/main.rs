//! Measures the slopes of docs/CAPACITY.md: each mechanism at several sizes, with a linear fit.
//!
//! Prints a JSON line for each slope. No sockets: the pure state and the fakes are driven at the
//! sizes that processes on one machine can't show.

mod config;
mod hosts;
mod members;
mod replicas;
mod slope;

fn main() {
    config::measure_memory();
    members::measure_memory();
    hosts::measure_memory();
    replicas::measure_memory();
    config::measure();
    members::measure();
    hosts::measure();
    replicas::measure();
}
