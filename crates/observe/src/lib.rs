//! Metrics, and a rate-limited log that never blocks.

pub mod log_output;
pub mod metrics;
