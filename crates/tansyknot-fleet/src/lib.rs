//! Serves requests from targets that hold several models each, under the orders of one planner.
//!
//! A request passes through routing, the choice of a target, the exchange with it, and the relay
//! of its response. Meanwhile each daemon follows the store and reports its demand to the planner;
//! one daemon at a time is the planner.

pub mod access;
pub mod admission;
pub mod backoff;
pub mod backpressure;
pub mod bounds;
pub mod budget;
pub mod catalog;
pub mod condition;
pub mod connection;
pub mod dissemination;
pub mod estimate;
pub mod exchange;
pub mod fleet;
pub mod follow;
pub mod freshness;
pub mod instrumented_store;
pub mod lease;
pub mod lease_keeper;
pub mod paths;
pub mod peer_listener;
pub mod peering;
pub mod plan;
pub mod platform_api;
pub mod poison;
pub mod probe;
pub mod reachability;
pub mod residency;
pub mod response_buffers;
pub mod response_relay;
pub mod scheduling;
pub mod serve;
pub mod shutdown;
pub mod snapshot;
pub mod state;
pub mod store_version;
pub mod stream_origin;
pub mod target;
pub mod task;
pub mod tunnel;
pub mod zone_drain;
