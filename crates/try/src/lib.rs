//! The whole path in one process: platform, leafs and entry hosts on loopback ports.

pub mod call;
pub mod installation;
pub mod intent;
