//! Wire protocols of rattanmast.
//!
//! Callers, leafs and the platform are reached with JSON over HTTP/1.1. Hosts talk to each other
//! with tonic (queries, orders, forwarded calls) and tarpc (exchange of state).

pub mod api;
pub mod connection;
pub mod exchange;
pub mod hop;
pub mod http;
pub mod leaf;
pub mod memory;
mod meter;
pub mod relay;
pub mod server;
pub mod store;
