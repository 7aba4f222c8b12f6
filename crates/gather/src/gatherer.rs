//! The root's part in a query.

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
    pace::Pace,
    policy::{Policy, Standard},
    run::Run,
    shared::Shared,
    stats::Counters,
    view::Catalogs,
};

/// A result of a query.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Answers queries; clones share all state.
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
    /// Returns a root on host `me` that sends its sub-queries through `peers`.
    pub fn new(
        me: host::Name,
        incarnation: host::Incarnation,
        peers: P,
        settings: Settings,
        seed: u64,
    ) -> Self {
        let policy = Standard::new(&settings, mix(seed));
        Self::with(me, incarnation, peers, settings, seed, policy)
    }
}

impl<P: Peers, Y: Policy> Gatherer<P, Y> {
    /// Returns a root with a policy of the caller's choice.
    pub fn with(
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
            ids: request::Sequence::new(&me, incarnation),
            counters: Counters::default(),
            pace: Pace::default(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            view: std::sync::RwLock::default(),
            leaving: Mutex::default(),
            doubted: Mutex::default(),
            runs: Mutex::default(),
            flights: Mutex::default(),
            idle: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Puts a configuration, the catalogs and the list of leafs into use.
    pub fn apply(&self, config: Arc<Config>, catalogs: Catalogs, leafs: Arc<Leafs>) {
        self.shared.apply(config, catalogs, leafs);
    }

    /// Answers `query`; dropping the future cancels its sub-queries.
    ///
    /// # Errors
    ///
    /// Returns what became of a query that has no acceptable answer.
    pub async fn query(&self, query: Query) -> Result<Answer> {
        let counters = &self.shared.counters;
        counters.queries.add(1);
        let result = match self.shared.enter(query.rank.index()) {
            Ok(_ticket) => Run::new(&self.shared, &query).answer().await,
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

    /// Takes in what the dispatcher on `host` says of itself.
    pub fn report(&self, host: &host::Name, report: Report) {
        self.shared.report(host, &report);
    }

    /// Returns the leafs that dispatchers say are leaving, in ascending order.
    pub fn leaving(&self) -> Vec<leaf::Name> {
        self.shared.leaving()
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.shared.counters.read()
    }

    /// Refuses new queries and waits until none is in flight.
    pub async fn drain(&self) {
        loop {
            let idle = self.shared.idle.notified();
            tokio::pin!(idle);
            // Registers before the check, so that no notification is lost between both.
            idle.as_mut().enable();
            if self.shared.drained() {
                return;
            }
            idle.await;
        }
    }
}
