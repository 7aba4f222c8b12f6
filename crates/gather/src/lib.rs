//! The root's side of a query: snapshot choice, admission, routing, coverage and merging.
//!
//! [`Gatherer`] answers queries and reaches other hosts only through
//! [`rattanmast_model::peer::Peers`]. The traits in [`policy`] make admission, retry budget and
//! routing replaceable, so that benchmarks can compare them with baselines. [`relay`] answers
//! calls whose content is opaque to the system, and [`domain`] decides which host of a failure
//! domain sends them.

pub mod admission;
mod attempt;
pub mod claim;
pub mod coalesce;
pub mod cover;
pub mod domain;
mod evidence;
pub mod gatherer;
mod latency;
mod location;
pub mod matching;
pub mod merge;
pub mod notice;
mod pending;
pub mod pin;
pub mod policy;
pub mod quarantine;
mod recovery;
pub mod relay;
pub mod retry;
pub mod route;
mod run;
pub mod scatter;
pub mod settings;
mod shared;
pub mod stats;
mod subquery;
mod view;

pub use gatherer::Gatherer;
pub use settings::Settings;
pub use stats::Stats;
