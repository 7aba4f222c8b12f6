//! One service: its queue, its leafs and what limits them.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use rattanmast_model::{
    catalog,
    leaf::{self, Connector},
    peer::Cause,
    rank::Rank,
    request,
};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    hedge::Hedge as _,
    lanes::Lanes as _,
    latency::ProcessingTimes,
    lease::Lease,
    policy::Policy,
    queue::{Entry, Key},
    replica::Replica,
    settings::Settings,
    state::{Role, State},
    stats::Counters,
};

/// What all services of a dispatcher share.
#[derive(Debug)]
pub(crate) struct Shared<C> {
    pub(crate) connector: C,
    pub(crate) settings: Settings,
    pub(crate) counters: Counters,
    pub(crate) ids: request::Sequence,
    pub(crate) serving: AtomicBool,
    /// Times at the leafs of all services.
    pub(crate) processing_times: Mutex<ProcessingTimes>,
}

impl<C> Shared<C> {
    /// Returns whether new work may be sent.
    pub(crate) fn is_serving(&self) -> bool {
        self.serving.load(Ordering::SeqCst)
    }
}

/// A service and the state of its leafs.
pub(crate) struct Service<C: Connector, P: Policy> {
    pub(crate) name: catalog::Service,
    pub(crate) shared: Arc<Shared<C>>,
    state: Mutex<State<C, P>>,
}

impl<C: Connector, P: Policy> Service<C, P> {
    pub(crate) fn new(
        name: catalog::Service,
        shared: Arc<Shared<C>>,
        role: Role,
        seed: u64,
    ) -> Self {
        Self {
            name,
            shared,
            state: Mutex::new(State::new(role, seed)),
        }
    }

    /// Locks the state; a panic elsewhere does not make it unusable.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State<C, P>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of all services; a panic elsewhere does not make it unusable.
    pub(crate) fn processing_times(&self) -> MutexGuard<'_, ProcessingTimes> {
        self.shared
            .processing_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a new role and the listed leafs.
    pub(crate) fn apply(self: &Arc<Self>, role: Role, leafs: &[&leaf::Leaf]) {
        {
            let mut state = self.lock();
            state.role = role;
            state.lanes.set_floors(role.floors);
            state.hedge.set_budget(role.hedges);
            state.update_leafs(leafs);
        }
        self.pump();
    }

    /// Sends waiting requests to free leafs, and opens and closes connections as needed.
    pub(crate) fn pump(self: &Arc<Self>) {
        let now = Instant::now();
        if !self.is_active() {
            self.retire(now);
            return;
        }
        loop {
            let next = self.lock().grant_next(now);
            let Some(next) = next else { break };
            let lease = Lease::new(self, next.rank, next.reservation);
            // A caller that has gone drops the lease, which gives the replica back.
            let _gone = next.grant_tx.send(Ok(lease));
        }
        self.adjust_connections(now);
    }

    /// Returns whether this host may send work to the service's leafs.
    pub(crate) fn is_active(&self) -> bool {
        self.shared.is_serving() && self.lock().role.position.is_some()
    }

    /// Returns whether the host neither dispatches to the service nor has connections to it.
    pub(crate) fn is_vacant(&self) -> bool {
        let state = self.lock();
        state.role.position.is_none() && state.replicas.iter().all(Replica::is_unused)
    }

    /// Refuses what waits and closes what is idle.
    fn retire(self: &Arc<Self>, now: Instant) {
        let (waiting, idle) = {
            let mut state = self.lock();
            state.retired.get_or_insert(now);
            let idle = state.take_surplus(|_| true);
            (state.queue.clear(), idle)
        };
        for entry in waiting {
            let _gone = entry.grant_tx.send(Err(Cause::Elsewhere));
        }
        self.close_all(idle);
    }

    fn adjust_connections(self: &Arc<Self>, now: Instant) {
        let (opens, leaving, unreachable) = {
            let mut state = self.lock();
            state.retired = None;
            let mut opens = Vec::new();
            for i in 0..state.replicas.len() {
                let wanted = state.wanted_connections(i, now);
                while state.replicas[i].pool.reserve(wanted, now) {
                    opens.push(i);
                }
            }
            let leaving = state.take_surplus(|r| !r.listed || r.leaving.is_leaving(now));
            let no_usable = !state.queue.is_empty() && state.usable(now) == 0;
            (opens, leaving, no_usable.then(|| state.queue.clear()))
        };
        for i in opens {
            self.connect(i);
        }
        self.close_all(leaving);
        for entry in unreachable.into_iter().flatten() {
            let _gone = entry.grant_tx.send(Err(Cause::Unreachable));
        }
    }

    /// Returns whether requests in flight have had their time since the host stopped dispatching.
    pub(crate) fn is_overdue(&self) -> bool {
        let retired = self.lock().retired;
        !self.is_active()
            && retired.is_some_and(|at| at.elapsed() >= self.shared.settings.retire_timeout)
    }

    /// Does what time alone brings about: retries after failures, closing unused connections.
    pub(crate) fn tick(self: &Arc<Self>) {
        self.pump();
        let (now, idle) = (Instant::now(), self.shared.settings.idle_timeout);
        let mut unused = Vec::new();
        {
            let mut state = self.lock();
            for i in 0..state.replicas.len() {
                state.replicas[i].pool.prune(now);
                let keep = state.warm();
                let connection = state.replicas[i].pool.take_unused(idle, keep, now);
                if let Some(connection) = connection {
                    state.replicas[i].pool.record_closing();
                    unused.push((i, connection));
                }
            }
        }
        self.close_all(unused);
    }

    /// Gets the right to one request at a leaf, at once or after waiting for it.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        rank: Rank,
        deadline: Instant,
        eligible: u64,
    ) -> Result<Lease<C, P>, Cause> {
        let result = self.wait(rank, deadline, eligible).await;
        let counters = &self.shared.counters;
        match &result {
            Err(Cause::Overload) => counters.refused.add(1),
            Err(Cause::Late) => counters.late.add(1),
            _ => {}
        }
        result
    }

    /// Gets the right to one request at a leaf without counting a refusal.
    pub(crate) async fn wait(
        self: &Arc<Self>,
        rank: Rank,
        deadline: Instant,
        eligible: u64,
    ) -> Result<Lease<C, P>, Cause> {
        let (mut waiting, latest) = match self.enter(rank, deadline, eligible)? {
            Entered::Now(lease) => return Ok(lease),
            Entered::Later(waiting, latest) => (waiting, latest),
        };
        self.pump();
        tokio::select! {
            biased;
            granted = &mut waiting.granted => granted.unwrap_or(Err(Cause::Unreachable)),
            () = tokio::time::sleep_until(latest) => Err(Cause::Late),
        }
    }

    fn enter(
        self: &Arc<Self>,
        rank: Rank,
        deadline: Instant,
        eligible: u64,
    ) -> Result<Entered<C, P>, Cause> {
        let now = Instant::now();
        let mut state = self.lock();
        if state.role.position.is_none() || !self.shared.is_serving() {
            return Err(Cause::Elsewhere);
        }
        if state.usable(now) & eligible == 0 {
            return Err(Cause::Unreachable);
        }
        let headroom = self.shared.settings.headroom;
        let latest = state.check_deadline(rank, deadline, now, headroom)?;
        let (lane, by) = state.lanes.place(rank, now, deadline);
        if state.queue.is_empty() {
            let owed = state.lanes.order().contains(&(lane, true));
            let index = state.choose(lane, owed, eligible, now);
            if let Some(reservation) = index.and_then(|index| state.reserve(rank, index, now)) {
                return Ok(Entered::Now(Lease::new(self, rank, reservation)));
            }
        }
        let (grant_tx, granted) = oneshot::channel();
        let entry = Entry {
            rank,
            eligible,
            grant_tx,
        };
        let key = state.queue.push(lane, by, entry);
        let waiting = Waiting {
            service: Arc::clone(self),
            key,
            granted,
        };
        Ok(Entered::Later(waiting, latest))
    }
}

enum Entered<C: Connector, P: Policy> {
    Now(Lease<C, P>),
    Later(Waiting<C, P>, Instant),
}

/// A waiting request; dropping it removes it from the queue.
struct Waiting<C: Connector, P: Policy> {
    service: Arc<Service<C, P>>,
    key: Key,
    granted: oneshot::Receiver<Result<Lease<C, P>, Cause>>,
}

impl<C: Connector, P: Policy> Drop for Waiting<C, P> {
    fn drop(&mut self) {
        self.service.lock().queue.remove(self.key);
    }
}
