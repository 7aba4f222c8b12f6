//! Stand-ins for the platform, leafs and a faulty network.
//!
//! They are small and behave at the interfaces only. Everything random comes
//! from a seed; on a single-threaded, paused runtime two runs are equal.

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
