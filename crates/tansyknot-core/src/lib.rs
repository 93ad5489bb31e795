//! Types, traits and errors shared by all tansyknot crates.
//!
//! This crate depends on no other crate of the workspace. Other crates implement its traits, and
//! the binaries connect the implementations.

pub mod clock;
pub mod engine;
pub mod error;
pub mod event;
pub mod host;
pub mod key;
pub mod label;
pub mod metric;
pub mod name;
pub mod peer;
pub mod refusal;
pub mod replica;
pub mod table;
pub mod telemetry;

pub use error::{Error, Result};
