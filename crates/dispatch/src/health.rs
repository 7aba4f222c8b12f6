//! Success rate of one leaf, and backoff after failures.

use std::time::Duration;

use rand::{Rng as _, rngs::SmallRng};
use tokio::time::Instant;

/// Consecutive failures after which a leaf is limited to single requests, spaced by a backoff.
const FAILURES_BEFORE_BACKOFF: u32 = 3;
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Half-life of recorded failures.
///
/// Without decay, a leaf that gets no requests could never show that it has recovered.
const FAILURE_HALF_LIFE_SECS: f64 = 1.5;

/// Factors applied to the success rate by a failure and by a shed request.
const SUCCESS_RATE_FACTOR_ON_FAILURE: f64 = 0.8;
const SUCCESS_RATE_FACTOR_ON_SHED: f64 = 0.6;

/// Weight of one reply in the moving average of the success rate.
const REPLY_WEIGHT: f64 = 0.1;

/// Recent successes and failures of a leaf.
#[derive(Debug)]
pub(crate) struct Health {
    success: f64,
    updated_at: Option<Instant>,
    consecutive_failures: u32,
    backoff: Duration,
    retry_at: Option<Instant>,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            success: 1.0,
            updated_at: None,
            consecutive_failures: 0,
            backoff: INITIAL_BACKOFF,
            retry_at: None,
        }
    }

    /// Returns the share of recent requests to the leaf that succeeded, from 0 to 1.
    ///
    /// Failures count less the longer ago they were.
    pub(crate) fn success(&self, now: Instant) -> f64 {
        let age = self.updated_at.map_or(Duration::ZERO, |updated_at| {
            now.saturating_duration_since(updated_at)
        });
        1.0 - (1.0 - self.success) * (-age.as_secs_f64() / FAILURE_HALF_LIFE_SECS).exp2()
    }

    pub(crate) fn record_success(&mut self, now: Instant) {
        self.success = self.success(now);
        self.success += REPLY_WEIGHT * (1.0 - self.success);
        self.updated_at = Some(now);
        self.consecutive_failures = 0;
        self.backoff = INITIAL_BACKOFF;
        self.retry_at = None;
    }

    pub(crate) fn record_failure(&mut self, now: Instant, rng: &mut SmallRng) {
        self.success = SUCCESS_RATE_FACTOR_ON_FAILURE * self.success(now);
        self.updated_at = Some(now);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_BEFORE_BACKOFF {
            self.back_off(now, rng);
        }
    }

    /// Lowers the success rate without starting a backoff: the leaf stays in use.
    pub(crate) fn record_shed(&mut self, now: Instant) {
        self.success = SUCCESS_RATE_FACTOR_ON_SHED * self.success(now);
        self.updated_at = Some(now);
    }

    /// Starts a backoff because no connection could be opened.
    pub(crate) fn record_unreachable(&mut self, now: Instant, rng: &mut SmallRng) {
        self.consecutive_failures = self.consecutive_failures.max(FAILURES_BEFORE_BACKOFF);
        self.back_off(now, rng);
    }

    fn back_off(&mut self, now: Instant, rng: &mut SmallRng) {
        self.retry_at = Some(now + self.backoff.mul_f64(rng.random_range(0.75..1.25)));
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Returns the maximum number of requests in flight in view of recent failures.
    pub(crate) fn allowed(&self, now: Instant) -> u32 {
        match self.retry_at {
            None => u32::MAX,
            Some(at) => u32::from(at <= now),
        }
    }
}
