//! Configuration, its propagation between hosts, and cluster membership.
//!
//! [`node::Node`] holds the state of one host: the configuration in force, the proof that it is
//! in force, the catalogs, and the liveness of the other hosts. [`intent`], [`plan`] and
//! [`accept`] implement configuration changes by operators.

pub mod accept;
mod availability;
mod call;
pub mod change;
pub mod delta;
pub mod drain;
pub mod effect;
pub mod feed;
pub mod follow;
mod gossip;
pub mod intent;
pub mod layer;
pub mod listing;
pub mod member;
pub mod monitor;
pub mod node;
pub mod plan;
mod progress;
pub mod proof;
pub mod reader;
pub mod record;
pub mod settings;
pub mod staleness;
mod state;
pub mod status;
pub mod stop;
pub mod table;
pub mod view;
mod watcher;
