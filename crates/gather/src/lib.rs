//! Queries: snapshots, coverage, routing, merging.
//!
//! [`Gatherer`] decides everything that the root decides about a query. It
//! reaches other hosts only through [`rattanmast_model::peer::Peers`].

pub mod cover;
pub mod gatherer;
pub mod pin;
pub mod route;
mod run;
pub mod settings;
pub mod stats;
mod view;

pub use gatherer::Gatherer;
pub use settings::Settings;
pub use stats::Stats;
