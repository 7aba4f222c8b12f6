//! How many retries the root may make.

use std::sync::Mutex;

/// Allows or forbids retries.
pub trait Budget: Send + Sync + 'static {
    /// Notes a sub-query that found all it was asked for.
    fn success(&self);

    /// Takes the right to one retry; returns whether there was one.
    fn take(&self) -> bool;
}

/// Retries are a share of successes, so that they cannot multiply a failure's load.
#[derive(Debug)]
pub struct Share {
    share: f64,
    burst: f64,
    saved: Mutex<f64>,
}

impl Share {
    /// Returns a budget of `share` retries per success, with at most `burst` saved up.
    pub fn new(share: f64, burst: f64) -> Self {
        Self {
            share,
            burst,
            saved: Mutex::new(burst),
        }
    }
}

impl Budget for Share {
    fn success(&self) {
        let mut saved = self.saved.lock().expect("no holder panics");
        *saved = (*saved + self.share).min(self.burst);
    }

    fn take(&self) -> bool {
        let mut saved = self.saved.lock().expect("no holder panics");
        let allowed = *saved >= 1.0;
        if allowed {
            *saved -= 1.0;
        }
        allowed
    }
}

/// A baseline: every retry is allowed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl Budget for Unlimited {
    fn success(&self) {}

    fn take(&self) -> bool {
        true
    }
}
