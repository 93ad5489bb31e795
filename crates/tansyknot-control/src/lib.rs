//! Configuration, replicas and idempotency keys kept through the table service.

pub mod claim;
pub mod config;
pub mod directory;
pub mod hosts;
pub mod idempotency;
pub mod pools;
pub mod publish;
pub mod reconcile;
pub mod replicas;
pub mod row;
pub mod usage;
