//! The tansyknot daemon: wiring, background loops and the operators' interface.

pub mod control;
pub mod daemon;
pub mod loops;
pub mod operators;
pub mod replicas;
pub mod telemetry;
