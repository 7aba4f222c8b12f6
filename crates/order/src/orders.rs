//! The claimer's part: accepts orders, claims their keys, and sends them.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rattanmast_model::{
    config::Config,
    dedup,
    hash::mix,
    host,
    outcome::{Outcome, Reason},
    peer::{self, Peers},
    rank::Rank,
    request,
    store::Store,
    trace,
};
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::{Instant, timeout_at};
use tokio_util::task::TaskTracker;

use crate::{
    claim_log::{LogStore, Timestamp},
    key::{self, Identity},
    partition::{ClaimReply, Handle, Partition},
    reader::Reader,
    record::{Holder, MAX_RESULT_BYTES, Record, State},
    refusal,
    registry::{OutcomeReceiver, Registration, Registry},
    send::{self, Permit},
    settings::{Mutation, PARTITION_COUNT, Settings},
    stats::{Counters, Stats},
    ticket::{self, Issuer, Ticket},
};

/// Timeout for asking another host for the outcome of an order.
pub(crate) const OUTCOME_QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// An order submitted by a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Name of the caller.
    pub caller: SmolStr,
    /// Idempotency key or ticket.
    pub key: SmolStr,
    /// Collection of the record.
    pub collection: SmolStr,
    /// Action to run on the record.
    pub action: SmolStr,
    /// Record to run the action on.
    pub record: SmolStr,
    /// Rank of the order.
    pub rank: Rank,
    /// Time for which the caller waits.
    pub timeout: Duration,
    /// Trace context of the request.
    pub trace: Option<trace::Context>,
}

/// Processes the orders of one process, both as a root and as a claimer.
#[derive(Debug)]
pub struct Orders<S, P> {
    pub(crate) inner: Arc<Inner<S, P>>,
}

impl<S, P> Clone for Orders<S, P> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

#[derive(Debug)]
pub(crate) struct Inner<S, P> {
    pub(crate) own_process: Holder,
    pub(crate) peers: P,
    pub(crate) settings: Settings,
    pub(crate) request_ids: request::Generator,
    pub(crate) counters: Arc<Counters>,
    pub(crate) readers: Vec<Arc<tokio::sync::Mutex<Reader<S>>>>,
    config: RwLock<Arc<Config>>,
    registry: Arc<Mutex<Registry>>,
    dedup: Mutex<dedup::Filter>,
    issuer: Mutex<Issuer>,
    partitions: Vec<Handle>,
    serving: AtomicBool,
    stopping: AtomicBool,
    tasks: TaskTracker,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The parsed key of a message.
enum ParsedKey {
    Uuid { time_ms: u64 },
    Ticket,
}

impl<S: Store, P: Peers> Orders<S, P> {
    /// Starts order processing for the process of `host` with `incarnation`.
    ///
    /// `seed` must come from the system's random source, because the secret of tickets and
    /// the nonces of claims derive from it.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn new(
        host: host::Name,
        incarnation: host::Incarnation,
        store: S,
        peers: P,
        settings: Settings,
        seed: u64,
    ) -> Self {
        let counters = Arc::new(Counters::default());
        let own_process = Holder(host.clone(), incarnation);
        let client = |partition| LogStore {
            store: store.clone(),
            partition,
            store_timeout: settings.store_timeout,
            wall: settings.wall.clone(),
            counters: Arc::clone(&counters),
        };
        let retention = settings.idempotency_window + 2 * settings.max_clock_skew;
        let max_orders = settings.max_keys * usize::from(PARTITION_COUNT);
        let registry = Arc::new(Mutex::new(Registry::new(retention, max_orders)));
        let partitions = (0..PARTITION_COUNT).map(|partition| {
            // The incarnation makes nonces differ between processes with equal seeds.
            let seed = mix(seed ^ mix(incarnation.0 ^ mix(partition.into())));
            let (settings, registry) = (settings.clone(), Arc::clone(&registry));
            Partition::start(
                client(partition),
                settings,
                own_process.clone(),
                registry,
                seed,
            )
        });
        let inner = Inner {
            request_ids: request::Generator::new(&host, incarnation),
            partitions: partitions.collect(),
            readers: (0..PARTITION_COUNT)
                .map(|p| Reader::new(client(p)))
                .collect(),
            config: RwLock::default(),
            registry: Arc::clone(&registry),
            dedup: dedup::Filter::new(incarnation).into(),
            issuer: Issuer::new(host, incarnation, seed).into(),
            serving: AtomicBool::new(true),
            stopping: AtomicBool::new(false),
            tasks: TaskTracker::new(),
            own_process,
            peers,
            settings,
            counters,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Puts `config` in force.
    pub fn apply_config(&self, config: Arc<Config>) {
        *self
            .inner
            .config
            .write()
            .unwrap_or_else(PoisonError::into_inner) = config;
    }

    pub(crate) fn config(&self) -> Arc<Config> {
        let config = self.inner.config.read();
        Arc::clone(&config.unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets whether the process has proof that its configuration is in force.
    ///
    /// Without proof, orders are refused as not run.
    pub fn set_serving(&self, serving: bool) {
        self.inner.serving.store(serving, Ordering::Release);
    }

    /// Returns the counters for metrics.
    pub fn stats(&self) -> Stats {
        let (remembered, in_flight) = lock(&self.inner.registry).counts();
        let keys = self
            .inner
            .partitions
            .iter()
            .map(Handle::keys)
            .sum::<usize>()
            + remembered;
        Stats {
            keys: keys as u64,
            in_flight: in_flight as u64,
            ..self.inner.counters.snapshot()
        }
    }

    /// Stops accepting orders, and waits until every order in flight has an outcome.
    ///
    /// Each order ends within its caller's timeout, and the outcomes are recorded in the log
    /// if the platform responds.
    pub async fn drain(&self) {
        self.inner.stopping.store(true, Ordering::Release);
        self.inner.tasks.close();
        self.inner.tasks.wait().await;
        let flushes = self.inner.partitions.iter().map(Handle::flush);
        // Outcomes that cannot be written now do not justify a longer stop: other hosts
        // report these orders as unknown, which is correct.
        let deadline = Instant::now() + 2 * self.inner.settings.store_timeout;
        let _ = timeout_at(deadline, futures::future::join_all(flushes)).await;
    }

    /// Issues a ticket to `caller`, which only this process redeems.
    pub fn issue_ticket(&self, caller: &str) -> SmolStr {
        lock(&self.inner.issuer).issue(caller)
    }

    /// Returns the outcome of the order with `key` as this process knows it, for other hosts.
    ///
    /// The outcome is never `NotRun`, because an attempt that is still in flight may run later.
    pub fn local_outcome(&self, caller: &str, key: &str) -> Option<Outcome> {
        let id = Identity::new(caller, key);
        let known = lock(&self.inner.registry).outcome(id);
        if ticket::is_ticket(key) {
            // The querying host may not know yet that the issuer is gone.
            let origin = Ticket::parse(key)?;
            let is_own = Holder(origin.host, origin.incarnation) == self.inner.own_process;
            return if is_own {
                known
            } else {
                Some(refusal::ticket_issuer_gone())
            };
        }
        let logged = self.inner.partitions[usize::from(id.partition())].lookup(id);
        match (known, logged.map(|(state, _)| state)) {
            (Some(Outcome::Done { result }), _) => Some(Outcome::Done { result }),
            (_, Some(state @ State::Done(_))) => Some(recorded_outcome(state)),
            (known, logged) => known.or_else(|| logged.map(recorded_outcome)),
        }
    }

    /// Returns a refusal if the process must not send orders now.
    fn check_ready(&self) -> Result<(), Outcome> {
        match self.inner.serving.load(Ordering::Acquire) {
            true => Ok(()),
            false => Err(refusal::stale_config()),
        }
    }

    pub(crate) fn check_accepting(&self) -> Result<(), Outcome> {
        match self.inner.stopping.load(Ordering::Acquire) {
            true => Err(refusal::stopping()),
            false => self.check_ready(),
        }
    }

    /// Processes an order that a root forwarded: claims its key or redeems its ticket, and
    /// sends it.
    ///
    /// A duplicate of a message is not processed again.
    pub async fn accept(&self, message: peer::Order) -> Outcome {
        // Admitted before any other check: a message that is refused below must not be
        // accepted when a copy of it arrives later.
        if let Err(refusal) = lock(&self.inner.dedup).admit(&message) {
            return refusal;
        }
        self.process(message).await
    }

    /// Processes an order from this process's root or from another host.
    pub(crate) async fn process(&self, message: peer::Order) -> Outcome {
        // Keeps `drain` waiting between the check below and the spawn of the task.
        let _token = self.inner.tasks.token();
        let parsed = match self.check_accepting().and_then(|()| self.parse(&message)) {
            Ok(parsed) => parsed,
            Err(refusal) => return refusal,
        };
        let budget = Duration::from_millis(message.budget_ms.into());
        let deadline = Instant::now() + budget;
        let id = Identity::new(&message.caller, &message.key);
        let digest = key::digest(&message.collection, &message.action, &message.record);
        let registration = lock(&self.inner.registry).register(id, digest);
        let outcome = match registration {
            Registration::Joined(receiver) => {
                refusal::as_duplicate(self.await_outcome(receiver, deadline).await)
            }
            Registration::Finished(outcome) => refusal::as_duplicate(outcome),
            Registration::KeyReused => refusal::key_reused(),
            Registration::Full => refusal::too_many_keys(),
            Registration::Started(sender, receiver) => {
                let orders = self.clone();
                // A separate task, so that the order gets its outcome even if the caller
                // disconnects.
                self.inner.tasks.spawn(async move {
                    let outcome = orders.execute(id, parsed, message, deadline).await;
                    lock(&orders.inner.registry).finish(id);
                    let _ = sender.send(Some(outcome));
                });
                self.await_outcome(receiver, deadline).await
            }
        };
        self.inner.counters.count_outcome(&outcome);
        outcome
    }

    /// Waits for the outcome of an order in flight.
    async fn await_outcome(&self, mut receiver: OutcomeReceiver, deadline: Instant) -> Outcome {
        // The order itself ends by the deadline; the margin lets it report its outcome.
        let report_deadline = deadline + Duration::from_millis(5);
        let outcome = timeout_at(report_deadline, receiver.wait_for(Option::is_some)).await;
        let outcome = outcome.ok().and_then(Result::ok);
        outcome
            .and_then(|outcome| outcome.clone())
            .unwrap_or_else(refusal::in_progress)
    }

    fn parse(&self, message: &peer::Order) -> Result<ParsedKey, Outcome> {
        if ticket::is_ticket(&message.key) {
            let origin = Ticket::parse(&message.key);
            let window = self.inner.settings.idempotency_window;
            return match origin {
                Some(Ticket {
                    host, incarnation, ..
                }) if Holder(host.clone(), incarnation) != self.inner.own_process => {
                    Err(refusal::holder_gone())
                }
                _ if lock(&self.inner.issuer).is_genuine(&message.caller, &message.key, window) => {
                    Ok(ParsedKey::Ticket)
                }
                _ => Err(refusal::invalid_ticket()),
            };
        }
        let settings = &self.inner.settings;
        let check_time = |time_ms| {
            key::check(
                time_ms,
                settings.wall.now_ms(),
                settings.idempotency_window,
                settings.max_clock_skew,
            )?;
            Ok(ParsedKey::Uuid { time_ms })
        };
        key::parse(&message.key)
            .and_then(check_time)
            .map_err(|error: key::Error| refusal::not_run(Reason::Key, &error.to_smolstr()))
    }

    /// Claims and sends an order that is registered as in flight.
    async fn execute(
        &self,
        id: Identity,
        parsed: ParsedKey,
        message: peer::Order,
        deadline: Instant,
    ) -> Outcome {
        let (logged_claim, claim) = match parsed {
            ParsedKey::Ticket => {
                let claimed_at = Timestamp::now(&self.inner.settings.wall);
                (None, Ok((0, claimed_at)))
            }
            ParsedKey::Uuid { time_ms } => {
                let digest = key::digest(&message.collection, &message.action, &message.record);
                let claim = self.claim(id, time_ms, digest, &message);
                let claim = timeout_at(deadline, claim).await;
                (
                    Some((time_ms, digest)),
                    claim.unwrap_or_else(|_| Err(refusal::late())),
                )
            }
        };
        let (nonce, claimed_at) = match claim {
            Ok(claim) => claim,
            Err(outcome) => return outcome,
        };
        lock(&self.inner.registry).mark_sending(id, nonce);
        let outcome = send::send(
            &self.inner.peers,
            &self.config(),
            &message,
            Permit {
                claimed_at,
                deadline,
            },
            &self.inner.settings,
            || self.inner.request_ids.next(),
            || self.check_ready(),
        )
        .await;
        lock(&self.inner.registry).record_outcome(id, &outcome);
        if let Some((time_ms, digest)) = logged_claim {
            self.record_outcome(id, time_ms, digest, nonce, &outcome)
                .await;
        }
        outcome
    }

    /// Claims a key in the log.
    ///
    /// The error is the outcome of an order that must not be sent.
    async fn claim(
        &self,
        id: Identity,
        time_ms: u64,
        digest: u64,
        message: &peer::Order,
    ) -> Result<(u64, Timestamp), Outcome> {
        if self.inner.settings.mutation == Mutation::Claim {
            return Ok((0, Timestamp::now(&self.inner.settings.wall)));
        }
        let partition = &self.inner.partitions[usize::from(id.partition())];
        let mut unsent_claim = None;
        loop {
            return match partition.claim(id, time_ms, digest, unsent_claim).await {
                ClaimReply::Claimed { nonce, claimed_at } => {
                    Counters::increment(&self.inner.counters.claimed);
                    Ok((nonce, claimed_at))
                }
                ClaimReply::Held { holder, nonce } if holder == self.inner.own_process => {
                    if unsent_claim != Some(nonce)
                        && lock(&self.inner.registry).did_not_run(id, nonce)
                    {
                        unsent_claim = Some(nonce);
                        continue;
                    }
                    Err(refusal::holder_gone())
                }
                ClaimReply::Held { holder, .. } => Err(self.query_holder(&holder, message).await),
                ClaimReply::Recorded(state) => Err(refusal::as_duplicate(recorded_outcome(state))),
                ClaimReply::KeyReused => Err(refusal::key_reused()),
                ClaimReply::Expired(error) => {
                    Err(refusal::not_run(Reason::Key, &error.to_smolstr()))
                }
                ClaimReply::Full => Err(refusal::too_many_keys()),
                ClaimReply::StoreUnavailable => Err(refusal::store_unavailable()),
            };
        }
    }

    /// Asks the holder of a claim for the outcome of the order.
    async fn query_holder(&self, holder: &Holder, message: &peer::Order) -> Outcome {
        let Holder(host, incarnation) = holder;
        if self.inner.peers.incarnation(host) != Some(*incarnation) {
            return refusal::holder_gone();
        }
        let (caller, key) = (&message.caller, &message.key);
        let query = self.inner.peers.outcome(host, caller, key);
        match tokio::time::timeout(OUTCOME_QUERY_TIMEOUT, query).await {
            // The answer may come from a later incarnation of the host. It proves that an
            // order ran, but not that an order did not run.
            Ok(Ok(Some(outcome @ (Outcome::Done { .. } | Outcome::AlreadyDone { .. })))) => {
                refusal::as_duplicate(outcome)
            }
            _ => refusal::in_progress(),
        }
    }

    /// Queues the outcome of a claim for a later batch.
    async fn record_outcome(
        &self,
        id: Identity,
        time_ms: u64,
        digest: u64,
        nonce: u64,
        outcome: &Outcome,
    ) {
        let state = match outcome {
            Outcome::Done { result } => {
                State::Done((result.len() <= MAX_RESULT_BYTES).then(|| result.clone()))
            }
            Outcome::AlreadyDone { result } => State::Done(result.clone()),
            Outcome::NotRun { .. } => State::NotRun,
            Outcome::Unknown { .. } => State::Unknown,
        };
        let record = Record {
            id: id.0,
            time_ms,
            digest,
            attempt: 0,
            nonce,
            holder_index: 0,
            state,
        };
        let partition = &self.inner.partitions[usize::from(id.partition())];
        partition.record_outcome(record).await;
    }
}

/// Converts a state from the log into an outcome.
pub(crate) fn recorded_outcome(state: State) -> Outcome {
    match state {
        State::Done(Some(result)) => Outcome::Done { result },
        State::Done(None) => Outcome::AlreadyDone { result: None },
        State::Unknown | State::Open => refusal::holder_gone(),
        State::NotRun => refusal::not_run_so_far(),
    }
}
