//! Concurrency limits for one leaf.

use std::time::Duration;

use tokio::time::Instant;

/// Bounds on the requests in flight at a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Requests that the leaf processes concurrently.
    pub slots: u32,
    /// Connections that this host may hold; each carries one request.
    pub share: u32,
    /// Whether this host is the first candidate of the service.
    pub first: bool,
}

/// Limits the requests in flight at a leaf.
pub trait Limit: Send + 'static {
    /// Returns the limit for a new leaf.
    fn new(bounds: Bounds) -> Self;
    /// Sets new bounds and adjusts the limit to them.
    fn set_bounds(&mut self, bounds: Bounds);
    /// Returns the maximum number of requests in flight, at most [`Bounds::share`].
    fn allowed(&self) -> u32;
    /// Records the latency of a reply and the requests in flight when its request was sent.
    fn record_reply(&mut self, latency: Duration, in_flight: u32);
    /// Records a shed request.
    fn record_shed(&mut self, now: Instant);
    /// Records a failed request.
    fn record_failure(&mut self, now: Instant);
    /// Starts again from one request, after a restart of the leaf.
    fn reset(&mut self);
}

/// Weight of one reply in the recent latency.
const RECENT_LATENCY_WEIGHT: f64 = 0.1;
/// Weight of one reply in the reference, the latency of an unloaded leaf.
const REFERENCE_LATENCY_WEIGHT: f64 = 0.02;
/// Weight in the reference of a reply under load, so that it slowly follows a lasting change.
const LOADED_REFERENCE_LATENCY_WEIGHT: f64 = 0.001;
/// Ratio of recent to reference latency below which the limit grows.
const GROWTH_MAX_LATENCY_RATIO: f64 = 1.2;
/// Ratio of recent to reference latency above which the limit shrinks.
const REDUCTION_MIN_LATENCY_RATIO: f64 = 1.6;
/// Minimum time between two reductions, because sheds and failures come in bursts.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(20);
/// Replies, for each request that the limit allows, after which the limit grows by one while it is
/// below the slots of the leaf, as after a cold start. From there on, one reply each suffices.
const REPLIES_PER_INCREASE: f64 = 8.0;
/// Replies, for each request that the limit allows, after which the limit grows by one near a limit
/// that led to sheds.
const REPLIES_PER_INCREASE_NEAR_SHED: f64 = 64.0;

/// An adaptive limit that follows the latency gradient, sheds and failures.
#[derive(Debug)]
pub struct Gradient {
    bounds: Bounds,
    limit: f64,
    recent: f64,
    reference: f64,
    reduced_at: Option<Instant>,
    /// The limit in force when the leaf last shed a request.
    shed_limit: f64,
}

impl Gradient {
    fn max_limit(&self) -> f64 {
        f64::from(self.bounds.share)
    }

    fn reduce(&mut self, factor: f64, now: Instant) {
        if self
            .reduced_at
            .is_none_or(|at| now >= at + REDUCTION_INTERVAL)
        {
            self.limit = (self.limit * factor).max(1.0);
            self.reduced_at = Some(now);
        }
    }
}

impl Limit for Gradient {
    fn new(bounds: Bounds) -> Self {
        let start = if bounds.first { bounds.slots } else { 1 };
        Self {
            bounds,
            limit: f64::from(start.min(bounds.share).max(1)),
            recent: 0.0,
            reference: 0.0,
            reduced_at: None,
            shed_limit: f64::INFINITY,
        }
    }

    fn set_bounds(&mut self, bounds: Bounds) {
        if bounds.first && !self.bounds.first {
            self.limit = self.limit.max(f64::from(bounds.slots));
        }
        self.bounds = bounds;
        self.limit = self.limit.clamp(1.0, self.max_limit().max(1.0));
    }

    fn allowed(&self) -> u32 {
        // The limit lies between 1 and the share; the cast drops the fraction.
        (self.limit as u32).min(self.bounds.share)
    }

    fn record_reply(&mut self, latency: Duration, in_flight: u32) {
        let sample = latency.as_secs_f64();
        if self.reference == 0.0 {
            (self.recent, self.reference) = (sample, sample);
        }
        // Caps the sample, because a single straggler is no sign of congestion.
        let sample = sample.min(3.0 * self.reference);
        self.recent += RECENT_LATENCY_WEIGHT * (sample - self.recent);
        let weight = if in_flight <= self.bounds.slots {
            REFERENCE_LATENCY_WEIGHT
        } else {
            LOADED_REFERENCE_LATENCY_WEIGHT
        };
        self.reference += weight * (sample - self.reference);
        let ratio = self.recent / self.reference;
        // Less urgent work leaves the last place within the limit free, so the limit counts as
        // reached when one request is missing.
        let saturated = f64::from(in_flight) + 2.0 > self.limit;
        if ratio > REDUCTION_MIN_LATENCY_RATIO {
            self.limit = (self.limit * 0.98).max(1.0);
        } else if ratio < GROWTH_MAX_LATENCY_RATIO && saturated {
            let slots = f64::from(self.bounds.slots);
            let replies = if self.limit + 1.0 >= self.shed_limit {
                REPLIES_PER_INCREASE_NEAR_SHED
            } else if self.limit < slots {
                REPLIES_PER_INCREASE
            } else {
                1.0
            };
            self.limit = (self.limit + 1.0 / (replies * self.limit)).min(self.max_limit());
            if self.limit > self.shed_limit {
                self.shed_limit = f64::INFINITY;
            }
        }
    }

    fn record_shed(&mut self, now: Instant) {
        if self
            .reduced_at
            .is_none_or(|at| now >= at + REDUCTION_INTERVAL)
        {
            self.shed_limit = self.limit;
        }
        self.reduce(0.7, now);
    }

    fn record_failure(&mut self, now: Instant) {
        self.reduce(0.5, now);
    }

    fn reset(&mut self) {
        *self = Self::new(Bounds {
            first: false,
            ..self.bounds
        });
    }
}

/// A fixed limit: the connection share, as in an ordinary connection pool.
#[derive(Debug)]
pub struct Fixed(u32);

impl Limit for Fixed {
    fn new(bounds: Bounds) -> Self {
        Self(bounds.share)
    }

    fn set_bounds(&mut self, bounds: Bounds) {
        *self = Self::new(bounds);
    }

    fn allowed(&self) -> u32 {
        self.0
    }

    fn record_reply(&mut self, _latency: Duration, _in_flight: u32) {}

    fn record_shed(&mut self, _now: Instant) {}

    fn record_failure(&mut self, _now: Instant) {}

    fn reset(&mut self) {}
}
