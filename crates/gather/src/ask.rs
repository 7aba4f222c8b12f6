//! Messages to dispatchers.

use rattanmast_model::{
    hash::Map,
    host,
    outcome::Reason,
    peer::{Ask, Peers, Subquery},
};
use tokio::time::Instant;

use crate::{
    attempt::Attempt,
    flight::{Flight, Item},
    matching::Open,
    policy::Policy,
    retry::Budget as _,
    run::Step,
    settings::Settings,
    view::View,
};

impl<P: Peers, Y: Policy> Attempt<'_, '_, P, Y> {
    /// Sends one message to each dispatcher that `items` are routed to.
    pub(crate) fn send(&mut self, items: Vec<Item>) {
        let mut batches: Map<host::Name, Vec<Item>> = Map::default();
        let view = self.run.shared.view();
        for item in items {
            match self.next(&view, &item) {
                Some(host) if !item.charged || self.timely(Some(&host)) => {
                    batches.entry(host).or_default().push(item);
                }
                Some(_) => self.lose(&item, Reason::Late),
                None => self.lose(&item, Reason::Unreachable),
            }
        }
        let mut batches: Vec<_> = batches.into_iter().collect();
        batches.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        let open: usize = batches.iter().map(|(_, items)| items.len()).sum();
        let open = open + self.open.open().map(|o| o.kept.items.len()).sum::<usize>();
        for (host, items) in batches {
            let counters = &self.run.shared.counters;
            if items.iter().any(|item| item.charged) {
                if !self.run.shared.policy.budget().take() {
                    counters.unaffordable.add(1);
                    for item in &items {
                        self.lose(item, Reason::Unreachable);
                    }
                    continue;
                }
                counters.retries.add(1);
            }
            counters.subqueries.add(1);
            self.dispatch(&view, host, items, open);
        }
    }

    /// Sends one message for `items` to `host`.
    fn dispatch(&mut self, view: &View, host: host::Name, items: Vec<Item>, open: usize) {
        let (shared, query) = (self.run.shared, self.run.query);
        let (now, left) = (Instant::now(), self.run.left());
        let Settings {
            hop_margin,
            patience,
            ..
        } = shared.settings;
        // Another region is further away than the margin; half of the time is left to leafs.
        let margin = shared.pace.way(&host).min(left / 2).max(hop_margin);
        let budget = left.saturating_sub(margin);
        let message = Subquery {
            id: shared.ids.next(),
            config: view.config.version,
            collection: query.search.collection.clone(),
            snapshot: self.pin.snapshot,
            asks: items.iter().map(|item| Ask::clone(&item.ask)).collect(),
            text: query.text.clone(),
            rank: query.rank,
            priority: query.search.priority,
            budget_ms: u32::try_from(budget.as_millis()).unwrap_or(u32::MAX),
            open: u32::try_from(open).unwrap_or(u32::MAX),
            trace: query.trace,
        };
        let late = shared.pace.times(&host, query.rank).map(|(_, late)| late);
        let least_wait = left.mul_f64(shared.settings.least_wait);
        let silent = now + late.unwrap_or_default().max(patience).min(left / 2);
        self.check = self.check.min(silent);
        let flight = Flight {
            items,
            sent: now,
            heard: now,
            late: late.map_or(self.run.deadline, |late| now + late.max(least_wait)),
            silent,
            replaced: false,
        };
        let open = Open {
            incarnation: shared.run(&host),
            host: host.clone(),
            kept: flight,
        };
        self.open.insert(message.id, open);
        self.steps.push(Step::Send(host, message));
    }

    /// Returns the dispatcher to ask for `item` next.
    ///
    /// A host that is believed to be unusable is asked if no other is left,
    /// because the belief may be wrong.
    pub(crate) fn next(&self, view: &View, item: &Item) -> Option<host::Name> {
        let route = view.route(&self.run.query.search.collection, item.ask.service)?;
        let untried = || route.hosts.iter().filter(|h| !item.hosts.contains(h));
        let usable = untried().find(|h| self.run.shared.peers.usable(h));
        usable.or_else(|| untried().next()).cloned()
    }
}
