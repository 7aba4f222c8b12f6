//! Dispatches requests from one host to the leafs of its services.
//!
//! [`Dispatcher`] is the entry point. Replica choice, hedging, concurrency limits and queueing are
//! traits that [`policy::Policy`] combines; each has a production implementation and a baseline
//! for measurements.

mod assignment;
mod attempt;
pub mod choice;
mod connections;
mod dispatcher;
mod forward;
mod health;
pub mod hedge;
mod hedging;
pub mod lanes;
mod latency;
mod lease;
mod leaving;
pub mod limit;
mod losses;
mod orders;
pub mod policy;
mod pool;
mod progress;
mod queue;
mod quota;
mod replica;
mod reports;
mod restriction;
mod search;
mod service;
mod settings;
mod state;
mod stats;
mod usage;
mod work;

pub use dispatcher::Dispatcher;
pub use latency::Quantile;
pub use settings::{Settings, Spread};
pub use stats::Stats;
