//! Metrics, and a rate-limited log that never blocks.

pub mod lines;
pub mod metrics;
