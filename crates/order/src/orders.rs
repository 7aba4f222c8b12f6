//! Orders of one process.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rattanmast_model::{
    config::Config,
    hash::mix,
    host,
    inbox::Inbox,
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
    key::{self, Identity},
    ledger::{Ending, Entered, Ledger},
    log::{Access, Moment},
    partition::{Answer, Handle, Partition},
    reader::Reader,
    record::{Holder, RESULT_LIMIT, Record, State},
    refusal,
    send::{self, Right},
    settings::{Mutation, PARTITIONS, Settings},
    stats::{Counters, Stats},
    ticket::{self, Issuer, Ticket},
};

/// The longest wait for the holder of a claim to tell what became of it.
pub(crate) const ASK: Duration = Duration::from_millis(500);

/// An order as a caller sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct Submit {
    /// The caller's name.
    pub caller: SmolStr,
    /// The idempotency key or ticket.
    pub key: SmolStr,
    /// The collection that the order is for.
    pub collection: SmolStr,
    /// What to do.
    pub action: SmolStr,
    /// The record to do it to.
    pub record: SmolStr,
    /// The rank of the order.
    pub rank: Rank,
    /// How long the caller waits.
    pub timeout: Duration,
    /// The position in the trace.
    pub trace: Option<trace::Context>,
}

/// Orders of one process run: takes them at the root, and claims and sends them.
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
    pub(crate) me: Holder,
    pub(crate) peers: P,
    pub(crate) settings: Settings,
    pub(crate) sequence: request::Sequence,
    pub(crate) counters: Arc<Counters>,
    pub(crate) readers: Vec<Arc<tokio::sync::Mutex<Reader<S>>>>,
    config: RwLock<Arc<Config>>,
    ledger: Arc<Mutex<Ledger>>,
    inbox: Mutex<Inbox>,
    issuer: Mutex<Issuer>,
    partitions: Vec<Handle>,
    allowed: AtomicBool,
    stopping: AtomicBool,
    tasks: TaskTracker,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a message's key says.
enum Parsed {
    Uuid { ms: u64 },
    Ticket,
}

impl<S: Store, P: Peers> Orders<S, P> {
    /// Returns the orders of the process run `incarnation` of host `me`.
    ///
    /// `seed` must come from the system's random source: tickets and claims are
    /// told apart by numbers made from it.
    ///
    /// # Panics
    ///
    /// Outside a tokio runtime.
    pub fn new(
        me: host::Name,
        incarnation: host::Incarnation,
        store: S,
        peers: P,
        settings: Settings,
        seed: u64,
    ) -> Self {
        let counters = Arc::new(Counters::default());
        let holder = Holder(me.clone(), incarnation);
        let access = |partition| Access {
            store: store.clone(),
            partition,
            call: settings.call,
            wall: settings.wall.clone(),
            counters: Arc::clone(&counters),
        };
        let keep = settings.window + 2 * settings.ahead;
        let limit = settings.keys * usize::from(PARTITIONS);
        let ledger = Arc::new(Mutex::new(Ledger::new(keep, limit)));
        let partitions = (0..PARTITIONS).map(|partition| {
            // The incarnation keeps nonces of process runs with equal seeds apart.
            let seed = mix(seed ^ mix(incarnation.0 ^ mix(partition.into())));
            let (settings, ledger) = (settings.clone(), Arc::clone(&ledger));
            Partition::start(access(partition), settings, holder.clone(), ledger, seed)
        });
        let inner = Inner {
            sequence: request::Sequence::new(&me, incarnation),
            partitions: partitions.collect(),
            readers: (0..PARTITIONS).map(|p| Reader::new(access(p))).collect(),
            config: RwLock::default(),
            ledger: Arc::clone(&ledger),
            inbox: Inbox::new(incarnation).into(),
            issuer: Issuer::new(me, incarnation, seed).into(),
            allowed: AtomicBool::new(true),
            stopping: AtomicBool::new(false),
            tasks: TaskTracker::new(),
            me: holder,
            peers,
            settings,
            counters,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Puts `config` in force.
    pub fn apply(&self, config: Arc<Config>) {
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
    /// Without it, orders are refused as not run.
    pub fn serve(&self, allowed: bool) {
        self.inner.allowed.store(allowed, Ordering::Release);
    }

    /// Returns counts for metrics.
    pub fn stats(&self) -> Stats {
        let (remembered, in_flight) = lock(&self.inner.ledger).sizes();
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
            ..self.inner.counters.read()
        }
    }

    /// Takes no new orders and waits until every order in flight has its outcome.
    ///
    /// Each order ends within its caller's time, and the outcomes are recorded in
    /// the log if the platform answers.
    pub async fn drain(&self) {
        self.inner.stopping.store(true, Ordering::Release);
        self.inner.tasks.close();
        self.inner.tasks.wait().await;
        let flushes = self.inner.partitions.iter().map(Handle::flush);
        // Outcomes that cannot be written now are not worth a longer stop: the
        // orders stay unknown to others, which is true.
        let wait = Instant::now() + 2 * self.inner.settings.call;
        let _ = timeout_at(wait, futures::future::join_all(flushes)).await;
    }

    /// Returns a new ticket for `caller`, which this process run alone redeems.
    pub fn ticket(&self, caller: &str) -> SmolStr {
        lock(&self.inner.issuer).issue(caller)
    }

    /// Returns what this process knows of the order with `key`; serves other hosts.
    ///
    /// It is never not run: an attempt that is still on its way may run later.
    pub fn local(&self, caller: &str, key: &str) -> Option<Outcome> {
        let id = Identity::new(caller, key);
        let own = lock(&self.inner.ledger).outcome(id);
        if ticket::looks_like(key) {
            // The asker may not have heard yet that the issuer is gone.
            let origin = Ticket::parse(key)?;
            let mine = Holder(origin.host, origin.incarnation) == self.inner.me;
            return if mine {
                own
            } else {
                Some(refusal::issuer_gone())
            };
        }
        let logged = self.inner.partitions[usize::from(id.partition())].lookup(id);
        match (own, logged.map(|(state, _)| state)) {
            (Some(Outcome::Done { result }), _) => Some(Outcome::Done { result }),
            (_, Some(state @ State::Done(_))) => Some(recorded(state)),
            (own, logged) => own.or_else(|| logged.map(recorded)),
        }
    }

    /// Tells whether the process may send orders now.
    fn ready(&self) -> Result<(), Outcome> {
        match self.inner.allowed.load(Ordering::Acquire) {
            true => Ok(()),
            false => Err(refusal::stale()),
        }
    }

    pub(crate) fn open(&self) -> Result<(), Outcome> {
        match self.inner.stopping.load(Ordering::Acquire) {
            true => Err(refusal::stopping()),
            false => self.ready(),
        }
    }

    /// Takes an order that a root forwarded: claims its key or redeems its ticket, and sends it.
    ///
    /// A message that arrives again is not worked on again.
    pub async fn accept(&self, message: peer::Order) -> Outcome {
        // A message that is refused below must not be accepted when a copy of it
        // arrives later, so it is entered first.
        if let Err(refusal) = lock(&self.inner.inbox).admit(&message) {
            return refusal;
        }
        self.take(message).await
    }

    /// Takes an order of this process's root or inbox.
    pub(crate) async fn take(&self, message: peer::Order) -> Outcome {
        // Keeps `drain` waiting between the check below and the start of the work.
        let _token = self.inner.tasks.token();
        let parsed = match self.open().and_then(|()| self.parse(&message)) {
            Ok(parsed) => parsed,
            Err(refusal) => return refusal,
        };
        let budget = Duration::from_millis(message.budget_ms.into());
        let deadline = Instant::now() + budget;
        let id = Identity::new(&message.caller, &message.key);
        let digest = key::digest(&message.collection, &message.action, &message.record);
        let entered = lock(&self.inner.ledger).enter(id, digest);
        let outcome = match entered {
            Entered::Join(ending) => refusal::repeated(self.ending(ending, deadline).await),
            Entered::Settled(outcome) => refusal::repeated(outcome),
            Entered::Differs => refusal::differs(),
            Entered::Full => refusal::full(),
            Entered::Start(sender, ending) => {
                let orders = self.clone();
                // A task of its own, so that the order is settled also if the caller goes.
                self.inner.tasks.spawn(async move {
                    let outcome = orders.work(id, parsed, message, deadline).await;
                    lock(&orders.inner.ledger).leave(id);
                    let _ = sender.send(Some(outcome));
                });
                self.ending(ending, deadline).await
            }
        };
        self.inner.counters.count(&outcome);
        outcome
    }

    /// Waits for the outcome of an order in flight.
    async fn ending(&self, mut ending: Ending, deadline: Instant) -> Outcome {
        // The work ends by the deadline itself; the margin lets it tell how.
        let limit = deadline + Duration::from_millis(5);
        let outcome = timeout_at(limit, ending.wait_for(Option::is_some)).await;
        let outcome = outcome.ok().and_then(Result::ok);
        outcome
            .and_then(|outcome| outcome.clone())
            .unwrap_or_else(refusal::in_progress)
    }

    fn parse(&self, message: &peer::Order) -> Result<Parsed, Outcome> {
        if ticket::looks_like(&message.key) {
            let origin = Ticket::parse(&message.key);
            let window = self.inner.settings.window;
            return match origin {
                Some(Ticket {
                    host, incarnation, ..
                }) if Holder(host.clone(), incarnation) != self.inner.me => {
                    Err(refusal::holder_gone())
                }
                _ if lock(&self.inner.issuer).genuine(&message.caller, &message.key, window) => {
                    Ok(Parsed::Ticket)
                }
                _ => Err(refusal::bad_ticket()),
            };
        }
        let settings = &self.inner.settings;
        let check = |ms| {
            key::check(ms, settings.wall.now_ms(), settings.window, settings.ahead)?;
            Ok(Parsed::Uuid { ms })
        };
        key::parse(&message.key)
            .and_then(check)
            .map_err(|error: key::Error| refusal::not_run(Reason::Key, &error.to_smolstr()))
    }

    /// Claims and sends an order that this process has in flight.
    async fn work(
        &self,
        id: Identity,
        parsed: Parsed,
        message: peer::Order,
        deadline: Instant,
    ) -> Outcome {
        let (ms, claim) = match parsed {
            Parsed::Ticket => {
                let since = Moment::now(&self.inner.settings.wall);
                (None, Ok((0, since)))
            }
            Parsed::Uuid { ms } => {
                let digest = key::digest(&message.collection, &message.action, &message.record);
                let claim = self.claim(id, ms, digest, &message);
                let claim = timeout_at(deadline, claim).await;
                (
                    Some((ms, digest)),
                    claim.unwrap_or_else(|_| Err(refusal::late())),
                )
            }
        };
        let (nonce, since) = match claim {
            Ok(claim) => claim,
            Err(outcome) => return outcome,
        };
        lock(&self.inner.ledger).sending(id, nonce);
        let outcome = send::send(
            &self.inner.peers,
            &self.config(),
            &message,
            Right { since, deadline },
            &self.inner.settings,
            || self.inner.sequence.next(),
            || self.ready(),
        )
        .await;
        lock(&self.inner.ledger).sent(id, &outcome);
        if let Some((ms, digest)) = ms {
            self.record(id, ms, digest, nonce, &outcome).await;
        }
        outcome
    }

    /// Claims a key in the log; the error is the outcome of an order that must not be sent.
    async fn claim(
        &self,
        id: Identity,
        ms: u64,
        digest: u64,
        message: &peer::Order,
    ) -> Result<(u64, Moment), Outcome> {
        if self.inner.settings.mutation == Mutation::Claim {
            return Ok((0, Moment::now(&self.inner.settings.wall)));
        }
        let partition = &self.inner.partitions[usize::from(id.partition())];
        let mut void = None;
        loop {
            return match partition.claim(id, ms, digest, void).await {
                Answer::Claimed { nonce, since } => {
                    Counters::add(&self.inner.counters.claimed);
                    Ok((nonce, since))
                }
                Answer::Held { holder, nonce } if holder == self.inner.me => {
                    if void != Some(nonce) && lock(&self.inner.ledger).void(id, nonce) {
                        void = Some(nonce);
                        continue;
                    }
                    Err(refusal::holder_gone())
                }
                Answer::Held { holder, .. } => Err(self.ask(&holder, message).await),
                Answer::Recorded(state) => Err(refusal::repeated(recorded(state))),
                Answer::Differs => Err(refusal::differs()),
                Answer::Expired(error) => Err(refusal::not_run(Reason::Key, &error.to_smolstr())),
                Answer::Full => Err(refusal::full()),
                Answer::Store => Err(refusal::store()),
            };
        }
    }

    /// Asks the process that holds a claim what became of it.
    async fn ask(&self, holder: &Holder, message: &peer::Order) -> Outcome {
        let Holder(host, incarnation) = holder;
        if self.inner.peers.incarnation(host) != Some(*incarnation) {
            return refusal::holder_gone();
        }
        let (caller, key) = (&message.caller, &message.key);
        let answer = self.inner.peers.outcome(host, caller, key);
        match tokio::time::timeout(ASK, answer).await {
            // The answer may come from a later process run of the host, which knows
            // only of orders that ran, not of those that did not.
            Ok(Ok(Some(outcome @ (Outcome::Done { .. } | Outcome::AlreadyDone { .. })))) => {
                refusal::repeated(outcome)
            }
            _ => refusal::in_progress(),
        }
    }

    /// Records what became of a claim, with a later batch.
    async fn record(&self, id: Identity, ms: u64, digest: u64, nonce: u64, outcome: &Outcome) {
        let state = match outcome {
            Outcome::Done { result } => {
                State::Done((result.len() <= RESULT_LIMIT).then(|| result.clone()))
            }
            Outcome::AlreadyDone { result } => State::Done(result.clone()),
            Outcome::NotRun { .. } => State::NotRun,
            Outcome::Unknown { .. } => State::Unknown,
        };
        let record = Record {
            id: id.0,
            ms,
            digest,
            attempt: 0,
            nonce,
            holder: 0,
            state,
        };
        let partition = &self.inner.partitions[usize::from(id.partition())];
        partition.record(record).await;
    }
}

/// Returns the outcome that the log holds.
pub(crate) fn recorded(state: State) -> Outcome {
    match state {
        State::Done(Some(result)) => Outcome::Done { result },
        State::Done(None) => Outcome::AlreadyDone { result: None },
        State::Unknown | State::Open => refusal::holder_gone(),
        State::NotRun => refusal::not_run_so_far(),
    }
}
