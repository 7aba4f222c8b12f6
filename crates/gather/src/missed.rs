//! What is done about ranges that were not found.

use std::{sync::Arc, time::Duration};

use rattanmast_model::{
    catalog::Snapshot,
    host,
    outcome::Reason,
    peer::{Cause, Peers},
    range::{Range, Set},
};
use tokio::time::Instant;

use crate::{attempt::Attempt, flight::Item, pin, place, policy::Policy, run::Step};

/// How often moved or rejected data is asked for again before its ranges are given up.
const MOVES: u32 = 4;

impl<P: Peers, Y: Policy> Attempt<'_, '_, P, Y> {
    /// Decides about ranges that a dispatcher did not find for `cause`.
    pub(crate) fn missed(
        &mut self,
        mut item: Item,
        cause: Option<&Cause>,
        host: &host::Name,
        retries: &mut Vec<Item>,
    ) {
        match cause {
            Some(Cause::Overload) => self.lose(&item, Reason::Overload),
            Some(Cause::Late) => self.lose(&item, Reason::Late),
            Some(Cause::Elsewhere) => self.reroute(item, host, false, retries),
            Some(Cause::Unreachable) => self.reroute(item, host, true, retries),
            // A leaf that has only older snapshots is still loading the pinned one.
            Some(Cause::Gone(holds)) if holds.iter().any(|s| *s > self.pin.snapshot) => {
                self.gone(&item, holds);
            }
            Some(Cause::Gone(_) | Cause::Moved) | None => {
                item.places.push((item.ask.service, item.ask.leafs.clone()));
                item.hosts.clear();
                (item.moved, item.charged) = (true, true);
                retries.push(item);
            }
        }
    }

    /// Asks again where a part was rejected, unless the root is `full`.
    ///
    /// A part that overlaps an accepted one is right about the rest of its keys,
    /// so the same service is asked for these.
    pub(crate) fn rejected(&mut self, mut item: Item, full: bool, retries: &mut Vec<Item>) {
        item.moves += 1;
        item.charged = true;
        if full || item.moves > MOVES {
            self.lose(&item, Reason::Overload);
        } else {
            retries.push(item);
        }
    }

    /// Restarts at a newer snapshot if there is one and time for it.
    pub(crate) fn gone(&mut self, item: &Item, holds: &[Snapshot]) {
        let view = self.run.shared.view();
        let catalog = view.catalogs.get(&self.run.query.search.collection);
        let newer = catalog
            .filter(|_| !self.run.restarted && self.timely(None))
            .and_then(|c| pin::newer(c, &view.live, self.pin.snapshot, holds));
        match newer {
            Some(pin) => self.restart = Some(pin),
            None => self.lose(item, Reason::Unreachable),
        }
    }

    /// Asks the next dispatcher for `item`, which `host` did not serve.
    pub(crate) fn reroute(
        &mut self,
        mut item: Item,
        host: &host::Name,
        charged: bool,
        retries: &mut Vec<Item>,
    ) {
        item.hosts.push(host.clone());
        item.charged = charged;
        let view = self.run.shared.view();
        if self.next(&view, &item).is_some() {
            retries.push(item);
        } else {
            self.lose(&item, Reason::Unreachable);
        }
    }

    /// Gives up the ranges of `item`.
    pub(crate) fn lose(&mut self, item: &Item, why: Reason) {
        for range in &item.ask.ranges {
            self.lost.insert(*range);
        }
        // A refusal for overload tells the caller most about when to come again.
        if self.why != Reason::Overload {
            self.why = why;
        }
    }

    /// Asks for `items` again after `delay`; moved data needs some time to arrive.
    pub(crate) fn later(&mut self, items: Vec<Item>, delay: Duration) {
        if items.is_empty() || self.cannot_succeed() {
            return;
        }
        let (charged, free): (Vec<_>, Vec<_>) = items.into_iter().partition(|i| i.charged);
        if !free.is_empty() {
            self.send(free);
        }
        if !charged.is_empty() {
            self.waits += 1;
            self.steps.push(Step::Wait(Instant::now() + delay, charged));
        }
    }

    /// Asks for `items` again now, as far as time and the retry budget allow.
    pub(crate) fn again(&mut self, items: Vec<Item>) {
        let (moved, mut asked): (Vec<_>, Vec<_>) =
            self.missing(items).into_iter().partition(|i| i.moved);
        for item in moved {
            self.relocate(item, &mut asked);
        }
        self.send(asked);
    }

    /// Looks for the ranges of `item` where the catalogs say, and waits if they say nothing new.
    pub(crate) fn relocate(&mut self, item: Item, asked: &mut Vec<Item>) {
        let shared = self.run.shared;
        let view = shared.view();
        let Some(catalog) = view.catalogs.get(&self.run.query.search.collection) else {
            return self.lose(&item, Reason::Unreachable);
        };
        let missing = Set::of(item.ask.ranges.iter().copied());
        let (asks, rest) = place::elsewhere(catalog, self.pin.snapshot, missing, &item.places);
        asked.extend(asks.into_iter().map(|ask| Item {
            ask: Arc::new(ask),
            moved: false,
            ..item.clone()
        }));
        if rest.is_empty() {
            return;
        }
        let mut item = item;
        Arc::make_mut(&mut item.ask).ranges = rest.ranges().to_vec();
        item.moves += 1;
        let factor = 1u32 << item.moves.min(MOVES);
        let delay = shared.settings.move_delay * factor / 2;
        let until = Instant::now() + delay + shared.jitter(delay);
        if item.moves > MOVES || until >= self.run.deadline {
            return self.lose(&item, Reason::Unreachable);
        }
        // After the wait, everything is worth a look again.
        item.places.clear();
        self.waits += 1;
        self.steps.push(Step::Wait(until, vec![item]));
    }

    /// Tells whether there is time to ask `host`, or all hosts, again.
    pub(crate) fn timely(&self, host: Option<&host::Name>) -> bool {
        let shared = self.run.shared;
        let mean = |host| Some(shared.pace.times(host, self.run.query.rank)?.0);
        let usual = match host {
            Some(host) => mean(host),
            None => {
                let open = self.open.open().filter_map(|open| mean(&open.host));
                let heard = self.run.hops.iter().filter_map(|hop| mean(&hop.host));
                open.chain(heard).max()
            }
        };
        let usual = usual.unwrap_or(shared.settings.least_time);
        self.run.left() > shared.settings.hop_margin + usual
    }

    /// Returns `items` with only the ranges that are not accepted yet.
    pub(crate) fn missing(&self, items: Vec<Item>) -> Vec<Item> {
        let found = |range: &Range| self.cover.covers(*range);
        let rest = |range: &Range| self.cover.keys().missing(*range).ranges().to_vec();
        let mut items = items;
        items.retain(|item| !item.ask.ranges.iter().all(found));
        for item in &mut items {
            let ranges = item.ask.ranges.iter().filter(|range| !found(range));
            let ranges = ranges.flat_map(rest).collect();
            Arc::make_mut(&mut item.ask).ranges = ranges;
        }
        items
    }

    /// Returns a random delay for a retry, short against the time left.
    pub(crate) fn jitter(&self) -> Duration {
        let shared = self.run.shared;
        shared.jitter(shared.settings.jitter.min(self.run.left() / 8))
    }
}

/// Returns which of several causes for one service decides.
pub(crate) const fn weight(cause: &Cause) -> u8 {
    match cause {
        Cause::Gone(_) => 5,
        Cause::Overload => 4,
        Cause::Moved => 3,
        Cause::Elsewhere => 2,
        Cause::Unreachable => 1,
        Cause::Late => 0,
    }
}
