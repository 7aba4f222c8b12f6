//! One query from its first sub-query to its answer.

use std::sync::Arc;

use futures::{StreamExt as _, stream::FuturesUnordered};
use rattanmast_model::{
    catalog::Version,
    hash::Map,
    host, leaf,
    outcome::{Outcome, Reason},
    peer::{Ask, Peers, Subquery},
    query::{Answer, Hop, Query},
    range::{Range, Set},
};
use smol_str::SmolStr;
use tokio::time::{Instant, timeout_at};

use crate::{
    cover::Cover,
    gatherer::{Result, Shared, refuse},
    route::Router,
    view::View,
};

/// A query in hand.
pub(crate) struct Run<'a, P, R> {
    shared: &'a Shared<P, R>,
    query: &'a Query,
    view: Arc<View>,
    deadline: Instant,
    hops: Vec<Hop>,
    sent: u32,
    needed: u32,
    begun: bool,
}

impl<'a, P: Peers, R: Router> Run<'a, P, R> {
    /// Returns the run of `query`, whose time starts now.
    pub(crate) fn new(shared: &'a Shared<P, R>, query: &'a Query) -> Self {
        let time = query.timeout.min(query.search.longest_wait());
        Self {
            shared,
            query,
            view: shared.view(),
            deadline: Instant::now() + time,
            hops: Vec::new(),
            sent: 0,
            needed: 0,
            begun: false,
        }
    }

    /// Asks all dispatchers and merges their replies.
    pub(crate) async fn answer(mut self) -> Result<Answer> {
        let Some(version) = self.view.pinned(&self.query.search.collection).cloned() else {
            let remedy = "this host knows no snapshot of the collection; check its catalog";
            return Err(refuse(Reason::Unreachable, remedy));
        };
        let mut cover = Cover::new(self.shared.settings.rows);
        let mut calls = FuturesUnordered::new();
        for (host, asks) in self.batches(&version) {
            let asked = Set::of(asks.iter().flat_map(|a| a.ranges.iter().copied()));
            self.needed += u32::try_from(asks.len()).unwrap_or(u32::MAX);
            let message = self.message(&version, asks);
            let peers = self.shared.peers.clone();
            let time = self.deadline.saturating_duration_since(Instant::now());
            self.shared.counters.subqueries.add(1);
            calls.push(async move {
                let (id, start) = (message.id, Instant::now());
                let reply = peers.subquery(&host, message, time).await;
                (host, id, start, asked, reply)
            });
        }
        while let Ok(Some((host, id, start, asked, reply))) =
            timeout_at(self.deadline, calls.next()).await
        {
            let Ok(reply) = reply else {
                self.begun = true;
                continue;
            };
            if reply.id != id || reply.snapshot != version.snapshot {
                self.begun = true;
                self.shared.counters.unmatched.add(1);
                continue;
            }
            self.begun |= reply.begun;
            self.sent += reply.sent;
            self.hops.push(Hop {
                host: host.clone(),
                total_us: u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX),
                leaf_us: reply.leaf_us,
            });
            for part in reply.parts {
                cover.accept(part, &asked);
            }
            self.shared.report(&host, reply.report);
        }
        self.begun |= !calls.is_empty();
        self.finish(&version, cover)
    }

    /// Groups the parts of `version` by dispatcher.
    fn batches(&self, version: &Version) -> Vec<(host::Name, Vec<Ask>)> {
        let mut batches: Map<host::Name, Vec<Ask>> = Map::default();
        for part in &version.parts {
            let hosts = self.view.hosts(&self.query.search.collection, part.service);
            let usable = hosts.iter().find(|h| self.shared.peers.usable(h));
            let Some(host) = usable.or(hosts.first()) else {
                continue;
            };
            let asks = batches.entry(host.clone()).or_default();
            add(asks, part.service, part.range, &part.leafs);
        }
        let mut batches: Vec<_> = batches.into_iter().collect();
        batches.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        batches
    }

    /// Returns the message for `asks`.
    fn message(&self, version: &Version, asks: Vec<Ask>) -> Subquery {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let budget = left.saturating_sub(self.shared.settings.hop_margin);
        Subquery {
            id: self.shared.ids.next(),
            config: self.view.config.version,
            collection: self.query.search.collection.clone(),
            snapshot: version.snapshot,
            open: u32::try_from(version.parts.len()).unwrap_or(u32::MAX),
            asks,
            text: self.query.text.clone(),
            rank: self.query.rank,
            priority: self.query.search.priority,
            budget_ms: u32::try_from(budget.as_millis()).unwrap_or(u32::MAX),
            trace: self.query.trace,
        }
    }

    /// Returns the answer that `cover` gives, if it is acceptable.
    fn finish(self, version: &Version, cover: Cover) -> Result<Answer> {
        let whole = cover.whole();
        let records = cover.records();
        let total = if whole {
            records
        } else {
            version.records().max(records)
        };
        let coverage = match (whole, total) {
            (true, _) => 1.0,
            (false, 0) => 0.0,
            (false, total) => records as f64 / total as f64,
        };
        if cover.keys().is_empty() || coverage < self.query.search.least_coverage {
            return Err(self.refusal());
        }
        Ok(Answer {
            snapshot: version.snapshot,
            coverage,
            records,
            total,
            missing: cover.missing().ranges().to_vec(),
            rows: cover.into_rows(),
            hops: self.hops,
            sent: self.sent,
            needed: self.needed,
        })
    }

    /// Returns the outcome of a query without an acceptable answer.
    fn refusal(&self) -> Outcome {
        if self.begun {
            let remedy = "too little was searched in time; a query may be sent again safely";
            Outcome::Unknown {
                remedy: SmolStr::new(remedy),
            }
        } else {
            refuse(Reason::Late, "no leaf began in time; allow more time")
        }
    }
}

/// Adds `range` of `service` to `asks`, joined with an ask of the same leafs.
fn add(asks: &mut Vec<Ask>, service: u16, range: Range, leafs: &[leaf::Name]) {
    let same = |a: &&mut Ask| a.service == service && a.leafs == leafs;
    match asks.iter_mut().find(same) {
        Some(ask) => ask.ranges.push(range),
        None => asks.push(Ask {
            service,
            ranges: vec![range],
            leafs: leafs.to_vec(),
        }),
    }
}
