//! The retry budget of the root.

use std::sync::Mutex;

/// Limits retries.
pub trait Budget: Send + Sync + 'static {
    /// Records a sub-query that found all that it requested.
    fn record_success(&self);

    /// Spends one retry; returns `false` if the budget is exhausted.
    fn try_spend(&self) -> bool;
}

/// Allows retries as a share of the sub-queries that succeeded, so that retries cannot multiply the
/// load of a failure.
///
/// This is a token bucket that successes refill.
#[derive(Debug)]
pub struct SuccessShare {
    share: f64,
    capacity: f64,
    tokens: Mutex<f64>,
}

impl SuccessShare {
    /// Creates a full budget that gains `share` retries per success, up to `capacity`.
    pub fn new(share: f64, capacity: f64) -> Self {
        Self {
            share,
            capacity,
            tokens: Mutex::new(capacity),
        }
    }
}

impl Budget for SuccessShare {
    fn record_success(&self) {
        let mut tokens = self.tokens.lock().expect("no holder panics");
        *tokens = (*tokens + self.share).min(self.capacity);
    }

    fn try_spend(&self) -> bool {
        let mut tokens = self.tokens.lock().expect("no holder panics");
        let allowed = *tokens >= 1.0;
        if allowed {
            *tokens -= 1.0;
        }
        allowed
    }
}

/// A baseline that allows every retry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl Budget for Unlimited {
    fn record_success(&self) {}

    fn try_spend(&self) -> bool {
        true
    }
}
