//! The tansyknot daemon: wiring, background loops, logs, metrics and the operators' interface.

#[cfg(feature = "services")]
pub mod control;
#[cfg(feature = "services")]
pub mod daemon;
pub mod fleet;
mod host;
pub mod logs;
#[cfg(feature = "services")]
pub mod loops;
pub mod metrics_page;
#[cfg(feature = "services")]
pub mod operators;
#[cfg(feature = "services")]
pub mod replicas;
#[cfg(feature = "services")]
pub mod telemetry;
