//! The state machine of a query at one snapshot: open requests, accepted parts and retries.

use std::time::Duration;

use rattanmast_model::{
    config::Priority,
    outcome::Reason,
    peer::{self, Peers, Subreply},
    query::{Answer, Hop},
    range::Set,
    request,
};
use tokio::time::Instant;

use crate::{
    claim,
    cover::Cover,
    gatherer::Result,
    matching::{Matcher, Mismatch, OpenRequest},
    pending::{MessageState, PendingAsk},
    pin::Pin,
    policy::Policy,
    recovery::precedence,
    retry::Budget as _,
    run::{End, Event, QueryRun, Step},
};

/// Share of a query's total time to wait for outstanding replies once it cannot succeed, so that
/// callers learn of a refusal early.
const FAILING_QUERY_WAIT_SHARE: f64 = 0.05;

/// One attempt to answer a query, at one snapshot.
///
/// It performs no I/O: it queues [`Step`]s for the driver and receives their results as [`Event`]s.
pub(crate) struct Attempt<'r, 'a, P, Y> {
    pub(crate) run: &'r mut QueryRun<'a, P, Y>,
    /// Steps that the driver has yet to perform.
    pub(crate) steps: Vec<Step>,
    pub(crate) pin: &'r Pin,
    pub(crate) cover: Cover,
    pub(crate) matcher: Matcher<MessageState>,
    /// Keys that will not be requested again.
    pub(crate) given_up: Set,
    pub(crate) reason: Reason,
    /// The number of [`Step::Wait`]s that have not ended.
    pub(crate) pending_waits: usize,
    /// When to check for silent dispatchers next.
    pub(crate) next_silence_check: Instant,
    /// Whether the minimum coverage is reached in a query with [`Priority::Time`].
    has_min_coverage: bool,
    pub(crate) restart: Option<Pin>,
    /// When to refuse a query that cannot succeed, even if replies are outstanding.
    refusal_due: Option<Instant>,
}

impl<'r, 'a, P: Peers, Y: Policy> Attempt<'r, 'a, P, Y> {
    /// Starts an attempt at `pin`; its first steps request all parts.
    pub(crate) fn new(run: &'r mut QueryRun<'a, P, Y>, pin: &'r Pin) -> Self {
        let asks = pin.asks.iter().map(PendingAsk::new).collect();
        let mut attempt = Self {
            steps: Vec::new(),
            cover: Cover::new(run.shared.settings.max_rows),
            matcher: Matcher::new(pin.snapshot),
            given_up: Set::new(),
            reason: Reason::Late,
            pending_waits: 0,
            next_silence_check: run.deadline,
            has_min_coverage: false,
            restart: None,
            refusal_due: None,
            run,
            pin,
        };
        attempt.send(asks);
        attempt
    }

    /// Returns how the attempt ended, or `None` if it continues; `idle` means that no step is in
    /// progress.
    pub(crate) fn end(&mut self, idle: bool) -> Option<End> {
        if let Some(pin) = self.restart.take() {
            return Some(End::Restart(pin));
        }
        let now = Instant::now();
        let done = idle
            || self.cover.is_complete()
            || now >= self.run.deadline
            || (self.has_min_coverage && now >= self.all_overdue_at())
            || self.should_refuse(now);
        done.then_some(End::Done)
    }

    /// Returns whether to refuse the query because it cannot reach its minimum coverage.
    ///
    /// While no leaf is known to have begun, the open dispatchers get a short time to report that
    /// theirs did not begin either, because an overload usually makes them refuse together.
    fn should_refuse(&mut self, now: Instant) -> bool {
        if self.given_up.is_empty() {
            self.refusal_due = None;
            return false;
        }
        let unrecoverable = self.unrecoverable();
        let min_coverage = self.run.query.search.least_coverage;
        if claim::max_reachable_coverage(&self.pin.parts, &unrecoverable) >= min_coverage {
            self.refusal_due = None;
            return false;
        }
        let begun = self.run.begun || !self.cover.keys().is_empty();
        let wait = self.run.total_time.mul_f64(FAILING_QUERY_WAIT_SHARE);
        let until = *self.refusal_due.get_or_insert(now + wait);
        begun || self.matcher.is_empty() || now >= until
    }

    /// Returns whether the query can no longer reach its minimum coverage.
    pub(crate) const fn cannot_succeed(&self) -> bool {
        self.refusal_due.is_some()
    }

    /// Returns the keys that were given up and that no open request may still find.
    fn unrecoverable(&self) -> Set {
        let mut keys = self.given_up.clone();
        let in_flight = self.matcher.open().map(|request| &request.state);
        let asked = in_flight
            .flat_map(|message| message.asks.iter().flat_map(|pending| &pending.ask.ranges));
        asked.for_each(|range| keys.remove(*range));
        keys
    }

    /// Returns when to check the attempt again if no event occurs.
    pub(crate) fn next_check(&self) -> Instant {
        let next = self.run.deadline.min(self.next_silence_check);
        let next = self.refusal_due.map_or(next, |until| until.min(next));
        if self.has_min_coverage {
            next.min(self.all_overdue_at())
        } else {
            next
        }
    }

    /// Updates the attempt with the result of a step.
    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::WaitOver(asks) => {
                self.pending_waits -= 1;
                self.resend(asks);
            }
            Event::Reply(id, Ok(reply)) => self.handle_reply(id, reply),
            Event::Reply(id, Err(error)) => {
                let broken = matches!(error, peer::Error::Broken { .. });
                self.handle_failure(id, broken, false);
            }
        }
    }

    /// Sends retries for dispatchers that have replied to no query for too long.
    ///
    /// A silent dispatcher may still reply, so its request stays open.
    pub(crate) fn check_silence(&mut self) {
        let now = Instant::now();
        if now < self.next_silence_check {
            return;
        }
        self.next_silence_check = self.run.deadline;
        let latencies = &self.run.shared.latencies;
        let mut silent = Vec::new();
        for request in self
            .matcher
            .open_mut()
            .filter(|request| !request.state.replaced)
        {
            let message = &mut request.state;
            if now >= message.silent_at
                && latencies.replied_since(&request.host, message.last_heard)
            {
                message.silent_at = now + (message.silent_at - message.last_heard);
                message.last_heard = now;
            }
            if now >= message.silent_at {
                message.replaced = true;
                silent.extend(
                    message
                        .asks
                        .iter()
                        .map(|pending| pending.skipping(&request.host)),
                );
            } else {
                self.next_silence_check = self.next_silence_check.min(message.silent_at);
            }
        }
        let view = self.run.shared.view();
        silent.retain(|pending| self.next_dispatcher(&view, pending).is_some());
        self.schedule(silent, Duration::ZERO);
    }

    /// Discards the accepted parts before a restart at another snapshot.
    pub(crate) fn discard(self) {
        self.run.begun |= !self.matcher.is_empty() || !self.cover.keys().is_empty();
    }

    /// Returns the answer if it has the minimum coverage, else the refusal.
    pub(crate) fn finish(self) -> Result<Answer> {
        let run = self.run;
        run.begun |= !self.matcher.is_empty() || !self.cover.keys().is_empty();
        let claim = run.claim(&self.cover, self.pin);
        let min_coverage = run.query.search.least_coverage;
        if self.cover.keys().is_empty() || claim.coverage < min_coverage {
            return Err(run.refusal(self.reason));
        }
        Ok(Answer {
            snapshot: self.pin.snapshot,
            coverage: claim.coverage,
            records: claim.records,
            total: claim.total,
            missing: self.cover.missing().ranges().to_vec(),
            rows: self.cover.into_rows(),
            hops: std::mem::take(&mut run.hops),
            sent: run.sent,
            needed: u32::try_from(self.pin.asks.len()).unwrap_or(u32::MAX),
        })
    }

    /// Returns the time after which no open request is likely to be answered soon.
    fn all_overdue_at(&self) -> Instant {
        let overdue = self
            .matcher
            .open()
            .map(|request| request.state.overdue_at)
            .max();
        let waiting = (self.pending_waits > 0).then_some(self.run.deadline);
        overdue.max(waiting).unwrap_or(self.run.deadline)
    }

    /// Handles a reply to the request `id`.
    fn handle_reply(&mut self, id: request::Id, reply: Subreply) {
        let incarnation = reply.incarnation;
        let mut restarted = false;
        match self.matcher.accept(&reply) {
            Ok(request) => self.accept_parts(request, reply),
            Err(mismatch) => {
                self.run.shared.counters.unmatched.add(1);
                if let Mismatch::Incarnation(host) = mismatch {
                    restarted =
                        reply.id == id && self.run.shared.record_incarnation(host, incarnation);
                }
            }
        }
        self.handle_failure(id, true, restarted);
    }

    /// Retries what the request `id` asked for, if it is still open.
    ///
    /// The retry goes to the same dispatcher if that has `restarted`, else to the next one.
    fn handle_failure(&mut self, id: request::Id, broken: bool, restarted: bool) {
        let Some(request) = self.matcher.close(id) else {
            return;
        };
        self.run.begun |= broken;
        if request.state.replaced {
            return;
        }
        let mut retries = Vec::new();
        for mut pending in self.still_missing(request.state.asks) {
            if restarted {
                pending.charged = true;
                retries.push(pending);
            } else {
                self.reroute(pending, &request.host, broken, &mut retries);
            }
        }
        self.schedule(retries, self.jitter());
    }

    /// Accepts the parts in `reply`, and decides what to do about missing ranges.
    fn accept_parts(&mut self, request: OpenRequest<MessageState>, reply: Subreply) {
        let shared = self.run.shared;
        let elapsed = request.state.sent_at.elapsed();
        let round_trip = elapsed.saturating_sub(Duration::from_micros(reply.leaf_us));
        shared
            .latencies
            .record(&request.host, self.run.query.rank, elapsed, round_trip);
        shared.report(&request.host, &reply.report);
        self.run.begun |= reply.begun || !reply.parts.is_empty();
        self.run.sent = self.run.sent.saturating_add(reply.sent);
        self.run.hops.push(Hop {
            host: request.host.clone(),
            total_us: u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX),
            leaf_us: reply.leaf_us,
        });
        let asks = &request.state.asks;
        let asked = Set::of(
            asks.iter()
                .flat_map(|pending| pending.ask.ranges.iter().copied()),
        );
        let (mut rejected, mut full) = (Set::new(), false);
        for part in reply.parts {
            let (range, rows) = (part.range, part.rows.len());
            if self.cover.accept(part, &asked) {
                self.given_up.remove(range);
            } else {
                shared.counters.rejected.add(1);
                full |= !self.cover.fits(rows);
                rejected.insert(range);
            }
        }
        self.has_min_coverage = self.has_min_coverage || self.reaches_min_coverage();
        let missing = self.still_missing(request.state.asks);
        if missing.is_empty() {
            shared.policy.budget().record_success();
        }
        if request.state.replaced {
            return;
        }
        let mut retries = Vec::new();
        for pending in missing {
            let misses = reply
                .misses
                .iter()
                .filter(|m| m.service == pending.ask.service);
            let cause = misses
                .map(|m| &m.cause)
                .max_by_key(|cause| precedence(cause));
            if pending.ask.ranges.iter().any(|r| rejected.overlaps(*r)) {
                self.retry_rejected(pending, full, &mut retries);
            } else {
                self.handle_miss(pending, cause, &request.host, &mut retries);
            }
        }
        self.schedule(retries, self.jitter());
    }

    /// Returns whether time has priority and the minimum coverage is reached.
    fn reaches_min_coverage(&self) -> bool {
        let search = &self.run.query.search;
        let min_coverage = search.least_coverage;
        // Compares the catalog's record counts first: this is cheap, and the claim is never
        // higher.
        search.priority == Priority::Time
            && min_coverage < 1.0
            && self.cover.records() as f64 >= min_coverage * self.pin.records as f64
            && self.run.claim(&self.cover, self.pin).coverage >= min_coverage
    }
}
