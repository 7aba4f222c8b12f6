//! State that all queries of a root share.

use std::{
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

use rand::{Rng as _, rngs::SmallRng};
use rattanmast_model::{
    catalog::Snapshot,
    hash::{Map, Set},
    host, leaf,
    outcome::{Outcome, Reason},
    peer::{Peers, Report},
    query::Refusal,
    request,
};
use smol_str::SmolStr;
use tokio::{sync::Notify, time::Instant};

use crate::{
    Settings,
    admission::Admission as _,
    latency::Latencies,
    policy::Policy,
    stats::Counters,
    view::{Catalogs, View},
};

/// Time after which a leaf that is no longer reported as leaving counts as live again.
///
/// A leaf that restarts under its old name is used again after this time.
const LEAVING_TTL: Duration = Duration::from_secs(30);

/// State that the clones of a gatherer share.
#[derive(Debug)]
pub(crate) struct Shared<P, Y> {
    pub(crate) peers: P,
    pub(crate) policy: Y,
    pub(crate) settings: Settings,
    pub(crate) ids: request::Generator,
    pub(crate) counters: Counters,
    pub(crate) latencies: Latencies,
    pub(crate) random: Mutex<SmallRng>,
    pub(crate) view: RwLock<Arc<View>>,
    pub(crate) leaving: Mutex<Map<leaf::Name, Instant>>,
    /// Snapshots whose catalog counts were contradicted by leafs, by collection.
    pub(crate) contradicted: Mutex<Map<SmolStr, Snapshot>>,
    /// Incarnations learned from replies; gossip may lag behind them.
    pub(crate) incarnations: Mutex<Map<host::Name, host::Incarnation>>,
    pub(crate) in_flight: Mutex<InFlight>,
    pub(crate) idle: Notify,
}

/// The number of queries in flight, by rank, and whether new ones are refused.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    pub(crate) by_rank: [usize; 3],
    pub(crate) draining: bool,
}

impl<P: Peers, Y: Policy> Shared<P, Y> {
    /// Returns the current view.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().expect("no holder panics"))
    }

    /// Replaces the view with one of the given configuration, catalogs and leafs.
    pub(crate) fn apply(
        &self,
        config: Arc<rattanmast_model::config::Config>,
        catalogs: Catalogs,
        leafs: Arc<rattanmast_model::catalog::Leafs>,
    ) {
        let hosts: Set<_> = config.hosts.iter().map(|h| h.name.clone()).collect();
        self.policy.admission().retain(&hosts);
        self.latencies.retain(&hosts);
        let leaving = self.leaving();
        let mut view = self.view.write().expect("no holder panics");
        let updated = view.updated(config, catalogs, leafs, &leaving, self.policy.router());
        let mut incarnations = self.incarnations.lock().expect("no holder panics");
        incarnations.retain(|name, _| hosts.contains(name));
        self.contradicted.lock().expect("no holder panics").clear();
        *view = Arc::new(updated);
    }

    /// Records the queues and leaving leafs that the dispatcher on `host` reports.
    pub(crate) fn report(&self, host: &host::Name, report: &Report) {
        self.policy.admission().report(host, report);
        if report.leaving.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut leaving = self.leaving.lock().expect("no holder panics");
        let mut changed = false;
        for leaf in &report.leaving {
            changed |= leaving.insert(leaf.clone(), now).is_none();
        }
        drop(leaving);
        if changed {
            let leaving = self.leaving();
            let mut view = self.view.write().expect("no holder panics");
            *view = Arc::new(view.without_leaving(&leaving));
        }
    }

    /// Returns the leafs that dispatchers report as leaving, in ascending order.
    pub(crate) fn leaving(&self) -> Vec<leaf::Name> {
        let now = Instant::now();
        let mut leaving = self.leaving.lock().expect("no holder panics");
        leaving.retain(|_, reported_at| now.saturating_duration_since(*reported_at) < LEAVING_TTL);
        let mut names: Vec<_> = leaving.keys().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Returns the newest known incarnation of `host`, which a reply must come from.
    pub(crate) fn incarnation(&self, host: &host::Name) -> Option<host::Incarnation> {
        let incarnations = self.incarnations.lock().expect("no holder panics");
        self.peers
            .incarnation(host)
            .max(incarnations.get(host).copied())
    }

    /// Records the incarnation with which `host` replied, unless a newer one is known; returns
    /// whether it is the newest.
    pub(crate) fn record_incarnation(
        &self,
        host: host::Name,
        incarnation: host::Incarnation,
    ) -> bool {
        let is_newest = Some(incarnation) >= self.incarnation(&host);
        if is_newest {
            self.incarnations
                .lock()
                .expect("no holder panics")
                .insert(host, incarnation);
        }
        is_newest
    }

    /// Returns whether no leaf has contradicted the catalog's counts for a snapshot.
    pub(crate) fn is_trusted(&self, collection: &str, snapshot: Snapshot) -> bool {
        let contradicted = self.contradicted.lock().expect("no holder panics");
        contradicted.get(collection) != Some(&snapshot)
    }

    /// Records that leafs contradicted the catalog's counts for a snapshot.
    pub(crate) fn distrust(&self, collection: &SmolStr, snapshot: Snapshot) {
        let mut contradicted = self.contradicted.lock().expect("no holder panics");
        contradicted.insert(collection.clone(), snapshot);
    }

    /// Returns a random duration of at most `max`.
    pub(crate) fn jitter(&self, max: Duration) -> Duration {
        let mut random = self.random.lock().expect("no holder panics");
        max.mul_f64(random.random::<f64>())
    }

    /// Refuses new queries from now on; returns whether no query is in flight.
    pub(crate) fn start_drain(&self) -> bool {
        let mut in_flight = self.in_flight.lock().expect("no holder panics");
        in_flight.draining = true;
        in_flight.by_rank.iter().sum::<usize>() == 0
    }

    /// Counts a query as in flight until the returned guard is dropped.
    pub(crate) fn begin_query(&self, rank_index: usize) -> Result<InFlightGuard<'_>, Refusal> {
        let mut in_flight = self.in_flight.lock().expect("no holder panics");
        if in_flight.draining {
            let remedy = "host is stopping; send the query to another host";
            return Err(not_run(Reason::Stopping, remedy));
        }
        if in_flight.by_rank[rank_index] >= self.settings.max_in_flight[rank_index] {
            self.counters.crowded.add(1);
            let remedy = "host has too many queries of this rank in flight; send it again later";
            return Err(not_run(Reason::Overload, remedy));
        }
        in_flight.by_rank[rank_index] += 1;
        Ok(InFlightGuard {
            in_flight: &self.in_flight,
            idle: &self.idle,
            rank_index,
        })
    }
}

/// Counts one query as in flight while it exists.
pub(crate) struct InFlightGuard<'a> {
    in_flight: &'a Mutex<InFlight>,
    idle: &'a Notify,
    rank_index: usize,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut in_flight = self.in_flight.lock().expect("no holder panics");
        in_flight.by_rank[self.rank_index] -= 1;
        if in_flight.draining && in_flight.by_rank.iter().sum::<usize>() == 0 {
            self.idle.notify_waiters();
        }
    }
}

/// Returns the outcome of a query that no leaf has begun.
pub(crate) fn not_run(reason: Reason, remedy: &str) -> Refusal {
    Outcome::NotRun {
        reason,
        remedy: SmolStr::new(remedy),
    }
}
