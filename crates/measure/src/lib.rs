//! Measurements of the policies against their plain baselines.
//!
//! The hosts of an installation and its leafs run in one process on tokio's
//! paused clock; see `docs/notes/measurement.md` for what is left out.

pub mod audit;
pub mod case;
pub mod cases;
pub mod cluster;
pub mod config;
pub mod cost;
pub mod exit;
pub mod harness;
pub mod meter;
pub mod peers;
pub mod plot;
pub mod policy;
pub mod recovery;
pub mod run;
pub mod scenario;
pub mod table;
pub mod tally;
