//! Configuration, replicas and idempotency keys, stored in the table service.

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
