//! One service: admission to its leafs, its queue and its connections.

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
    reports::Reports,
    settings::Settings,
    state::{Role, State},
    stats::Counters,
};

/// State shared by all services of a dispatcher.
#[derive(Debug)]
pub(crate) struct Shared<C> {
    pub(crate) connector: C,
    pub(crate) settings: Settings,
    pub(crate) counters: Counters,
    pub(crate) ids: request::Generator,
    pub(crate) serving: AtomicBool,
    pub(crate) processing_times: Mutex<ProcessingTimes>,
    pub(crate) reports: Mutex<Reports>,
}

impl<C> Shared<C> {
    /// Locks what the leafs of all services said of themselves, ignoring poisoning.
    ///
    /// The state of a service is locked before it, never while it is locked.
    pub(crate) fn reports(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

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

    /// Locks the state, ignoring poisoning.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State<C, P>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the processing times of all services, ignoring poisoning.
    pub(crate) fn processing_times(&self) -> MutexGuard<'_, ProcessingTimes> {
        self.shared
            .processing_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what the leaf at position `replica` said in an answer to this host.
    pub(crate) fn record_terms(&self, replica: usize, terms: leaf::Terms) {
        let now = Instant::now();
        let mut state = self.lock();
        let state = &mut *state;
        let replica = &mut state.replicas[replica];
        replica.record_terms(terms, now, &mut state.rng);
        let (leaf, lifetime) = (&replica.leaf.name, replica.leaf.lifetime);
        let reports = &mut self.shared.reports();
        reports.record(leaf, lifetime, terms, now);
    }

    /// Records what a leaf said in an answer to another host.
    pub(crate) fn record_notice(self: &Arc<Self>, notice: &leaf::Notice) {
        let now = Instant::now();
        let mut is_new = false;
        {
            let mut state = self.lock();
            let state = &mut *state;
            let leafs = state.replicas.iter_mut();
            for replica in leafs.filter(|r| r.leaf.name == notice.leaf) {
                is_new |= replica.record_notice(notice, now, &mut state.rng);
            }
        }
        if is_new {
            self.schedule();
        }
    }

    /// Returns what the leaf at position `replica` said of itself, for hosts that pass its answer on.
    pub(crate) fn notice(&self, replica: usize) -> Option<leaf::Notice> {
        self.lock().replicas[replica].notice(Instant::now())
    }

    /// Applies a new role and the listed leafs.
    pub(crate) fn apply(self: &Arc<Self>, role: Role, leafs: &[&leaf::Leaf]) {
        {
            let mut state = self.lock();
            state.role = role;
            state.lanes.set_floors(role.floors);
            state.hedge.set_budget(role.hedges);
            state.update_leafs(leafs, &mut self.shared.reports());
        }
        self.schedule();
    }

    /// Grants leases to queued requests, and opens and closes connections as needed.
    pub(crate) fn schedule(self: &Arc<Self>) {
        let now = Instant::now();
        if !self.is_active() {
            self.retire(now);
            return;
        }
        loop {
            let grant = self.lock().grant_next(now);
            let Some(grant) = grant else { break };
            let lease = Lease::new(self, grant.rank, grant.reservation);
            // If the receiver is gone, the lease is dropped and releases its connection.
            let _gone = grant.grant_tx.send(Ok(lease));
        }
        self.adjust_connections(now);
    }

    /// Returns whether this host may send work to the leafs of the service.
    pub(crate) fn is_active(&self) -> bool {
        self.shared.is_serving() && self.lock().role.position.is_some()
    }

    /// Returns whether the host neither dispatches to the service nor has connections to it.
    pub(crate) fn is_vacant(&self) -> bool {
        let state = self.lock();
        state.role.position.is_none() && state.replicas.iter().all(Replica::is_unused)
    }

    /// Refuses queued requests and closes idle connections.
    fn retire(self: &Arc<Self>, now: Instant) {
        let (queued, idle) = {
            let mut state = self.lock();
            state.retired_at.get_or_insert(now);
            let idle = state.take_surplus(|_| true);
            (state.queue.clear(), idle)
        };
        for entry in queued {
            let _gone = entry.grant_tx.send(Err(Cause::Elsewhere));
        }
        self.close_all(idle);
    }

    fn adjust_connections(self: &Arc<Self>, now: Instant) {
        let (opens, leaving, unreachable) = {
            let mut state = self.lock();
            state.retired_at = None;
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

    /// Returns whether requests in flight must end, because the host stopped dispatching to the
    /// service longer than the retire timeout ago.
    pub(crate) fn has_retire_timeout_passed(&self) -> bool {
        let retired_at = self.lock().retired_at;
        !self.is_active()
            && retired_at.is_some_and(|at| at.elapsed() >= self.shared.settings.retire_timeout)
    }

    /// Runs periodic work: retries after failures, and closing idle connections.
    pub(crate) fn tick(self: &Arc<Self>) {
        self.schedule();
        let (now, idle) = (Instant::now(), self.shared.settings.idle_timeout);
        let mut long_idle = Vec::new();
        {
            let mut state = self.lock();
            for i in 0..state.replicas.len() {
                state.replicas[i].pool.prune(now);
                let keep = state.warm();
                let connection = state.replicas[i].pool.take_idle_for(idle, keep, now);
                if let Some(connection) = connection {
                    state.replicas[i].pool.record_closing();
                    long_idle.push((i, connection));
                }
            }
        }
        self.close_all(long_idle);
    }

    /// Acquires a lease, immediately or after waiting in the queue, and counts a refusal.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        rank: Rank,
        deadline: Instant,
        eligible: u64,
    ) -> Result<Lease<C, P>, Cause> {
        let result = self.acquire_uncounted(rank, deadline, eligible).await;
        let counters = &self.shared.counters;
        match &result {
            Err(Cause::Overload) => counters.refused.add(1),
            Err(Cause::Late) => counters.late.add(1),
            _ => {}
        }
        result
    }

    /// Acquires a lease without counting a refusal.
    pub(crate) async fn acquire_uncounted(
        self: &Arc<Self>,
        rank: Rank,
        deadline: Instant,
        eligible: u64,
    ) -> Result<Lease<C, P>, Cause> {
        let (mut queued, latest) = match self.enqueue(rank, deadline, eligible)? {
            Admission::Granted(lease) => return Ok(lease),
            Admission::Queued(queued, latest) => (queued, latest),
        };
        self.schedule();
        tokio::select! {
            biased;
            granted = &mut queued.granted => granted.unwrap_or(Err(Cause::Unreachable)),
            () = tokio::time::sleep_until(latest) => Err(Cause::Late),
        }
    }

    fn enqueue(
        self: &Arc<Self>,
        rank: Rank,
        deadline: Instant,
        eligible: u64,
    ) -> Result<Admission<C, P>, Cause> {
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
        let (lane, sort_key) = state.lanes.queue_key(rank, now, deadline);
        if state.queue.is_empty() {
            let owed = state.lanes.order().contains(&(lane, true));
            let index = state.choose(lane, owed, eligible, now);
            if let Some(reservation) = index.and_then(|index| state.reserve(rank, index, now)) {
                return Ok(Admission::Granted(Lease::new(self, rank, reservation)));
            }
        }
        let (grant_tx, granted) = oneshot::channel();
        let entry = Entry {
            rank,
            eligible,
            grant_tx,
        };
        let key = state.queue.push(lane, sort_key, entry);
        let queued = QueuedRequest {
            service: Arc::clone(self),
            key,
            granted,
        };
        Ok(Admission::Queued(queued, latest))
    }
}

enum Admission<C: Connector, P: Policy> {
    Granted(Lease<C, P>),
    Queued(QueuedRequest<C, P>, Instant),
}

/// A queued request, which leaves the queue when this value is dropped.
struct QueuedRequest<C: Connector, P: Policy> {
    service: Arc<Service<C, P>>,
    key: Key,
    granted: oneshot::Receiver<Result<Lease<C, P>, Cause>>,
}

impl<C: Connector, P: Policy> Drop for QueuedRequest<C, P> {
    fn drop(&mut self) {
        self.service.lock().queue.remove(self.key);
    }
}
