//! Measures the cost of each mechanism in docs/CAPACITY.md at several sizes, with a linear fit.
//!
//! Prints a JSON line for each mechanism. The state machines and fakes run without sockets, at
//! sizes that processes on one machine can't reach.

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
