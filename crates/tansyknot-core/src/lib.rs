//! Types, traits and errors shared by every tansyknot package.
//!
//! This package depends on no sibling. Leaf packages implement its traits; the
//! binaries wire the implementations together.

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
