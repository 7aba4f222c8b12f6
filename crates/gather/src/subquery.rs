//! Building and sending sub-queries to dispatchers.

use rattanmast_model::{
    hash::Map,
    host,
    outcome::Reason,
    peer::{Ask, Peers, Subquery},
};
use tokio::time::Instant;

use crate::{
    attempt::Attempt,
    matching::OpenRequest,
    pending::{MessageState, PendingAsk},
    policy::Policy,
    retry::Budget as _,
    run::Step,
    settings::Settings,
    view::View,
};

impl<P: Peers, Y: Policy> Attempt<'_, '_, P, Y> {
    /// Sends `asks`, with one message per dispatcher.
    pub(crate) fn send(&mut self, asks: Vec<PendingAsk>) {
        let mut batches: Map<host::Name, Vec<PendingAsk>> = Map::default();
        let view = self.run.shared.view();
        for pending in asks {
            match self.next_dispatcher(&view, &pending) {
                Some(host) if !pending.charged || self.has_time_to_ask(Some(&host)) => {
                    batches.entry(host).or_default().push(pending);
                }
                Some(_) => self.give_up(&pending, Reason::Late),
                None => self.give_up(&pending, Reason::Unreachable),
            }
        }
        let mut batches: Vec<_> = batches.into_iter().collect();
        batches.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        let open_asks: usize = batches.iter().map(|(_, asks)| asks.len()).sum();
        let open_asks = open_asks
            + self
                .matcher
                .open()
                .map(|request| request.state.asks.len())
                .sum::<usize>();
        for (host, asks) in batches {
            let counters = &self.run.shared.counters;
            if asks.iter().any(|pending| pending.charged) {
                if !self.run.shared.policy.budget().try_spend() {
                    counters.unaffordable.add(1);
                    for pending in &asks {
                        self.give_up(pending, Reason::Unreachable);
                    }
                    continue;
                }
                counters.retries.add(1);
            }
            counters.subqueries.add(1);
            self.send_message(&view, host, asks, open_asks);
        }
    }

    /// Queues one message with `asks` for `host`.
    fn send_message(
        &mut self,
        view: &View,
        host: host::Name,
        asks: Vec<PendingAsk>,
        open_asks: usize,
    ) {
        let (shared, query) = (self.run.shared, self.run.query);
        let (now, time_left) = (Instant::now(), self.run.time_left());
        let Settings {
            min_hop_margin,
            silence_timeout,
            ..
        } = shared.settings;
        // A dispatcher in another region is further away than the minimum margin; half of the
        // time left stays reserved for the leafs.
        let margin = shared
            .latencies
            .round_trip(&host)
            .min(time_left / 2)
            .max(min_hop_margin);
        let budget = time_left.saturating_sub(margin);
        let message = Subquery {
            id: shared.ids.next(),
            config: view.config.version,
            collection: query.search.collection.clone(),
            snapshot: self.pin.snapshot,
            asks: asks
                .iter()
                .map(|pending| Ask::clone(&pending.ask))
                .collect(),
            text: query.text.clone(),
            rank: query.rank,
            priority: query.search.priority,
            budget_ms: u32::try_from(budget.as_millis()).unwrap_or(u32::MAX),
            open: u32::try_from(open_asks).unwrap_or(u32::MAX),
            trace: query.trace,
        };
        let overdue = shared
            .latencies
            .estimate(&host, query.rank)
            .map(|(_, overdue)| overdue);
        let min_wait = time_left.mul_f64(shared.settings.min_wait_share);
        let silent_at = now
            + overdue
                .unwrap_or_default()
                .max(silence_timeout)
                .min(time_left / 2);
        self.next_silence_check = self.next_silence_check.min(silent_at);
        let state = MessageState {
            asks,
            sent_at: now,
            last_heard: now,
            overdue_at: overdue.map_or(self.run.deadline, |overdue| now + overdue.max(min_wait)),
            silent_at,
            replaced: false,
        };
        let request = OpenRequest {
            incarnation: shared.incarnation(&host),
            host: host.clone(),
            state,
        };
        self.matcher.insert(message.id, request);
        self.steps.push(Step::Send(host, message));
    }

    /// Returns the dispatcher to send `pending` to next.
    ///
    /// A host that is believed to be unusable is chosen if no other is left, because the belief
    /// may be wrong.
    pub(crate) fn next_dispatcher(&self, view: &View, pending: &PendingAsk) -> Option<host::Name> {
        let route = view.route(&self.run.query.search.collection, pending.ask.service)?;
        let untried = || {
            route
                .hosts
                .iter()
                .filter(|h| !pending.tried_hosts.contains(h))
        };
        let usable = untried().find(|h| self.run.shared.peers.is_usable(h));
        usable.or_else(|| untried().next()).cloned()
    }
}
