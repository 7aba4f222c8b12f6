//! A complete installation in one process: platform, leafs and entry hosts on loopback ports.

pub mod client;
pub mod installation;
pub mod intent;
