//! Stand-ins for the platform, leafs and a faulty network.
//!
//! They implement the external interfaces only. All random choices derive from
//! a seed: on a single-threaded runtime with paused time, runs with equal seeds
//! are identical.

pub mod behavior;
pub mod cli;
pub mod clock;
pub mod config;
pub mod connection;
pub mod data;
pub mod exit;
pub mod fleet;
pub mod leafs;
pub mod memory;
pub mod model;
pub mod platform;
pub mod proxy;
pub mod records;
pub mod serve;
pub mod slots;
pub mod store;
