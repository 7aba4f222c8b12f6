//! The dispatcher of one host.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rattanmast_model::{
    catalog::{Leafs, Service},
    config::Config,
    hash::{Map, Set},
    host,
    leaf::{self, Connector, Link},
    outcome::{Outcome, Reason},
    peer::{self, Cause, Miss, Report, Subquery, Subreply},
    request, roster,
};
use smol_str::SmolStr;
use tokio::{
    sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot},
    time::Instant,
};

use crate::{Settings, Stats};

/// Locks `mutex`; a panic elsewhere does not make its value unusable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One leaf and the connections to it.
struct Replica<L> {
    leaf: leaf::Leaf,
    gate: Arc<Semaphore>,
    idle: Mutex<Vec<L>>,
    busy: AtomicUsize,
    leaving: AtomicBool,
}

type Replicas<L> = Vec<Arc<Replica<L>>>;

struct Inner<C: Connector> {
    me: host::Name,
    incarnation: host::Incarnation,
    connector: C,
    settings: Settings,
    ids: request::Sequence,
    serving: AtomicBool,
    replicas: RwLock<Map<Service, Replicas<C::Link>>>,
    seen: Mutex<Set<request::Id>>,
    sent: AtomicU64,
    in_hand: AtomicUsize,
    idle: Notify,
}

/// Decides about access to the leafs of the services that one host dispatches for.
pub struct Dispatcher<C: Connector> {
    inner: Arc<Inner<C>>,
}

impl<C: Connector> Clone for Dispatcher<C> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

/// Counts a message that is in hand until it is dropped.
struct Hand<C: Connector>(Arc<Inner<C>>);

impl<C: Connector> Hand<C> {
    fn new(inner: &Arc<Inner<C>>) -> Self {
        inner.in_hand.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(inner))
    }
}

impl<C: Connector> Drop for Hand<C> {
    fn drop(&mut self) {
        if self.0.in_hand.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}

/// The right to one request at a replica.
struct Permit<L> {
    replica: Arc<Replica<L>>,
    _gate: OwnedSemaphorePermit,
}

impl<L> Drop for Permit<L> {
    fn drop(&mut self) {
        self.replica.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

fn not_run(reason: Reason, remedy: &str) -> Outcome {
    Outcome::NotRun {
        reason,
        remedy: SmolStr::new(remedy),
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl<C: Connector> Dispatcher<C> {
    /// Returns the dispatcher of the process run `incarnation` of host `me`.
    pub fn new(
        me: host::Name,
        incarnation: host::Incarnation,
        connector: C,
        settings: Settings,
        _seed: u64,
    ) -> Self {
        let ids = request::Sequence::new(&me, incarnation);
        Self {
            inner: Arc::new(Inner {
                me,
                incarnation,
                connector,
                settings,
                ids,
                serving: AtomicBool::new(true),
                replicas: RwLock::default(),
                seen: Mutex::default(),
                sent: AtomicU64::new(0),
                in_hand: AtomicUsize::new(0),
                idle: Notify::new(),
            }),
        }
    }

    /// Puts a new configuration or list of leafs in force.
    pub fn apply(&self, config: Arc<Config>, leafs: Arc<Leafs>) {
        let mut replicas = self
            .inner
            .replicas
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let mut old: Map<SmolStr, Arc<Replica<C::Link>>> = replicas
            .drain()
            .flat_map(|(_, v)| v)
            .map(|r| (r.leaf.name.clone(), r))
            .collect();
        for leaf in &leafs.leafs {
            let mine = roster::dispatchers(&config.hosts, &leaf.service)
                .iter()
                .any(|h| h.name == self.inner.me);
            let limits = config
                .collection(&leaf.service.collection)
                .map(|c| c.limits)
                .filter(|_| mine && leaf.state == host::State::Live);
            let Some(limits) = limits else { continue };
            let share = roster::share(config.hosts.len(), limits.connections);
            let width = usize::try_from(share.min(limits.slots)).unwrap_or(1);
            let replica = old
                .remove(&leaf.name)
                .filter(|r| r.leaf == *leaf)
                .unwrap_or_else(|| {
                    Arc::new(Replica {
                        leaf: leaf.clone(),
                        gate: Arc::new(Semaphore::new(width)),
                        idle: Mutex::default(),
                        busy: AtomicUsize::new(0),
                        leaving: AtomicBool::new(false),
                    })
                });
            replicas
                .entry(leaf.service.clone())
                .or_default()
                .push(replica);
        }
    }

    /// Serves a sub-query. Dropping the future cancels its work at the leafs.
    pub async fn subquery(&self, message: Subquery) -> Subreply {
        let _hand = Hand::new(&self.inner);
        let start = Instant::now();
        let budget = Duration::from_millis(message.budget_ms.into());
        let deadline = start + budget.saturating_sub(self.inner.settings.margin);
        let asks = message
            .asks
            .iter()
            .map(|ask| self.inner.ask(&message, ask, deadline));
        let results = futures::future::join_all(asks).await;
        let mut reply = Subreply {
            id: message.id,
            incarnation: self.inner.incarnation,
            snapshot: message.snapshot,
            parts: Vec::new(),
            misses: Vec::new(),
            begun: false,
            sent: 0,
            leaf_us: u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX),
            report: Report::default(),
        };
        for (ask, (result, sent, begun)) in message.asks.iter().zip(results) {
            reply.sent += sent;
            reply.begun |= begun;
            match result {
                Ok(parts) => reply.parts.extend(parts),
                Err(cause) => reply.misses.push(Miss {
                    service: ask.service,
                    cause,
                }),
            }
        }
        reply
    }

    /// Sends an order to one leaf of its collection, once.
    pub async fn order(&self, message: peer::Order) -> Outcome {
        let (tx, rx) = oneshot::channel();
        let inner = Arc::clone(&self.inner);
        let hand = Hand::new(&self.inner);
        // The task goes on if the caller gives up: an order that was sent runs to its end.
        tokio::spawn(async move {
            let _hand = hand;
            let outcome = inner.order(message).await;
            // The caller may have gone.
            let _gone = tx.send(outcome);
        });
        rx.await.unwrap_or_else(|_| Outcome::Unknown {
            remedy: SmolStr::new_static("the dispatcher lost the order; look it up by its key"),
        })
    }

    /// Takes peers' word that `leafs` are leaving.
    pub fn leaving(&self, leafs: &[leaf::Name]) {
        self.inner.each(|r| {
            if leafs.contains(&r.leaf.name) {
                r.leaving.store(true, Ordering::Relaxed);
            }
        });
    }

    /// Returns the leafs that this host knows to be leaving.
    pub fn left(&self) -> Vec<leaf::Name> {
        let mut left = Vec::new();
        self.inner.each(|r| {
            if r.leaving.load(Ordering::Relaxed) {
                left.push(r.leaf.name.clone());
            }
        });
        left
    }

    /// Allows or forbids sending new work to leafs.
    pub fn serve(&self, allowed: bool) {
        self.inner.serving.store(allowed, Ordering::SeqCst);
    }

    /// Returns what the host tells others of its queues.
    pub fn report(&self) -> Report {
        Report {
            waits: Vec::new(),
            leaving: self.left(),
        }
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        Stats {
            sent: self.inner.sent.load(Ordering::Relaxed),
            ..Stats::default()
        }
    }

    /// Waits until no message is in hand.
    pub async fn drain(&self) {
        loop {
            let notified = self.inner.idle.notified();
            if self.inner.in_hand.load(Ordering::SeqCst) == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// What became of one ask: parts or cause, requests sent, whether a leaf may have begun.
type Asked = (Result<Vec<leaf::Part>, Cause>, u32, bool);

impl<C: Connector> Inner<C> {
    fn each(&self, mut visit: impl FnMut(&Replica<C::Link>)) {
        let replicas = self.replicas.read().unwrap_or_else(PoisonError::into_inner);
        for replica in replicas.values().flatten() {
            visit(replica);
        }
    }

    async fn permit(&self, service: &Service) -> Result<Permit<C::Link>, Cause> {
        let replica = {
            let replicas = self.replicas.read().unwrap_or_else(PoisonError::into_inner);
            let replicas = replicas.get(service).ok_or(Cause::Elsewhere)?;
            let live = replicas
                .iter()
                .filter(|r| !r.leaving.load(Ordering::Relaxed));
            let replica = live
                .min_by_key(|r| r.busy.load(Ordering::Relaxed))
                .ok_or(Cause::Unreachable)?;
            replica.busy.fetch_add(1, Ordering::Relaxed);
            Arc::clone(replica)
        };
        let gate = Arc::clone(&replica.gate).acquire_owned().await;
        match gate {
            Ok(gate) if self.serving.load(Ordering::SeqCst) => Ok(Permit {
                replica,
                _gate: gate,
            }),
            _ => {
                replica.busy.fetch_sub(1, Ordering::Relaxed);
                Err(Cause::Elsewhere)
            }
        }
    }

    async fn link(&self, replica: &Replica<C::Link>) -> leaf::Result<C::Link> {
        let idle = lock(&replica.idle).pop();
        match idle {
            Some(link) => Ok(link),
            None => self.connector.open(&replica.leaf).await,
        }
    }

    async fn ask(&self, message: &Subquery, ask: &peer::Ask, deadline: Instant) -> Asked {
        let (mut sent, mut begun) = (0, false);
        let work = self.search(message, ask, deadline, &mut sent, &mut begun);
        let result = match tokio::time::timeout_at(deadline, work).await {
            Ok(result) => result,
            Err(_) => Err(Cause::Late),
        };
        (result, sent, begun)
    }

    async fn search(
        &self,
        message: &Subquery,
        ask: &peer::Ask,
        deadline: Instant,
        sent: &mut u32,
        begun: &mut bool,
    ) -> Result<Vec<leaf::Part>, Cause> {
        let service = Service {
            collection: message.collection.clone(),
            index: ask.service,
        };
        let permit = self.permit(&service).await?;
        let replica = &permit.replica;
        let Ok(mut link) = self.link(replica).await else {
            return Err(Cause::Unreachable);
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let search = leaf::Search {
            id: self.ids.next(),
            collection: message.collection.clone(),
            snapshot: message.snapshot,
            ranges: ask.ranges.clone(),
            text: message.text.clone(),
            rank: message.rank,
            budget_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            trace: message.trace,
        };
        self.sent.fetch_add(1, Ordering::Relaxed);
        *sent += 1;
        *begun = true;
        match link.search(&search).await {
            Ok(found) if found.id == search.id && found.snapshot == search.snapshot => {
                if found.load.draining {
                    replica.leaving.store(true, Ordering::Relaxed);
                }
                lock(&replica.idle).push(link);
                Ok(found.parts)
            }
            Ok(_) => Err(Cause::Unreachable),
            Err(error) => {
                *begun = !error.not_begun();
                if error.load().is_some() {
                    lock(&replica.idle).push(link);
                }
                Err(match error {
                    leaf::Error::Gone { holds, .. } => Cause::Gone(holds),
                    leaf::Error::Shed { .. } => Cause::Overload,
                    leaf::Error::Expired { .. } => Cause::Late,
                    _ => Cause::Unreachable,
                })
            }
        }
    }

    async fn order(&self, message: peer::Order) -> Outcome {
        if message.target != self.incarnation || !lock(&self.seen).insert(message.id) {
            return not_run(Reason::Refused, "the message is not for this process run");
        }
        let service = {
            let replicas = self.replicas.read().unwrap_or_else(PoisonError::into_inner);
            let mut services = replicas.keys();
            services
                .find(|s| s.collection == message.collection)
                .cloned()
        };
        let Some(service) = service else {
            return not_run(
                Reason::Unreachable,
                "the host dispatches to no such collection",
            );
        };
        let budget = Duration::from_millis(message.budget_ms.into());
        let permit = tokio::time::timeout(budget, self.permit(&service)).await;
        let Ok(Ok(permit)) = permit else {
            return not_run(Reason::Overload, "no leaf was free in time; try again");
        };
        let Ok(mut link) = self.link(&permit.replica).await else {
            return not_run(Reason::Unreachable, "no leaf is reachable; try again");
        };
        let order = leaf::Order {
            id: self.ids.next(),
            key: message.key,
            collection: message.collection,
            action: message.action,
            record: message.record,
            rank: message.rank,
            not_after_ms: message.not_after_ms,
            trace: message.trace,
        };
        if !self.serving.load(Ordering::SeqCst) || wall_ms() > order.not_after_ms {
            return not_run(Reason::Late, "the claim expired before the send; try again");
        }
        self.sent.fetch_add(1, Ordering::Relaxed);
        match tokio::time::timeout(budget, link.order(&order)).await {
            Ok(Ok(done)) if done.id == order.id => {
                lock(&permit.replica.idle).push(link);
                Outcome::Done {
                    result: done.result,
                }
            }
            Ok(Err(error)) if error.not_begun() => {
                not_run(Reason::Refused, "the leaf did not begin; try again")
            }
            _ => Outcome::Unknown {
                remedy: SmolStr::new_static("the leaf's answer was lost; look it up by its key"),
            },
        }
    }
}
