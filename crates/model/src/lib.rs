//! Types and interfaces that the other crates of rattanmast share.
//!
//! This crate performs no network I/O. Crates that hold decision logic depend only on
//! it and reach leafs, other hosts and the platform through the traits
//! [`leaf::Connector`], [`peer::Peers`] and [`store::Store`].

pub mod catalog;
pub mod clock;
pub mod config;
pub mod dedup;
pub mod exchange;
pub mod feed;
pub mod fingerprint;
pub mod forward;
pub mod hash;
pub mod host;
pub mod leaf;
pub mod outcome;
pub mod peer;
pub mod preset;
pub mod quarantine;
pub mod query;
pub mod range;
pub mod rank;
pub mod request;
pub mod roster;
pub mod route;
pub mod store;
pub mod trace;
