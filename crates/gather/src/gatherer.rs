//! The root's part in a query.

use std::sync::{Arc, Mutex, RwLock};

use rattanmast_model::{
    catalog::Leafs,
    config::Config,
    hash::Set,
    host, leaf,
    outcome::{Outcome, Reason},
    peer::{Peers, Report},
    query::{Answer, Query, Refusal},
    request,
};
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::{
    Settings, Stats,
    route::{Candidates, Router},
    run::Run,
    stats::Counters,
    view::{Catalogs, View},
};

/// A result of a query.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Answers queries; clones share all state.
#[derive(Debug)]
pub struct Gatherer<P: Peers, R: Router = Candidates> {
    pub(crate) shared: Arc<Shared<P, R>>,
}

/// What the clones of a [`Gatherer`] share.
#[derive(Debug)]
pub(crate) struct Shared<P, R> {
    pub(crate) peers: P,
    pub(crate) router: R,
    pub(crate) settings: Settings,
    pub(crate) ids: request::Sequence,
    pub(crate) counters: Counters,
    view: RwLock<Arc<View>>,
    leaving: Mutex<Set<leaf::Name>>,
    hand: Mutex<Hand>,
    idle: Notify,
}

/// The queries in hand.
#[derive(Debug, Default)]
struct Hand {
    count: [usize; 3],
    draining: bool,
}

impl<P: Peers, R: Router> Clone for Gatherer<P, R> {
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
        let _ = seed;
        let shared = Shared {
            peers,
            router: Candidates,
            settings,
            ids: request::Sequence::new(&me, incarnation),
            counters: Counters::default(),
            view: RwLock::default(),
            leaving: Mutex::default(),
            hand: Mutex::default(),
            idle: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }
}

impl<P: Peers, R: Router> Gatherer<P, R> {
    /// Puts a configuration, the catalogs and the list of leafs into use.
    pub fn apply(&self, config: Arc<Config>, catalogs: Catalogs, leafs: Arc<Leafs>) {
        let view = View::new(
            config,
            catalogs,
            leafs,
            &self.leaving(),
            &self.shared.router,
        );
        *self.shared.view.write().expect("no holder panics") = Arc::new(view);
    }

    /// Answers `query`; dropping the future cancels its sub-queries.
    ///
    /// # Errors
    ///
    /// Returns what became of a query that has no acceptable answer.
    pub async fn query(&self, query: Query) -> Result<Answer> {
        let shared = &self.shared;
        shared.counters.queries.add(1);
        let _ticket = shared.enter(query.rank.index())?;
        Run::new(shared, &query).answer().await
    }

    /// Takes in what the dispatcher on `host` says of itself.
    pub fn report(&self, host: &host::Name, report: Report) {
        self.shared.report(host, report);
    }

    /// Returns the leafs that dispatchers say are leaving, in ascending order.
    pub fn leaving(&self) -> Vec<leaf::Name> {
        let leaving = self.shared.leaving.lock().expect("no holder panics");
        let mut names: Vec<_> = leaving.iter().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.shared.counters.read()
    }

    /// Refuses new queries and waits until none is in hand.
    pub async fn drain(&self) {
        let shared = &self.shared;
        loop {
            let idle = shared.idle.notified();
            tokio::pin!(idle);
            // Registers before the check, so that no notification is lost between both.
            idle.as_mut().enable();
            {
                let mut hand = shared.hand.lock().expect("no holder panics");
                hand.draining = true;
                if hand.count.iter().sum::<usize>() == 0 {
                    return;
                }
            }
            idle.await;
        }
    }
}

impl<P, R> Shared<P, R> {
    /// Returns the view in use.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().expect("no holder panics"))
    }

    /// Takes in what the dispatcher on `host` says of itself.
    pub(crate) fn report(&self, _host: &host::Name, report: Report) {
        let mut leaving = self.leaving.lock().expect("no holder panics");
        leaving.extend(report.leaving);
    }

    /// Counts a query of the rank at `index` as in hand until the result is dropped.
    fn enter(&self, index: usize) -> Result<Ticket<'_, P, R>> {
        let mut hand = self.hand.lock().expect("no holder panics");
        if hand.draining {
            return Err(refuse(
                Reason::Stopping,
                "host is stopping; send it to another host",
            ));
        }
        if hand.count[index] >= self.settings.in_hand[index] {
            self.counters.crowded.add(1);
            let remedy = "host has too many queries of this rank in hand; send it again later";
            return Err(refuse(Reason::Overload, remedy));
        }
        hand.count[index] += 1;
        Ok(Ticket {
            shared: self,
            index,
        })
    }
}

/// One query in hand.
struct Ticket<'a, P, R> {
    shared: &'a Shared<P, R>,
    index: usize,
}

impl<P, R> Drop for Ticket<'_, P, R> {
    fn drop(&mut self) {
        let mut hand = self.shared.hand.lock().expect("no holder panics");
        hand.count[self.index] -= 1;
        if hand.draining && hand.count.iter().sum::<usize>() == 0 {
            self.shared.idle.notify_waiters();
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
