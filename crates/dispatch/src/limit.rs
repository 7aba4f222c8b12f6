//! How many requests one leaf gets at a time.

use std::time::Duration;

use tokio::time::Instant;

/// What bounds the concurrency of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Requests that the leaf works on at a time.
    pub slots: u32,
    /// Connections that this host may hold: one request each.
    pub share: u32,
    /// Whether this host is the service's first candidate.
    pub first: bool,
}

/// Decides how many requests a leaf gets at a time.
pub trait Limit: Send + 'static {
    /// Returns the limit for a leaf that was not used before.
    fn new(bounds: Bounds) -> Self;
    /// Takes new bounds.
    fn resize(&mut self, bounds: Bounds);
    /// Returns how many requests the leaf may have now; never more than the share.
    fn allowed(&self) -> u32;
    /// Takes the latency of a reply, and the requests in flight when it was sent.
    fn reply(&mut self, latency: Duration, in_flight: u32);
    /// Takes a shed request.
    fn shed(&mut self, now: Instant);
    /// Takes a failed request.
    fn failed(&mut self, now: Instant);
    /// Starts again from one request: the leaf has restarted.
    fn cold(&mut self);
}

/// Weight of one reply in the present latency.
const SHORT: f64 = 0.1;
/// Weight of one reply in the latency of an unloaded leaf.
const LONG: f64 = 0.02;
/// The reference follows a lasting change of the leaf itself, slowly.
const LEAK: f64 = 0.001;
/// Latency over the reference below which the limit grows.
const CALM: f64 = 1.2;
/// Latency over the reference above which the limit shrinks.
const CONGESTED: f64 = 1.6;
/// Shortest time between two reductions for sheds or failures: they come in groups.
const PAUSE: Duration = Duration::from_millis(20);
/// Replies at each step of the growth from a cold start, for each request in flight.
const STEP: f64 = 8.0;
/// Replies at each step near a limit at which the leaf shed, for each request in flight.
const STEP_NEAR_SHED: f64 = 64.0;

/// A limit that follows the latency gradient, sheds and failures.
#[derive(Debug)]
pub struct Gradient {
    bounds: Bounds,
    limit: f64,
    short: f64,
    reference: f64,
    reduced: Option<Instant>,
    /// The limit at which the leaf shed last.
    shed: f64,
}

impl Gradient {
    fn cap(&self) -> f64 {
        f64::from(self.bounds.share)
    }

    fn reduce(&mut self, factor: f64, now: Instant) {
        if self.reduced.is_none_or(|at| now >= at + PAUSE) {
            self.limit = (self.limit * factor).max(1.0);
            self.reduced = Some(now);
        }
    }
}

impl Limit for Gradient {
    fn new(bounds: Bounds) -> Self {
        let start = if bounds.first { bounds.slots } else { 1 };
        Self {
            bounds,
            limit: f64::from(start.min(bounds.share).max(1)),
            short: 0.0,
            reference: 0.0,
            reduced: None,
            shed: f64::INFINITY,
        }
    }

    fn resize(&mut self, bounds: Bounds) {
        if bounds.first && !self.bounds.first {
            self.limit = self.limit.max(f64::from(bounds.slots));
        }
        self.bounds = bounds;
        self.limit = self.limit.clamp(1.0, self.cap().max(1.0));
    }

    fn allowed(&self) -> u32 {
        // The limit lies between 1 and the share; the cast drops the fraction.
        (self.limit as u32).min(self.bounds.share)
    }

    fn reply(&mut self, latency: Duration, in_flight: u32) {
        let sample = latency.as_secs_f64();
        if self.reference == 0.0 {
            (self.short, self.reference) = (sample, sample);
        }
        // One straggler is no sign of congestion.
        let sample = sample.min(3.0 * self.reference);
        self.short += SHORT * (sample - self.short);
        let weight = if in_flight <= self.bounds.slots {
            LONG
        } else {
            LEAK
        };
        self.reference += weight * (sample - self.reference);
        let ratio = self.short / self.reference;
        // Less urgent work leaves the last place free.
        let saturated = f64::from(in_flight) + 2.0 > self.limit;
        if ratio > CONGESTED {
            self.limit = (self.limit * 0.98).max(1.0);
        } else if ratio < CALM && saturated {
            let slots = f64::from(self.bounds.slots);
            let replies = if self.limit + 1.0 >= self.shed {
                STEP_NEAR_SHED
            } else if self.limit < slots {
                STEP
            } else {
                1.0
            };
            self.limit = (self.limit + 1.0 / (replies * self.limit)).min(self.cap());
            if self.limit > self.shed {
                self.shed = f64::INFINITY;
            }
        }
    }

    fn shed(&mut self, now: Instant) {
        if self.reduced.is_none_or(|at| now >= at + PAUSE) {
            self.shed = self.limit;
        }
        self.reduce(0.7, now);
    }

    fn failed(&mut self, now: Instant) {
        self.reduce(0.5, now);
    }

    fn cold(&mut self) {
        *self = Self::new(Bounds {
            first: false,
            ..self.bounds
        });
    }
}

/// A fixed limit: the connection share, as a plain pool of connections has it.
#[derive(Debug)]
pub struct Fixed(u32);

impl Limit for Fixed {
    fn new(bounds: Bounds) -> Self {
        Self(bounds.share)
    }

    fn resize(&mut self, bounds: Bounds) {
        *self = Self::new(bounds);
    }

    fn allowed(&self) -> u32 {
        self.0
    }

    fn reply(&mut self, _latency: Duration, _in_flight: u32) {}

    fn shed(&mut self, _now: Instant) {}

    fn failed(&mut self, _now: Instant) {}

    fn cold(&mut self) {}
}
