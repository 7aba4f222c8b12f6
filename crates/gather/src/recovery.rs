//! Retries, relocation and restarts for ranges that were not found.

use std::{sync::Arc, time::Duration};

use rattanmast_model::{
    catalog::Snapshot,
    host,
    outcome::Reason,
    peer::{Cause, Peers},
    range::{Range, Set},
};
use tokio::time::Instant;

use crate::{attempt::Attempt, location, pending::PendingAsk, pin, policy::Policy, run::Step};

/// Limit of retries for moved or rejected data before its ranges are given up.
const MAX_DATA_RETRIES: u32 = 4;

impl<P: Peers, Y: Policy> Attempt<'_, '_, P, Y> {
    /// Decides how to proceed with ranges that a dispatcher did not find because of `cause`.
    pub(crate) fn handle_miss(
        &mut self,
        mut pending: PendingAsk,
        cause: Option<&Cause>,
        host: &host::Name,
        retries: &mut Vec<PendingAsk>,
    ) {
        match cause {
            Some(Cause::Overload) => self.give_up(&pending, Reason::Overload),
            Some(Cause::Late) => self.give_up(&pending, Reason::Late),
            Some(Cause::Elsewhere) => self.reroute(pending, host, false, retries),
            Some(Cause::Unreachable) => self.reroute(pending, host, true, retries),
            // A leaf that has only older snapshots is still loading the pinned one.
            Some(Cause::Gone(holds)) if holds.iter().any(|s| *s > self.pin.snapshot) => {
                self.restart_or_give_up(&pending, holds);
            }
            Some(Cause::Gone(_) | Cause::Moved) | None => {
                pending
                    .tried_locations
                    .push((pending.ask.service, pending.ask.leafs.clone()));
                pending.tried_hosts.clear();
                (pending.needs_relocation, pending.charged) = (true, true);
                retries.push(pending);
            }
        }
    }

    /// Retries at the same service after a part was rejected, unless the root has no space for
    /// more rows (`full`).
    ///
    /// A part that overlaps an accepted one may be right about the rest of its keys, so the same
    /// service is asked for these.
    pub(crate) fn retry_rejected(
        &mut self,
        mut pending: PendingAsk,
        full: bool,
        retries: &mut Vec<PendingAsk>,
    ) {
        pending.data_retries += 1;
        pending.charged = true;
        if full || pending.data_retries > MAX_DATA_RETRIES {
            self.give_up(&pending, Reason::Overload);
        } else {
            retries.push(pending);
        }
    }

    /// Restarts at a newer snapshot if there is one and enough time, else gives up `pending`.
    pub(crate) fn restart_or_give_up(&mut self, pending: &PendingAsk, holds: &[Snapshot]) {
        let view = self.run.shared.view();
        let catalog = view.catalogs.get(&self.run.query.search.collection);
        let newer = catalog
            .filter(|_| !self.run.restarted && self.has_time_to_ask(None))
            .and_then(|c| pin::newer(c, &view.live, self.pin.snapshot, holds));
        match newer {
            Some(pin) => self.restart = Some(pin),
            None => self.give_up(pending, Reason::Unreachable),
        }
    }

    /// Retries `pending`, which `host` did not serve, at the next dispatcher.
    pub(crate) fn reroute(
        &mut self,
        mut pending: PendingAsk,
        host: &host::Name,
        charged: bool,
        retries: &mut Vec<PendingAsk>,
    ) {
        pending.tried_hosts.push(host.clone());
        pending.charged = charged;
        let view = self.run.shared.view();
        if self.next_dispatcher(&view, &pending).is_some() {
            retries.push(pending);
        } else {
            self.give_up(&pending, Reason::Unreachable);
        }
    }

    /// Stops requesting the ranges of `pending`.
    pub(crate) fn give_up(&mut self, pending: &PendingAsk, reason: Reason) {
        for range in &pending.ask.ranges {
            self.given_up.insert(*range);
        }
        // Overload takes precedence, because it is the most useful for a caller that decides when
        // to retry.
        if self.reason != Reason::Overload {
            self.reason = reason;
        }
    }

    /// Sends `asks` again: those charged to the retry budget after `delay`, the others at once.
    pub(crate) fn schedule(&mut self, asks: Vec<PendingAsk>, delay: Duration) {
        if asks.is_empty() || self.cannot_succeed() {
            return;
        }
        let (charged, uncharged): (Vec<_>, Vec<_>) =
            asks.into_iter().partition(|pending| pending.charged);
        if !uncharged.is_empty() {
            self.send(uncharged);
        }
        if !charged.is_empty() {
            self.pending_waits += 1;
            self.steps.push(Step::Wait(Instant::now() + delay, charged));
        }
    }

    /// Sends `asks` again now, as far as time and the retry budget allow.
    pub(crate) fn resend(&mut self, asks: Vec<PendingAsk>) {
        let (to_relocate, mut ready): (Vec<_>, Vec<_>) = self
            .still_missing(asks)
            .into_iter()
            .partition(|pending| pending.needs_relocation);
        for pending in to_relocate {
            self.relocate(pending, &mut ready);
        }
        self.send(ready);
    }

    /// Adds requests for the ranges of `pending` at their new services to `ready`.
    ///
    /// Ranges for which the catalog names no new service are looked up again after a backoff,
    /// because moved data needs some time to arrive.
    pub(crate) fn relocate(&mut self, pending: PendingAsk, ready: &mut Vec<PendingAsk>) {
        let shared = self.run.shared;
        let view = shared.view();
        let Some(catalog) = view.catalogs.get(&self.run.query.search.collection) else {
            return self.give_up(&pending, Reason::Unreachable);
        };
        let missing = Set::of(pending.ask.ranges.iter().copied());
        let (asks, not_found) = location::find_elsewhere(
            catalog,
            self.pin.snapshot,
            missing,
            &pending.tried_locations,
        );
        ready.extend(asks.into_iter().map(|ask| PendingAsk {
            ask: Arc::new(ask),
            needs_relocation: false,
            ..pending.clone()
        }));
        if not_found.is_empty() {
            return;
        }
        let mut pending = pending;
        Arc::make_mut(&mut pending.ask).ranges = not_found.ranges().to_vec();
        pending.data_retries += 1;
        let factor = 1u32 << pending.data_retries.min(MAX_DATA_RETRIES);
        let delay = shared.settings.relocation_backoff * factor / 2;
        let until = Instant::now() + delay + shared.jitter(delay);
        if pending.data_retries > MAX_DATA_RETRIES || until >= self.run.deadline {
            return self.give_up(&pending, Reason::Unreachable);
        }
        // The catalog may have changed by then, so all locations are tried again.
        pending.tried_locations.clear();
        self.pending_waits += 1;
        self.steps.push(Step::Wait(until, vec![pending]));
    }

    /// Returns whether there is enough time for another request to `host`, or to all hosts if
    /// `None`.
    pub(crate) fn has_time_to_ask(&self, host: Option<&host::Name>) -> bool {
        let shared = self.run.shared;
        let mean = |host| Some(shared.latencies.estimate(host, self.run.query.rank)?.0);
        let expected = match host {
            Some(host) => mean(host),
            None => {
                let open = self
                    .matcher
                    .open()
                    .filter_map(|request| mean(&request.host));
                let replied = self.run.hops.iter().filter_map(|hop| mean(&hop.host));
                open.chain(replied).max()
            }
        };
        let expected = expected.unwrap_or(shared.settings.min_retry_time);
        self.run.time_left() > shared.settings.min_hop_margin + expected
    }

    /// Returns `asks`, reduced to the ranges that have not been accepted yet.
    pub(crate) fn still_missing(&self, asks: Vec<PendingAsk>) -> Vec<PendingAsk> {
        let is_found = |range: &Range| self.cover.covers(*range);
        let missing_in = |range: &Range| self.cover.keys().missing(*range).ranges().to_vec();
        let mut asks = asks;
        asks.retain(|pending| !pending.ask.ranges.iter().all(is_found));
        for pending in &mut asks {
            let ranges = pending.ask.ranges.iter().filter(|range| !is_found(range));
            let ranges = ranges.flat_map(missing_in).collect();
            Arc::make_mut(&mut pending.ask).ranges = ranges;
        }
        asks
    }

    /// Returns a random retry delay that is short compared with the time left.
    pub(crate) fn jitter(&self) -> Duration {
        let shared = self.run.shared;
        shared.jitter(
            shared
                .settings
                .max_retry_jitter
                .min(self.run.time_left() / 8),
        )
    }
}

/// Returns the precedence of `cause` among several causes for one service; the highest decides.
pub(crate) const fn precedence(cause: &Cause) -> u8 {
    match cause {
        Cause::Gone(_) => 5,
        Cause::Overload => 4,
        Cause::Moved => 3,
        Cause::Elsewhere => 2,
        Cause::Unreachable => 1,
        Cause::Late => 0,
    }
}
