//! A query at one snapshot: what is open, what is missing, what is asked again.

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
    flight::{Flight, Item},
    gatherer::Result,
    matching::{Matcher, Mismatch, Open},
    missed::weight,
    pin::Pin,
    policy::Policy,
    retry::Budget as _,
    run::{End, Event, Run, Step},
};

/// The share of a query's time that its refusal may take, so that callers hear early.
const GRACE: f64 = 0.05;

/// A query at one snapshot.
pub(crate) struct Attempt<'r, 'a, P, Y> {
    pub(crate) run: &'r mut Run<'a, P, Y>,
    /// What the driver is to do next.
    pub(crate) steps: Vec<Step>,
    pub(crate) pin: &'r Pin,
    pub(crate) cover: Cover,
    pub(crate) open: Matcher<Flight>,
    /// Keys that nobody will be asked for again.
    pub(crate) lost: Set,
    pub(crate) why: Reason,
    /// Waits that have not ended.
    pub(crate) waits: usize,
    /// The next time to look for silent dispatchers.
    pub(crate) check: Instant,
    /// Whether the least acceptable coverage was reached, if time goes first.
    enough: bool,
    pub(crate) restart: Option<Pin>,
    /// When to stop waiting for the last replies of a query that cannot succeed.
    refusal_due: Option<Instant>,
}

impl<'r, 'a, P: Peers, Y: Policy> Attempt<'r, 'a, P, Y> {
    /// Returns the attempt of `run` at `pin`, whose first steps are to ask for everything.
    pub(crate) fn new(run: &'r mut Run<'a, P, Y>, pin: &'r Pin) -> Self {
        let items = pin.asks.iter().map(Item::new).collect();
        let mut attempt = Self {
            steps: Vec::new(),
            cover: Cover::new(run.shared.settings.rows),
            open: Matcher::new(pin.snapshot),
            lost: Set::new(),
            why: Reason::Late,
            waits: 0,
            check: run.deadline,
            enough: false,
            restart: None,
            refusal_due: None,
            run,
            pin,
        };
        attempt.send(items);
        attempt
    }

    /// Returns how the attempt ended, if it did; `idle` if nothing is in flight.
    pub(crate) fn end(&mut self, idle: bool) -> Option<End> {
        if let Some(pin) = self.restart.take() {
            return Some(End::Restart(pin));
        }
        let now = Instant::now();
        let done = idle
            || self.cover.whole()
            || now >= self.run.deadline
            || (self.enough && now >= self.all_late_at())
            || self.refused(now);
        done.then_some(End::Done)
    }

    /// Tells whether the query cannot succeed, and how it ended is known well enough.
    ///
    /// While no leaf is known to have begun, the open dispatchers get a short
    /// time to say that theirs did not begin either. Most refuse together.
    fn refused(&mut self, now: Instant) -> bool {
        if self.lost.is_empty() {
            self.refusal_due = None;
            return false;
        }
        let given_up = self.given_up();
        let least = self.run.query.search.least_coverage;
        if claim::reachable(&self.pin.parts, &given_up) >= least {
            self.refusal_due = None;
            return false;
        }
        let begun = self.run.begun || !self.cover.keys().is_empty();
        let grace = self.run.time.mul_f64(GRACE);
        let until = *self.refusal_due.get_or_insert(now + grace);
        begun || self.open.is_empty() || now >= until
    }

    /// Tells whether the query cannot succeed any more.
    pub(crate) const fn cannot_succeed(&self) -> bool {
        self.refusal_due.is_some()
    }

    /// Returns the keys that were given up and that no open message may still find.
    fn given_up(&self) -> Set {
        let mut lost = self.lost.clone();
        let flights = self.open.open().map(|open| &open.kept);
        let asked = flights.flat_map(|f| f.items.iter().flat_map(|i| &i.ask.ranges));
        asked.for_each(|range| lost.remove(*range));
        lost
    }

    /// Returns when to look again if nothing happens.
    pub(crate) fn next_check(&self) -> Instant {
        let next = self.run.deadline.min(self.check);
        let next = self.refusal_due.map_or(next, |until| until.min(next));
        if self.enough {
            next.min(self.all_late_at())
        } else {
            next
        }
    }

    /// Takes in what the driver did.
    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Again(items) => {
                self.waits -= 1;
                self.again(items);
            }
            Event::Reply(id, Ok(reply)) => self.reply(id, reply),
            Event::Reply(id, Err(error)) => {
                let broken = matches!(error, peer::Error::Broken { .. });
                self.fail(id, broken, false);
            }
        }
    }

    /// Passes over dispatchers that have answered nobody for too long.
    ///
    /// A silent dispatcher may still answer, so its message stays open.
    pub(crate) fn tick(&mut self) {
        let now = Instant::now();
        if now < self.check {
            return;
        }
        self.check = self.run.deadline;
        let pace = &self.run.shared.pace;
        let mut silent = Vec::new();
        for open in self.open.open_mut().filter(|open| !open.kept.replaced) {
            let flight = &mut open.kept;
            if now >= flight.silent && pace.heard_since(&open.host, flight.heard) {
                flight.silent = now + (flight.silent - flight.heard);
                flight.heard = now;
            }
            if now >= flight.silent {
                flight.replaced = true;
                silent.extend(flight.items.iter().map(|item| item.past(&open.host)));
            } else {
                self.check = self.check.min(flight.silent);
            }
        }
        let view = self.run.shared.view();
        silent.retain(|item| self.next(&view, item).is_some());
        self.later(silent, Duration::ZERO);
    }

    /// Drops everything that was found, for another snapshot.
    pub(crate) fn abandon(self) {
        self.run.begun |= !self.open.is_empty() || !self.cover.keys().is_empty();
    }

    /// Returns the answer, if it is acceptable.
    pub(crate) fn finish(self) -> Result<Answer> {
        let run = self.run;
        run.begun |= !self.open.is_empty() || !self.cover.keys().is_empty();
        let claim = run.claim(&self.cover, self.pin);
        let least = run.query.search.least_coverage;
        if self.cover.keys().is_empty() || claim.coverage < least {
            return Err(run.refusal(self.why));
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

    /// Returns when no open message is likely to be answered soon.
    fn all_late_at(&self) -> Instant {
        let late = self.open.open().map(|open| open.kept.late).max();
        let waits = (self.waits > 0).then_some(self.run.deadline);
        late.max(waits).unwrap_or(self.run.deadline)
    }

    /// Takes in a reply to the call that sent `id`.
    fn reply(&mut self, id: request::Id, reply: Subreply) {
        let run = reply.incarnation;
        let mut restarted = false;
        match self.open.take(&reply) {
            Ok(open) => self.found(open, reply),
            Err(mismatch) => {
                self.run.shared.counters.unmatched.add(1);
                if let Mismatch::Incarnation(host) = mismatch {
                    restarted = reply.id == id && self.run.shared.learn(host, run);
                }
            }
        }
        self.fail(id, true, restarted);
    }

    /// Asks again for what the message `id` was for, if it is still open.
    ///
    /// The same dispatcher is asked again if it `restarted`, else the next one.
    fn fail(&mut self, id: request::Id, broken: bool, restarted: bool) {
        let Some(open) = self.open.close(id) else {
            return;
        };
        self.run.begun |= broken;
        if open.kept.replaced {
            return;
        }
        let mut retries = Vec::new();
        for mut item in self.missing(open.kept.items) {
            if restarted {
                item.charged = true;
                retries.push(item);
            } else {
                self.reroute(item, &open.host, broken, &mut retries);
            }
        }
        self.later(retries, self.jitter());
    }

    /// Accepts what `reply` found, and decides about what it did not find.
    fn found(&mut self, open: Open<Flight>, reply: Subreply) {
        let shared = self.run.shared;
        let took = open.kept.sent.elapsed();
        let way = took.saturating_sub(Duration::from_micros(reply.leaf_us));
        shared.pace.note(&open.host, self.run.query.rank, took, way);
        shared.report(&open.host, &reply.report);
        self.run.begun |= reply.begun || !reply.parts.is_empty();
        self.run.sent = self.run.sent.saturating_add(reply.sent);
        self.run.hops.push(Hop {
            host: open.host.clone(),
            total_us: u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
            leaf_us: reply.leaf_us,
        });
        let items = &open.kept.items;
        let asked = Set::of(items.iter().flat_map(|i| i.ask.ranges.iter().copied()));
        let (mut rejected, mut full) = (Set::new(), false);
        for part in reply.parts {
            let (range, rows) = (part.range, part.rows.len());
            if self.cover.accept(part, &asked) {
                self.lost.remove(range);
            } else {
                shared.counters.rejected.add(1);
                full |= !self.cover.fits(rows);
                rejected.insert(range);
            }
        }
        self.enough = self.enough || self.reached();
        let missing = self.missing(open.kept.items);
        if missing.is_empty() {
            shared.policy.budget().success();
        }
        if open.kept.replaced {
            return;
        }
        let mut retries = Vec::new();
        for item in missing {
            let misses = reply
                .misses
                .iter()
                .filter(|m| m.service == item.ask.service);
            let cause = misses.map(|m| &m.cause).max_by_key(|cause| weight(cause));
            if item.ask.ranges.iter().any(|r| rejected.overlaps(*r)) {
                self.rejected(item, full, &mut retries);
            } else {
                self.missed(item, cause, &open.host, &mut retries);
            }
        }
        self.later(retries, self.jitter());
    }

    /// Tells whether time goes first and the least acceptable coverage is reached.
    fn reached(&self) -> bool {
        let search = &self.run.query.search;
        let least = search.least_coverage;
        // The share of the catalog's records is cheap, and the claim is never above it.
        search.priority == Priority::Time
            && least < 1.0
            && self.cover.records() as f64 >= least * self.pin.records as f64
            && self.run.claim(&self.cover, self.pin).coverage >= least
    }
}
