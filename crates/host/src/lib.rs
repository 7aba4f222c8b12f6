//! The entry host: a single process that accepts requests from callers, dispatches them to
//! leafs, claims orders and keeps its configuration up to date.

pub mod api;
pub mod auth;
pub mod clock;
pub mod config;
pub mod controllers;
pub mod filter;
pub mod hop;
pub mod host;
pub mod local;
pub mod peers;
pub mod problem;
pub mod scrape;
pub mod server;
pub mod spans;
pub mod stop;

pub use host::{Host, Listeners};
