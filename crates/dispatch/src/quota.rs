//! This host's part of the rate of requests that a leaf takes from all hosts together.
//!
//! Hosts know only their own sends, so the rate is divided equally among the hosts that send to the
//! leaf. A part may be far below one request a second. Each host has slots at a fixed interval, from a
//! random time on, and a slot that is not used soon is lost: if hosts could save them, all might use
//! what they saved at the same moment.

use std::time::Duration;

use rand::{Rng as _, rngs::SmallRng};
use tokio::time::Instant;

/// Share of the rate that is used; the rest covers hosts that only stand in for a sender.
const USED_SHARE: f64 = 0.9;

/// Time within which a slot has to be used.
const SLOT_LIFETIME: Duration = Duration::from_millis(500);

/// Upper bound of the interval between two slots.
const MAX_INTERVAL: Duration = Duration::from_hours(1);

/// The slots of this host at one leaf.
#[derive(Debug)]
pub(crate) struct Quota {
    /// The requests a second from all hosts together.
    rate: f64,
    /// The number of hosts that send to the leaf.
    holders: u32,
    interval: Duration,
    /// The time of the next slot that is not used, or of an earlier one that is lost by now.
    next: Instant,
}

impl Quota {
    /// Returns the slots of one of `holders` hosts for a `rate` in requests a second.
    pub(crate) fn new(rate: f64, holders: u32, now: Instant, rng: &mut SmallRng) -> Self {
        let interval = interval(rate, holders);
        Self {
            rate,
            holders,
            interval,
            next: now + interval.mul_f64(rng.random_range(0.0..1.0)),
        }
    }

    /// Returns the requests a second from all hosts together.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate and the number of hosts; returns whether one of them differs.
    pub(crate) fn set(&mut self, rate: f64, holders: u32) -> bool {
        if self.rate == rate && self.holders == holders {
            return false;
        }
        let interval = interval(rate, holders);
        // Counts from the last slot, so that a rate that changes often yields no more slots.
        let last = self.next.checked_sub(self.interval).unwrap_or(self.next);
        *self = Self {
            rate,
            holders,
            interval,
            next: last + interval,
        };
        true
    }

    /// Returns whether a request of `lane` may be sent now.
    ///
    /// The first lane, which is the most urgent, may use a slot before the others.
    pub(crate) fn is_open(&self, lane: usize, now: Instant) -> bool {
        let head_start = match lane {
            0 => Duration::ZERO,
            _ => self.interval.min(SLOT_LIFETIME) / 2,
        };
        self.slot(now) + head_start <= now
    }

    /// Uses the current slot.
    pub(crate) fn take(&mut self, now: Instant) {
        self.next = self.slot(now) + self.interval;
    }

    /// Returns the time of the first slot that is not lost.
    fn slot(&self, now: Instant) -> Instant {
        let late = now.saturating_duration_since(self.next + SLOT_LIFETIME);
        if late.is_zero() {
            return self.next;
        }
        let lost = late.as_secs_f64() / self.interval.as_secs_f64();
        self.next + self.interval.mul_f64(lost.ceil())
    }
}

/// Returns the interval between two slots of one of `holders` hosts.
fn interval(rate: f64, holders: u32) -> Duration {
    let seconds = f64::from(holders.max(1)) / (rate * USED_SHARE);
    let interval = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_INTERVAL);
    interval.clamp(Duration::from_micros(1), MAX_INTERVAL)
}
