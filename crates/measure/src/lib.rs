//! Simulations that compare the policies with their baselines.
//!
//! The hosts and leafs of an installation run in one process on tokio's paused
//! clock. `docs/notes/measurement.md` lists what the simulation leaves out.

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
