//! The dispatcher of one host.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::{StreamExt as _, stream::FuturesUnordered};
use rattanmast_model::{
    catalog::{self, Leafs},
    config::{Config, Priority},
    dedup,
    hash::{self, Map},
    host,
    leaf::{self, Connector, Searcher},
    outcome::{Outcome, Reason},
    peer::{self, Ask, Cause, Miss, Report, Step, Subquery, Subreply},
    rank::Rank,
    request,
};
use smol_str::SmolStr;
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use crate::{
    Settings, Stats,
    assignment::{self, Assignment},
    hedge::Hedge as _,
    latency::ProcessingTimes,
    orders::{self, not_run, unknown},
    policy::{Adaptive, Baseline, Policy},
    progress::Progress,
    search::{Answer, Search},
    service::{Service, Shared},
    state::Role,
    stats::Counters,
};

/// Interval at which failed leafs are retried and idle connections closed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// The services of one collection, by index.
type Collection<C, P> = Map<u16, Arc<Service<C, P>>>;

struct Inner<C: Connector, P: Policy> {
    me: host::Name,
    incarnation: host::Incarnation,
    seed: u64,
    shared: Arc<Shared<C>>,
    services: RwLock<Arc<Map<SmolStr, Collection<C, P>>>>,
    assignment: Mutex<Assignment>,
    dedup: Mutex<dedup::Filter>,
    tick_started: AtomicBool,
    messages: AtomicUsize,
    idle: Notify,
}

/// Dispatches requests to the leafs of the services that one host is responsible for.
///
/// Its methods need a tokio runtime. Clones are handles to the same dispatcher.
pub struct Dispatcher<C: Connector, P: Policy = Adaptive> {
    inner: Arc<Inner<C, P>>,
}

impl<C: Connector, P: Policy> Clone for Dispatcher<C, P> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

/// Counts a message as in flight until the guard is dropped.
pub(crate) struct MessageGuard<C: Connector, P: Policy>(Arc<Inner<C, P>>);

impl<C: Connector, P: Policy> MessageGuard<C, P> {
    fn new(inner: &Arc<Inner<C, P>>) -> Self {
        inner.messages.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(inner))
    }
}

impl<C: Connector, P: Policy> Drop for MessageGuard<C, P> {
    fn drop(&mut self) {
        if self.0.messages.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}

impl<C: Connector> Dispatcher<C> {
    /// Returns a dispatcher for the given incarnation of host `me`.
    ///
    /// `seed` determines all random choices.
    pub fn new(
        me: host::Name,
        incarnation: host::Incarnation,
        connector: C,
        settings: Settings,
        seed: u64,
    ) -> Self {
        Self::with_policy(me, incarnation, connector, settings, seed)
    }
}

impl<C: Connector> Dispatcher<C, Baseline> {
    /// Returns a dispatcher with the baseline policies, for measurements.
    pub fn baseline(
        me: host::Name,
        incarnation: host::Incarnation,
        connector: C,
        settings: Settings,
        seed: u64,
    ) -> Self {
        Self::with_policy(me, incarnation, connector, settings, seed)
    }
}

impl<C: Connector, P: Policy> Dispatcher<C, P> {
    /// Returns a dispatcher with the policies of `P`.
    pub fn with_policy(
        me: host::Name,
        incarnation: host::Incarnation,
        connector: C,
        settings: Settings,
        seed: u64,
    ) -> Self {
        let shared = Shared {
            connector,
            settings,
            counters: Counters::default(),
            ids: request::Generator::new(&me, incarnation),
            serving: AtomicBool::new(true),
            processing_times: Mutex::new(ProcessingTimes::new()),
            reports: Mutex::default(),
        };
        Self {
            inner: Arc::new(Inner {
                me,
                incarnation,
                seed,
                shared: Arc::new(shared),
                services: RwLock::default(),
                assignment: Mutex::default(),
                dedup: Mutex::new(dedup::Filter::new(incarnation)),
                tick_started: AtomicBool::new(false),
                messages: AtomicUsize::new(0),
                idle: Notify::new(),
            }),
        }
    }

    /// Applies a configuration and a list of leafs.
    pub fn apply(&self, config: Arc<Config>, leafs: Arc<Leafs>) {
        self.inner.apply(&config, &leafs);
        if !self.inner.tick_started.swap(true, Ordering::SeqCst) {
            tokio::spawn(tick(Arc::downgrade(&self.inner)));
        }
    }

    /// Records reports of peers that `leafs` are leaving.
    pub fn record_leaving(&self, leafs: &[leaf::Name]) {
        if leafs.is_empty() {
            return;
        }
        let now = Instant::now();
        self.inner.for_each_service(|service| {
            let mut matched = false;
            for replica in &mut service.lock().replicas {
                if leafs.contains(&replica.leaf.name) {
                    replica.leaving.record_peer_report(now);
                    matched = true;
                }
            }
            if matched {
                service.schedule();
            }
        });
    }

    /// Returns the leafs that reported to this host that they are leaving.
    pub fn self_reported_leaving(&self) -> Vec<leaf::Name> {
        let mut leaving = Vec::new();
        self.inner
            .for_each_service(|service| leaving.extend(self_reported_leaving(service)));
        leaving
    }

    /// Allows or forbids sending new work to leafs.
    ///
    /// While it is forbidden, queued requests are refused and connections are closed.
    pub fn set_serving(&self, allowed: bool) {
        let before = self.inner.shared.serving.swap(allowed, Ordering::SeqCst);
        if before != allowed {
            self.inner.for_each_service(Service::schedule);
        }
    }

    /// Returns the service named `name`, if the host knows it.
    pub(crate) fn service(&self, name: &catalog::Service) -> Option<Arc<Service<C, P>>> {
        self.inner.service(name)
    }

    /// Records what a leaf said of itself, also if it is not listed.
    pub(crate) fn record_report(&self, notice: &leaf::Notice) {
        let reports = &mut self.inner.shared.reports();
        reports.record(&notice.leaf, notice.lifetime, notice.terms, Instant::now());
    }

    /// Counts a message as in flight until the returned guard is dropped.
    pub(crate) fn track_message(&self) -> MessageGuard<C, P> {
        MessageGuard::new(&self.inner)
    }

    /// Returns the safety factor by which expected waits are multiplied before they are compared
    /// with a deadline.
    pub(crate) fn headroom(&self) -> f64 {
        self.inner.shared.settings.headroom
    }

    /// Returns the expected waits and the leaving leafs, as reported to other hosts.
    pub fn report(&self) -> Report {
        let services = self.inner.snapshot();
        report(services.values().flat_map(Map::values))
    }

    /// Returns the counters and the current values of the gauges.
    pub fn stats(&self) -> Stats {
        let mut stats = self.inner.shared.counters.stats();
        let now = Instant::now();
        self.inner.for_each_service(|service| {
            let state = service.lock();
            for replica in &state.replicas {
                stats.open_connections += u64::from(replica.pool.total());
                stats.in_flight += u64::from(replica.in_flight);
            }
            let credit = state.hedge.credit();
            // A fraction does not pay for a hedge; the cast drops it.
            stats.hedge_credit += credit as u64;
            stats.services_without_hedges += u64::from(credit < 1.0);
            let (queued, waits) = (state.queue.lengths(), state.expected_waits(now));
            for rank in Rank::ALL.map(Rank::index) {
                let us = u64::from(micros(waits[rank]));
                stats.queued[rank] += u64::from(queued[rank]);
                stats.waits_us[rank] = stats.waits_us[rank].max(us);
            }
        });
        stats
    }

    /// Waits until no message is in flight.
    pub async fn drain(&self) {
        loop {
            let idle = self.inner.idle.notified();
            tokio::pin!(idle);
            // Registered before the check, so that no notification is missed.
            idle.as_mut().enable();
            if self.inner.messages.load(Ordering::SeqCst) == 0 {
                return;
            }
            idle.await;
        }
    }
}

impl<C: Connector, P: Policy> Dispatcher<C, P>
where
    C::Connection: Searcher,
{
    /// Serves a sub-query.
    ///
    /// Dropping the future cancels the searches at the leafs.
    pub async fn subquery(&self, message: Subquery) -> Subreply {
        let _guard = MessageGuard::new(&self.inner);
        let now = Instant::now();
        let budget = Duration::from_millis(message.budget_ms.into());
        let deadline = now + budget.saturating_sub(self.inner.shared.settings.reply_margin);
        let services = self.inner.services(&message);
        let mut reply = Subreply {
            id: message.id,
            incarnation: self.inner.incarnation,
            snapshot: message.snapshot,
            parts: Vec::new(),
            misses: Vec::new(),
            begun: false,
            sent: 0,
            leaf_us: 0,
            report: Report::default(),
        };
        if self.inner.is_overloaded(&message, &services, deadline, now) {
            let overload = |ask: &Ask| Miss {
                service: ask.service,
                cause: Cause::Overload,
            };
            reply.misses = message.asks.iter().map(overload).collect();
        } else {
            let progress = Progress::default();
            let mut searches: FuturesUnordered<_> = (message.asks.iter().zip(&services))
                .map(|(ask, service)| search(service.as_ref(), &message, ask, deadline, &progress))
                .collect();
            while let Some((service, answer)) = searches.next().await {
                let us = u64::try_from(now.elapsed().as_micros()).unwrap_or(u64::MAX);
                reply.leaf_us = reply.leaf_us.max(us);
                reply.sent += answer.sent;
                reply.begun |= answer.begun;
                reply.parts.extend(answer.parts);
                reply
                    .misses
                    .extend(answer.miss.map(|cause| Miss { service, cause }));
            }
        }
        reply.report = report(services.iter().flatten());
        reply
    }

    /// Sends an order to one leaf of its collection, at most once.
    ///
    /// An order that was sent runs to its end even if the future is dropped.
    pub async fn order(&self, message: peer::Order) -> Outcome {
        let (service, deadline) = match self.inner.admit(&message) {
            Ok(admitted) => admitted,
            Err(outcome) => return outcome,
        };
        let guard = MessageGuard::new(&self.inner);
        let (tx, outcome) = oneshot::channel();
        tokio::spawn(async move {
            let _guard = guard;
            orders::run(service, message, deadline, tx).await;
        });
        outcome.await.unwrap_or_else(|_| unknown())
    }
}

impl<C: Connector, P: Policy> Inner<C, P> {
    fn snapshot(&self) -> Arc<Map<SmolStr, Collection<C, P>>> {
        let services = self.services.read();
        Arc::clone(&services.unwrap_or_else(PoisonError::into_inner))
    }

    fn for_each_service(&self, mut visit: impl FnMut(&Arc<Service<C, P>>)) {
        let services = self.snapshot();
        services.values().flat_map(Map::values).for_each(&mut visit);
    }

    fn apply(&self, config: &Arc<Config>, leafs: &Leafs) {
        let mut assignment = lock(&self.assignment);
        assignment.apply(&self.me, config);
        let mut services = Map::clone(&self.snapshot());
        let mut listed = assignment::by_service(leafs);
        let settings = &self.shared.settings;
        // Services without listed leafs are kept while they have connections that count.
        for service in services.values().flat_map(Map::values) {
            let role = assignment.role(&self.me, &service.name, settings);
            let leafs = listed.remove(&service.name);
            let gone = Role {
                position: None,
                ..service.lock().role
            };
            service.apply(role.unwrap_or(gone), &leafs.unwrap_or_default());
        }
        for (name, leafs) in listed {
            let role = assignment.role(&self.me, name, settings);
            let Some(role) = role.filter(|r| r.position.is_some()) else {
                continue;
            };
            let seed = hash::stable([
                name.collection.as_bytes(),
                &name.index.to_le_bytes(),
                &self.seed.to_le_bytes(),
            ]);
            let service = Service::new(name.clone(), Arc::clone(&self.shared), role, seed);
            let service = Arc::new(service);
            service.apply(role, &leafs);
            let collection = services.entry(name.collection.clone()).or_default();
            collection.insert(name.index, service);
        }
        for collection in services.values_mut() {
            collection.retain(|_, service| !service.is_vacant());
        }
        *self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(services);
    }

    fn service(&self, name: &catalog::Service) -> Option<Arc<Service<C, P>>> {
        let services = self.snapshot();
        let collection = services.get(&name.collection)?;
        collection.get(&name.index).cloned()
    }

    fn services(&self, message: &Subquery) -> Vec<Option<Arc<Service<C, P>>>> {
        let services = self.snapshot();
        let collection = services.get(&message.collection);
        let service = |ask: &Ask| collection.and_then(|c| c.get(&ask.service)).cloned();
        message.asks.iter().map(service).collect()
    }

    /// Returns whether the whole message is refused because a service could not answer in time.
    ///
    /// Where coverage has priority, serving the other parts would be wasted work.
    fn is_overloaded(
        &self,
        message: &Subquery,
        services: &[Option<Arc<Service<C, P>>>],
        deadline: Instant,
        now: Instant,
    ) -> bool {
        let headroom = self.shared.settings.headroom;
        let overloaded = |s: &Arc<Service<C, P>>| {
            s.lock()
                .check_deadline(message.rank, deadline, now, headroom)
                == Err(Cause::Overload)
        };
        message.priority == Priority::Coverage
            && services.len() > 1
            && services.iter().flatten().any(overloaded)
    }

    /// Checks an order and chooses the service that runs it.
    fn admit(&self, message: &peer::Order) -> Result<(Arc<Service<C, P>>, Instant), Outcome> {
        // Recorded before any other check: a duplicate of a message that is refused below must not
        // be accepted later, and a duplicate must not be reported as not run if the original may
        // have run.
        lock(&self.dedup).admit(message)?;
        if message.step != Step::Dispatch {
            let remedy = "the order has to be claimed first; send it to the claimer";
            return Err(not_run(Reason::Invalid, remedy));
        }
        let now = Instant::now();
        if !self.shared.is_serving() {
            let remedy = "the host cannot prove its configuration; try another host";
            return Err(not_run(Reason::Stale, remedy));
        }
        let services = self.snapshot();
        let collection = services.get(&message.collection);
        let candidates = collection.into_iter().flat_map(Map::values);
        let ready = candidates.filter_map(|s| {
            let state = s.lock();
            let position = state.role.position?;
            let usable = state.usable(now) != 0;
            let wait = state.expected_waits(now)[message.rank.index()];
            drop(state);
            Some(((!usable, wait, position, s.name.index), s))
        });
        let Some((_, service)) = ready.min_by_key(|(key, _)| *key) else {
            let remedy = "the host dispatches to no service of the collection; try again";
            return Err(not_run(Reason::Unreachable, remedy));
        };
        let deadline = now + Duration::from_millis(message.budget_ms.into());
        Ok((Arc::clone(service), deadline))
    }
}

async fn search<C: Connector, P: Policy>(
    service: Option<&Arc<Service<C, P>>>,
    message: &Subquery,
    ask: &Ask,
    deadline: Instant,
    progress: &Progress,
) -> (u16, Answer)
where
    C::Connection: Searcher,
{
    let answer = match service {
        Some(service) => {
            Search::new(service, message, ask, deadline, progress)
                .run()
                .await
        }
        None => Answer {
            miss: Some(Cause::Elsewhere),
            ..Answer::default()
        },
    };
    progress.finish();
    (ask.service, answer)
}

fn report<'a, C: Connector, P: Policy>(
    services: impl Iterator<Item = &'a Arc<Service<C, P>>>,
) -> Report {
    let now = Instant::now();
    let mut report = Report::default();
    for service in services {
        let waits = service.lock().expected_waits(now).map(micros);
        report.waits.push((service.name.clone(), waits));
        report.leaving.extend(self_reported_leaving(service));
    }
    report
}

fn self_reported_leaving<C: Connector, P: Policy>(service: &Service<C, P>) -> Vec<leaf::Name> {
    let now = Instant::now();
    let state = service.lock();
    let reporting = state
        .replicas
        .iter()
        .filter(|r| r.leaving.is_self_reported(now));
    reporting.map(|r| r.leaf.name.clone()).collect()
}

async fn tick<C: Connector, P: Policy>(inner: Weak<Inner<C, P>>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        let Some(inner) = inner.upgrade() else { return };
        inner.for_each_service(Service::tick);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}
