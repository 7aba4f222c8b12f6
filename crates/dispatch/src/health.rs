//! Failures of one leaf, as its own replies show them.

use std::time::Duration;

use rand::{Rng as _, rngs::SmallRng};
use tokio::time::Instant;

/// Failures in a row after which a leaf only gets one request at a time, at intervals.
const ROW: u32 = 3;
/// First interval between requests to a failing leaf.
const FIRST: Duration = Duration::from_millis(50);
/// Longest interval between requests to a failing leaf.
const LONGEST: Duration = Duration::from_secs(2);

/// The half-life of failures that no newer reply confirms: a leaf that gets no requests could
/// not show otherwise that it works again.
const STALE: f64 = 1.5;

/// What remains of a leaf's success after a failure, and after a shed.
const AFTER_FAILURE: f64 = 0.8;
const AFTER_SHED: f64 = 0.6;

/// The weight of one reply in a leaf's success.
const REPLY_WEIGHT: f64 = 0.1;

/// Recent failures of a leaf.
#[derive(Debug)]
pub(crate) struct Health {
    success: f64,
    last: Option<Instant>,
    row: u32,
    interval: Duration,
    retry: Option<Instant>,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            success: 1.0,
            last: None,
            row: 0,
            interval: FIRST,
            retry: None,
        }
    }

    /// Returns the share of recent requests that succeeded.
    pub(crate) fn success(&self, now: Instant) -> f64 {
        let age = self
            .last
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        1.0 - (1.0 - self.success) * (-age.as_secs_f64() / STALE).exp2()
    }

    pub(crate) fn succeeded(&mut self, now: Instant) {
        self.success = self.success(now);
        self.success += REPLY_WEIGHT * (1.0 - self.success);
        self.last = Some(now);
        self.row = 0;
        self.interval = FIRST;
        self.retry = None;
    }

    pub(crate) fn failed(&mut self, now: Instant, rng: &mut SmallRng) {
        self.success = AFTER_FAILURE * self.success(now);
        self.last = Some(now);
        self.row += 1;
        if self.row >= ROW {
            self.wait(now, rng);
        }
    }

    /// Notes that the leaf shed a request: it is worth less, but not left out.
    pub(crate) fn shed(&mut self, now: Instant) {
        self.success = AFTER_SHED * self.success(now);
        self.last = Some(now);
    }

    /// Notes that no connection can be opened: nothing is tried before an interval has passed.
    pub(crate) fn unreachable(&mut self, now: Instant, rng: &mut SmallRng) {
        self.row = self.row.max(ROW);
        self.wait(now, rng);
    }

    fn wait(&mut self, now: Instant, rng: &mut SmallRng) {
        self.retry = Some(now + self.interval.mul_f64(rng.random_range(0.75..1.25)));
        self.interval = (self.interval * 2).min(LONGEST);
    }

    /// Returns how many requests the leaf may have as far as its failures go.
    pub(crate) fn allowed(&self, now: Instant) -> u32 {
        match self.retry {
            None => u32::MAX,
            Some(at) => u32::from(at <= now),
        }
    }
}
