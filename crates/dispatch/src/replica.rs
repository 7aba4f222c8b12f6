//! What a service knows of one of its leafs.

use std::time::Duration;

use rand::rngs::SmallRng;
use rattanmast_model::{
    host,
    leaf::{self, Link},
};
use tokio::time::Instant;

use crate::{
    health::Health,
    latency::Latency,
    leaving::Evidence,
    limit::{Bounds, Limit},
    pool::Pool,
};

/// A leaf of a service.
#[derive(Debug)]
pub(crate) struct Replica<L, M> {
    pub(crate) leaf: leaf::Leaf,
    /// Whether the platform lists it.
    pub(crate) listed: bool,
    pub(crate) pool: Pool<L>,
    pub(crate) limit: M,
    pub(crate) latency: Latency,
    pub(crate) health: Health,
    pub(crate) leaving: Evidence,
    /// Requests at the leaf from this host.
    pub(crate) in_flight: u32,
    /// When the requests at the leaf were sent.
    pub(crate) sent: Vec<Instant>,
    /// The least time that opening a connection or a reply took: the way to the leaf and back.
    pub(crate) round_trip: Option<Duration>,
    incarnation: Option<host::Incarnation>,
    /// The times at which the last replies' requests were sent, for comparison with silent ones.
    answered: [Option<Instant>; PROGRESS_REPLIES],
    /// When the last answered cancellation was sent: no work, so it is answered at once.
    cancel_answered: Option<Instant>,
}

/// How many times its usual latency a request takes before its leaf counts as standing still.
const OVERDUE_FACTOR: f64 = 2.5;

/// Replies to later requests that show that a leaf makes progress.
const PROGRESS_REPLIES: usize = 3;

impl<L: Link, M: Limit> Replica<L, M> {
    pub(crate) fn new(leaf: leaf::Leaf, bounds: Bounds) -> Self {
        Self {
            listed: true,
            pool: Pool::new(bounds.share),
            limit: M::new(bounds),
            latency: Latency::new(),
            health: Health::new(),
            leaving: Evidence::new(leaf.state),
            in_flight: 0,
            sent: Vec::new(),
            round_trip: None,
            incarnation: None,
            answered: [None; PROGRESS_REPLIES],
            cancel_answered: None,
            leaf,
        }
    }

    /// Returns how many requests the leaf may have now.
    pub(crate) fn allowed(&self, now: Instant) -> u32 {
        if !self.listed || self.leaving.is_leaving(now) {
            return 0;
        }
        self.limit.allowed().min(self.health.allowed(now))
    }

    /// Returns whether the leaf may get work at all, as far as is known.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.allowed(now) > 0 && !self.pool.is_exhausted()
    }

    /// Returns whether the leaf may be tried although its requests fail, if no other one is left.
    pub(crate) fn is_last_resort(&self) -> bool {
        let connected = self.in_flight > 0 || self.pool.has_idle();
        self.listed && !self.leaving.is_listed_leaving() && connected
    }

    /// Returns whether the place in the arena may be given to another leaf.
    pub(crate) fn is_vacant(&self) -> bool {
        !self.listed && self.is_unused()
    }

    /// Returns whether no request and no connection to the leaf exists.
    pub(crate) fn is_unused(&self) -> bool {
        self.in_flight == 0 && self.pool.total() == 0
    }

    /// Takes what the leaf says of itself. A new process is cold.
    pub(crate) fn record_load(&mut self, load: leaf::Load, now: Instant) {
        if self
            .incarnation
            .is_some_and(|known| known != load.incarnation)
        {
            self.latency = Latency::new();
            self.limit.reset();
            self.leaving.clear_reports();
        }
        self.incarnation = Some(load.incarnation);
        if load.draining {
            self.leaving.record_own_report(now);
        }
    }

    /// Returns the time of the way to the leaf and back, in seconds; zero if it is not known.
    pub(crate) fn round_trip_secs(&self) -> f64 {
        self.round_trip
            .map_or(0.0, |round_trip| round_trip.as_secs_f64())
    }

    /// Takes a time that includes the way to the leaf and back; returns the least one.
    pub(crate) fn record_round_trip(&mut self, elapsed: Duration) -> Duration {
        let min = self.round_trip.map_or(elapsed, |known| known.min(elapsed));
        self.round_trip = Some(min);
        min
    }

    /// Returns the expected latency, in seconds, if leafs need `work` without the way to them.
    ///
    /// A request that is overdue shows that the leaf stands still; how long it has done so is the
    /// best guess of how long it still will.
    pub(crate) fn expected_secs(&self, processing_secs: f64, now: Instant) -> f64 {
        let usual_secs = self
            .latency
            .expected_secs(processing_secs + self.round_trip_secs(), now);
        let oldest = self.sent.iter().min();
        let age = oldest.map_or(Duration::ZERO, |sent| now.saturating_duration_since(*sent));
        match age.as_secs_f64() {
            age if age > OVERDUE_FACTOR * usual_secs => usual_secs + age,
            _ => usual_secs,
        }
    }

    /// Ends a request that was sent at `sent`, if it was.
    pub(crate) fn finish_request(&mut self, sent: Option<Instant>) {
        self.in_flight -= 1;
        let at = self.sent.iter().position(|known| Some(*known) == sent);
        if let Some(at) = at {
            self.sent.swap_remove(at);
        }
    }

    /// Takes a failed request.
    pub(crate) fn record_failure(&mut self, now: Instant, rng: &mut SmallRng) {
        self.health.record_failure(now, rng);
        self.limit.record_failure(now);
    }

    /// Notes that a request that was sent at `sent` got its reply.
    pub(crate) fn record_answered(&mut self, sent: Instant) {
        let oldest = self.answered.iter_mut().min();
        if let Some(oldest) = oldest.filter(|o| **o < Some(sent)) {
            *oldest = Some(sent);
        }
    }

    /// Notes that a cancellation that was sent at `sent` was answered.
    pub(crate) fn record_cancel_answered(&mut self, sent: Instant) {
        self.cancel_answered = self.cancel_answered.max(Some(sent));
    }

    /// Returns whether the leaf answered a cancellation, or several requests, sent after `sent`.
    pub(crate) fn answered_since(&self, sent: Instant) -> bool {
        self.cancel_answered > Some(sent) || self.answered.iter().all(|a| *a > Some(sent))
    }
}
