//! What all queries of a root share.

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
    admit::Admission as _,
    pace::Pace,
    policy::Policy,
    stats::Counters,
    view::{Catalogs, View},
};

/// Time after which a leaf is no longer taken for leaving unless it is said again.
///
/// A leaf that restarts under its old name is usable again after it.
const LEAVING_AGE: Duration = Duration::from_secs(30);

/// What the clones of a gatherer share.
#[derive(Debug)]
pub(crate) struct Shared<P, Y> {
    pub(crate) peers: P,
    pub(crate) policy: Y,
    pub(crate) settings: Settings,
    pub(crate) ids: request::Sequence,
    pub(crate) counters: Counters,
    pub(crate) pace: Pace,
    pub(crate) random: Mutex<SmallRng>,
    pub(crate) view: RwLock<Arc<View>>,
    pub(crate) leaving: Mutex<Map<leaf::Name, Instant>>,
    /// Snapshots whose catalog counts were contradicted by leafs, by collection.
    pub(crate) doubted: Mutex<Map<SmolStr, Snapshot>>,
    /// Process runs learned from replies; gossip may lag behind them.
    pub(crate) runs: Mutex<Map<host::Name, host::Incarnation>>,
    pub(crate) flights: Mutex<Flights>,
    pub(crate) idle: Notify,
}

/// The queries in flight.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    pub(crate) count: [usize; 3],
    pub(crate) draining: bool,
}

impl<P: Peers, Y: Policy> Shared<P, Y> {
    /// Returns the view in use.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().expect("no holder panics"))
    }

    /// Puts the next view into use.
    pub(crate) fn apply(
        &self,
        config: Arc<rattanmast_model::config::Config>,
        catalogs: Catalogs,
        leafs: Arc<rattanmast_model::catalog::Leafs>,
    ) {
        let hosts: Set<_> = config.hosts.iter().map(|h| h.name.clone()).collect();
        self.policy.admission().retain(&hosts);
        self.pace.retain(&hosts);
        let leaving = self.leaving();
        let mut view = self.view.write().expect("no holder panics");
        let next = view.next(config, catalogs, leafs, &leaving, self.policy.router());
        let mut runs = self.runs.lock().expect("no holder panics");
        runs.retain(|name, _| hosts.contains(name));
        self.doubted.lock().expect("no holder panics").clear();
        *view = Arc::new(next);
    }

    /// Takes in what the dispatcher on `host` says of itself.
    pub(crate) fn report(&self, host: &host::Name, report: &Report) {
        self.policy.admission().report(host, report);
        if report.leaving.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut leaving = self.leaving.lock().expect("no holder panics");
        let mut news = false;
        for leaf in &report.leaving {
            news |= leaving.insert(leaf.clone(), now).is_none();
        }
        drop(leaving);
        if news {
            let leaving = self.leaving();
            let mut view = self.view.write().expect("no holder panics");
            *view = Arc::new(view.without(&leaving));
        }
    }

    /// Returns the leafs that dispatchers say are leaving, in ascending order.
    pub(crate) fn leaving(&self) -> Vec<leaf::Name> {
        let now = Instant::now();
        let mut leaving = self.leaving.lock().expect("no holder panics");
        leaving.retain(|_, heard| now.saturating_duration_since(*heard) < LEAVING_AGE);
        let mut names: Vec<_> = leaving.keys().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Returns the process run of `host` that a reply must come from, if it is known.
    pub(crate) fn run(&self, host: &host::Name) -> Option<host::Incarnation> {
        let runs = self.runs.lock().expect("no holder panics");
        self.peers.incarnation(host).max(runs.get(host).copied())
    }

    /// Notes that `host` replied as `run`; returns whether that is its newest known run.
    pub(crate) fn learn(&self, host: host::Name, run: host::Incarnation) -> bool {
        let newest = Some(run) >= self.run(&host);
        if newest {
            self.runs
                .lock()
                .expect("no holder panics")
                .insert(host, run);
        }
        newest
    }

    /// Tells whether the catalog's counts for a snapshot were not contradicted so far.
    pub(crate) fn trusted(&self, collection: &str, snapshot: Snapshot) -> bool {
        let doubted = self.doubted.lock().expect("no holder panics");
        doubted.get(collection) != Some(&snapshot)
    }

    /// Notes that leafs contradicted the catalog's counts for a snapshot.
    pub(crate) fn doubt(&self, collection: &SmolStr, snapshot: Snapshot) {
        let mut doubted = self.doubted.lock().expect("no holder panics");
        doubted.insert(collection.clone(), snapshot);
    }

    /// Returns a random time of at most `most`.
    pub(crate) fn jitter(&self, most: Duration) -> Duration {
        let mut random = self.random.lock().expect("no holder panics");
        most.mul_f64(random.random::<f64>())
    }

    /// Refuses new queries from now on; tells whether none is in flight.
    pub(crate) fn drained(&self) -> bool {
        let mut flights = self.flights.lock().expect("no holder panics");
        flights.draining = true;
        flights.count.iter().sum::<usize>() == 0
    }

    /// Counts a query of the rank at `index` as in flight until the result is dropped.
    pub(crate) fn enter(&self, index: usize) -> Result<Ticket<'_>, Refusal> {
        let mut flights = self.flights.lock().expect("no holder panics");
        if flights.draining {
            let remedy = "host is stopping; send the query to another host";
            return Err(refuse(Reason::Stopping, remedy));
        }
        if flights.count[index] >= self.settings.in_flight[index] {
            self.counters.crowded.add(1);
            let remedy = "host has too many queries of this rank in flight; send it again later";
            return Err(refuse(Reason::Overload, remedy));
        }
        flights.count[index] += 1;
        Ok(Ticket {
            flights: &self.flights,
            idle: &self.idle,
            index,
        })
    }
}

/// One query in flight.
pub(crate) struct Ticket<'a> {
    flights: &'a Mutex<Flights>,
    idle: &'a Notify,
    index: usize,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut flights = self.flights.lock().expect("no holder panics");
        flights.count[self.index] -= 1;
        if flights.draining && flights.count.iter().sum::<usize>() == 0 {
            self.idle.notify_waiters();
        }
    }
}

/// Returns the outcome of a query that no leaf began.
pub(crate) fn refuse(reason: Reason, remedy: &str) -> Refusal {
    Outcome::NotRun {
        reason,
        remedy: SmolStr::new(remedy),
    }
}
