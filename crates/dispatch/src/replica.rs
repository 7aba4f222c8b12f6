//! The state of one leaf of a service.

use std::time::Duration;

use rand::rngs::SmallRng;
use rattanmast_model::{
    host::{self, Incarnation},
    leaf::{self, Connection, Notice, Terms},
};
use tokio::time::Instant;

use crate::{
    health::Health,
    latency::Latency,
    leaving::Evidence,
    limit::{Bounds, Limit},
    pool::Pool,
    reports::{Report, is_earlier},
    restriction::Restriction,
};

/// What a service knows of one of its leafs.
#[derive(Debug)]
pub(crate) struct Replica<L, M> {
    pub(crate) leaf: leaf::Leaf,
    /// Whether the platform lists the leaf.
    pub(crate) listed: bool,
    pub(crate) pool: Pool<L>,
    pub(crate) limit: M,
    pub(crate) latency: Latency,
    pub(crate) health: Health,
    pub(crate) leaving: Evidence,
    pub(crate) restriction: Restriction,
    /// Requests of this host in flight at the leaf.
    pub(crate) in_flight: u32,
    /// The send times of the requests in flight.
    pub(crate) sent_times: Vec<Instant>,
    /// Lowest time that opening a connection or a reply took, an estimate of the round-trip time.
    pub(crate) round_trip: Option<Duration>,
    incarnation: Option<host::Incarnation>,
    /// The send times of the most recently sent requests that were answered.
    ///
    /// A request sent before all of them that is still silent is probably stuck.
    answered: [Option<Instant>; REPLIES_PROVING_PROGRESS],
    /// The latest send time of a cancellation that was answered.
    ///
    /// A cancellation needs no work, so a leaf answers it at once.
    cancel_answered: Option<Instant>,
}

/// Multiple of the usual latency after which a pending request means that its leaf is stalled.
const OVERDUE_FACTOR: f64 = 2.5;

/// Number of replies to later requests that prove that a leaf makes progress.
const REPLIES_PROVING_PROGRESS: usize = 3;

impl<L: Connection, M: Limit> Replica<L, M> {
    pub(crate) fn new(leaf: leaf::Leaf, bounds: Bounds, holders: u32) -> Self {
        Self {
            listed: true,
            pool: Pool::new(bounds.share),
            limit: M::new(bounds),
            latency: Latency::new(),
            health: Health::new(),
            leaving: Evidence::new(leaf.state),
            restriction: Restriction::new(holders),
            in_flight: 0,
            sent_times: Vec::new(),
            round_trip: None,
            incarnation: None,
            answered: [None; REPLIES_PROVING_PROGRESS],
            cancel_answered: None,
            leaf,
        }
    }

    /// Takes over what the leaf said of itself before it had this replica.
    pub(crate) fn restore(&mut self, report: Report) {
        self.leaving.restore(report);
        self.restriction.restore(report);
    }

    /// Applies the entry that the platform lists; returns whether the leaf is back in service, so that
    /// what an earlier process of it said no longer holds.
    ///
    /// If the platform tells processes apart, only a later one is; otherwise any leaf that was listed as
    /// leaving and is listed as live again.
    pub(crate) fn relist(&mut self, leaf: &leaf::Leaf) -> bool {
        let is_back = match (self.leaf.lifetime, leaf.lifetime) {
            (Incarnation(0), Incarnation(0)) => {
                self.leaving.listed() == host::State::Leaving && leaf.state == host::State::Live
            }
            (known, listed) => is_earlier(known, listed),
        };
        if is_back {
            log::info!("event=leaf_back leaf={}", leaf.name);
            self.forget_process();
        }
        self.listed = true;
        self.leaving.set_listed(leaf.state);
        let lifetime = self.leaf.lifetime.max(leaf.lifetime);
        self.leaf = leaf::Leaf {
            lifetime,
            ..leaf.clone()
        };
        is_back
    }

    /// Discards what a process of the leaf said of itself.
    fn forget_process(&mut self) {
        self.leaving.clear_reports();
        self.restriction.clear();
    }

    /// Returns what the leaf said of itself, for the hosts that pass its answer on; `None` if that is
    /// nothing that concerns them.
    pub(crate) fn notice(&self, now: Instant) -> Option<Notice> {
        let terms = Terms {
            leaving: self.leaving.is_stated(now),
            pause: None,
            rate: self.restriction.rate(),
        };
        (terms != Terms::default()).then(|| Notice {
            leaf: self.leaf.name.clone(),
            lifetime: self.leaf.lifetime,
            terms,
        })
    }

    /// Records what the leaf said of itself in an answer to another host; returns whether that is new.
    pub(crate) fn record_notice(
        &mut self,
        notice: &Notice,
        now: Instant,
        rng: &mut SmallRng,
    ) -> bool {
        if is_earlier(notice.lifetime, self.leaf.lifetime) {
            return false;
        }
        if is_earlier(self.leaf.lifetime, notice.lifetime) {
            self.forget_process();
        }
        self.leaf.lifetime = self.leaf.lifetime.max(notice.lifetime);
        let is_leaving = notice.terms.leaving && self.record_leaving("notice", now);
        let rate = notice.terms.rate;
        let is_limited = rate.is_some_and(|rate| self.restriction.record_rate(rate, now, rng));
        is_leaving || is_limited
    }

    /// Returns the maximum number of requests in flight at the leaf.
    pub(crate) fn allowed(&self, now: Instant) -> u32 {
        if !self.listed || self.leaving.is_leaving(now) || !self.restriction.is_open(now) {
            return 0;
        }
        self.limit.allowed().min(self.health.allowed(now))
    }

    /// Returns whether the leaf may get work.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.allowed(now) > 0 && !self.pool.is_exhausted()
    }

    /// Returns whether the leaf may be tried despite failures if no other one is usable.
    pub(crate) fn is_last_resort(&self, now: Instant) -> bool {
        let connected = self.in_flight > 0 || self.pool.has_idle();
        let takes_work = !self.leaving.excludes_last_resort(now) && self.restriction.is_open(now);
        self.listed && takes_work && connected
    }

    /// Returns whether another leaf may take this position.
    pub(crate) fn is_vacant(&self) -> bool {
        !self.listed && self.is_unused()
    }

    /// Returns whether no request and no connection to the leaf exists.
    pub(crate) fn is_unused(&self) -> bool {
        self.in_flight == 0 && self.pool.total() == 0
    }

    /// Records the load that the leaf reported.
    ///
    /// A new incarnation discards the latency, the limit and the leaving reports of the previous
    /// process; the round-trip time and the health remain.
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
        if load.draining && self.leaving.record_leaf_report(now) {
            self.log_leaving("load");
        }
    }

    /// Records that the leaf said of itself that it is leaving, which `source` contained; returns whether
    /// that is its first report.
    fn record_leaving(&mut self, source: &str, now: Instant) -> bool {
        let is_first = self.leaving.record_statement(now);
        if is_first {
            self.log_leaving(source);
        }
        is_first
    }

    fn log_leaving(&self, source: &str) {
        let (leaf, state) = (&self.leaf.name, self.leaf.state);
        log::info!("event=leaf_leaving leaf={leaf} source={source} listed={state:?}");
    }

    /// Records what an answer said about the requests that the leaf takes.
    pub(crate) fn record_terms(&mut self, terms: leaf::Terms, now: Instant, rng: &mut SmallRng) {
        if terms.leaving {
            self.record_leaving("terms", now);
        }
        if self.restriction.record(terms, now, rng) {
            let (leaf, rate) = (&self.leaf.name, terms.rate);
            log::info!("event=leaf_limited leaf={leaf} rate={rate:?}");
        }
    }

    /// Returns the round-trip time; zero if it is not known.
    pub(crate) fn round_trip_secs(&self) -> f64 {
        self.round_trip
            .map_or(0.0, |round_trip| round_trip.as_secs_f64())
    }

    /// Records a time that includes one round trip; returns the round-trip time.
    pub(crate) fn record_round_trip(&mut self, elapsed: Duration) -> Duration {
        let min = self.round_trip.map_or(elapsed, |known| known.min(elapsed));
        self.round_trip = Some(min);
        min
    }

    /// Returns the expected latency, given the usual processing time without network time.
    ///
    /// An overdue request means that the leaf is stalled; the age of the request is then the best
    /// estimate of how much longer the stall will last.
    pub(crate) fn expected_secs(&self, processing_secs: f64, now: Instant) -> f64 {
        let usual_secs = self
            .latency
            .expected_secs(processing_secs + self.round_trip_secs(), now);
        let oldest = self.sent_times.iter().min();
        let age = oldest.map_or(Duration::ZERO, |sent| now.saturating_duration_since(*sent));
        match age.as_secs_f64() {
            age if age > OVERDUE_FACTOR * usual_secs => usual_secs + age,
            _ => usual_secs,
        }
    }

    /// Removes a request from those in flight; `sent` is `None` if it was never sent.
    pub(crate) fn finish_request(&mut self, sent: Option<Instant>) {
        self.in_flight -= 1;
        let at = self
            .sent_times
            .iter()
            .position(|known| Some(*known) == sent);
        if let Some(at) = at {
            self.sent_times.swap_remove(at);
        }
    }

    pub(crate) fn record_failure(&mut self, now: Instant, rng: &mut SmallRng) {
        self.health.record_failure(now, rng);
        self.limit.record_failure(now);
    }

    /// Records that a request that was sent at `sent` was answered.
    pub(crate) fn record_answered(&mut self, sent: Instant) {
        let oldest = self.answered.iter_mut().min();
        if let Some(oldest) = oldest.filter(|o| **o < Some(sent)) {
            *oldest = Some(sent);
        }
    }

    /// Records that a cancellation that was sent at `sent` was answered.
    pub(crate) fn record_cancel_answered(&mut self, sent: Instant) {
        self.cancel_answered = self.cancel_answered.max(Some(sent));
    }

    /// Returns whether the leaf answered a cancellation, or several requests, sent after `sent`.
    pub(crate) fn answered_since(&self, sent: Instant) -> bool {
        self.cancel_answered > Some(sent) || self.answered.iter().all(|a| *a > Some(sent))
    }
}
