//! The entry point for queries.

use std::sync::{Arc, Mutex};

use rand::{SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{
    catalog::Leafs,
    config::Config,
    hash::mix,
    host, leaf,
    outcome::Outcome,
    peer::{Peers, Report},
    query::{Answer, Query, Refusal},
    request,
};
use tokio::sync::Notify;

use crate::{
    Settings, Stats,
    latency::Latencies,
    policy::{Policy, Standard},
    run::QueryRun,
    shared::Shared,
    stats::Counters,
    view::Catalogs,
};

/// The result of a query.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Answers queries as their root; clones share all state.
#[derive(Debug)]
pub struct Gatherer<P: Peers, Y: Policy = Standard> {
    shared: Arc<Shared<P, Y>>,
}

impl<P: Peers, Y: Policy> Clone for Gatherer<P, Y> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<P: Peers> Gatherer<P> {
    /// Creates the root of host `me`, which sends sub-queries through `peers`.
    pub fn new(
        me: host::Name,
        incarnation: host::Incarnation,
        peers: P,
        settings: Settings,
        seed: u64,
    ) -> Self {
        let policy = Standard::new(&settings, mix(seed));
        Self::with_policy(me, incarnation, peers, settings, seed, policy)
    }
}

impl<P: Peers, Y: Policy> Gatherer<P, Y> {
    /// Creates a root with the given `policy`.
    pub fn with_policy(
        me: host::Name,
        incarnation: host::Incarnation,
        peers: P,
        settings: Settings,
        seed: u64,
        policy: Y,
    ) -> Self {
        let shared = Shared {
            peers,
            policy,
            settings,
            ids: request::Generator::new(&me, incarnation),
            counters: Counters::default(),
            latencies: Latencies::default(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            view: std::sync::RwLock::default(),
            leaving: Mutex::default(),
            contradicted: Mutex::default(),
            incarnations: Mutex::default(),
            in_flight: Mutex::default(),
            idle: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the configuration, the catalogs and the list of leafs.
    pub fn apply(&self, config: Arc<Config>, catalogs: Catalogs, leafs: Arc<Leafs>) {
        self.shared.apply(config, catalogs, leafs);
    }

    /// Answers `query`; dropping the future cancels its sub-queries.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a query that has no acceptable answer.
    pub async fn query(&self, query: Query) -> Result<Answer> {
        let counters = &self.shared.counters;
        counters.queries.add(1);
        let result = match self.shared.begin_query(query.rank.index()) {
            Ok(_guard) => QueryRun::new(&self.shared, &query).answer().await,
            Err(refusal) => Err(refusal),
        };
        match &result {
            Ok(answer) if answer.missing.is_empty() => counters.whole.add(1),
            Ok(_) => counters.partial.add(1),
            Err(Outcome::NotRun { .. }) => counters.not_run.add(1),
            Err(_) => counters.unknown.add(1),
        }
        result
    }

    /// Records the queues and leaving leafs that the dispatcher on `host` reports.
    pub fn report(&self, host: &host::Name, report: Report) {
        self.shared.report(host, &report);
    }

    /// Returns the leafs that dispatchers report as leaving, in ascending order.
    pub fn leaving(&self) -> Vec<leaf::Name> {
        self.shared.leaving()
    }

    /// Returns the counters since the start of the process.
    pub fn stats(&self) -> Stats {
        self.shared.counters.read()
    }

    /// Refuses new queries and waits until none is in flight.
    pub async fn drain(&self) {
        loop {
            let idle = self.shared.idle.notified();
            tokio::pin!(idle);
            // Registers before the check, so that no notification between the two is lost.
            idle.as_mut().enable();
            if self.shared.start_drain() {
                return;
            }
            idle.await;
        }
    }
}
