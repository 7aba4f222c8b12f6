//! The task that claims the keys of one partition by group commit to the claim log.

mod append;
mod checkpoint;
mod commit;

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use rattanmast_model::store::Store;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Duration, Instant, sleep_until, timeout_at},
};

use crate::{
    claim_log::{Log, LogStore, Timestamp},
    key::{self, Identity},
    record::{Holder, Record, State},
    registry::Registry,
    settings::Settings,
    table::Table,
};
use append::Append;
use checkpoint::Compaction;

/// Capacity of the queue of a partition's task; senders wait while it is full.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// Maximum number of outcomes queued for the log. Beyond it the oldest one is dropped, and its
/// claim stays without an outcome.
const MAX_QUEUED_OUTCOMES: usize = 65_536;

/// Initial and maximum delay before the next write after a failure of the platform.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Consecutive failures after which requests are refused at once until the next attempt.
const FAILURES_BEFORE_FAIL_FAST: u32 = 3;

/// A request to claim a key.
#[derive(Debug)]
pub struct ClaimRequest {
    pub id: Identity,
    pub time_ms: u64,
    pub digest: u64,
    /// Nonce of an earlier claim of this process under which the order did not run.
    pub unsent_claim: Option<u64>,
    pub reply: oneshot::Sender<ClaimReply>,
}

/// The reply to a request to claim a key.
#[derive(Debug)]
pub enum ClaimReply {
    /// The key is claimed for the requester.
    Claimed { nonce: u64, claimed_at: Timestamp },
    /// The key is claimed, and no outcome is recorded yet.
    Held { holder: Holder, nonce: u64 },
    /// The key was claimed before; holds the recorded outcome.
    Recorded(State),
    /// The key was used for another order.
    KeyReused,
    /// The key is below the low watermark or close to it.
    Expired(key::Error),
    /// The partition holds too many keys.
    Full,
    /// The platform store does not respond.
    StoreUnavailable,
}

#[derive(Debug)]
enum Message {
    Claim(ClaimRequest),
    Outcome(Record),
    Flush(oneshot::Sender<()>),
}

/// A handle to a partition's task.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::Sender<Message>,
    table: Arc<Mutex<Option<Table>>>,
}

impl Handle {
    /// Claims a key, and waits until the claim is in the log.
    pub async fn claim(
        &self,
        id: Identity,
        time_ms: u64,
        digest: u64,
        unsent_claim: Option<u64>,
    ) -> ClaimReply {
        let (reply, receiver) = oneshot::channel();
        let request = ClaimRequest {
            id,
            time_ms,
            digest,
            unsent_claim,
            reply,
        };
        match self.sender.send(Message::Claim(request)).await {
            Ok(()) => receiver.await.unwrap_or(ClaimReply::StoreUnavailable),
            Err(_) => ClaimReply::StoreUnavailable,
        }
    }

    /// Queues the outcome of a claim of this process for the next batch.
    pub async fn record_outcome(&self, record: Record) {
        // The task ends only with the process, which needs no record any more.
        let _ = self.sender.send(Message::Outcome(record)).await;
    }

    /// Attempts once to write the queued outcomes.
    pub async fn flush(&self) {
        let (done, flushed) = oneshot::channel();
        if self.sender.send(Message::Flush(done)).await.is_ok() {
            let _ = flushed.await;
        }
    }

    /// Returns the state of a key and its holder, if the log is in memory.
    pub fn lookup(&self, id: Identity) -> Option<(State, Holder)> {
        let table = lock(&self.table);
        let table = table.as_ref()?;
        let entry = table.get(id)?;
        Some((entry.state.clone(), table.holder(entry).clone()))
    }

    /// Returns the number of keys in memory.
    pub fn keys(&self) -> usize {
        lock(&self.table).as_ref().map_or(0, Table::len)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State of a partition's task.
#[derive(Debug)]
pub struct Partition<S> {
    client: Arc<LogStore<S>>,
    settings: Settings,
    own_process: Holder,
    registry: Arc<Mutex<Registry>>,
    rng: SmallRng,
    receiver: mpsc::Receiver<Message>,
    table: Arc<Mutex<Option<Table>>>,
    log: Option<Log>,
    requests: Vec<ClaimRequest>,
    outcomes: VecDeque<Record>,
    flush_waiters: Vec<oneshot::Sender<()>>,
    /// When the oldest outcome must be written.
    flush_at: Option<Instant>,
    /// A batch whose create got no response, so it may or may not be in the log.
    unconfirmed: Option<Append>,
    /// When the batches of other claimers were last read to the end of the log.
    refreshed_at: Option<Instant>,
    compaction: Option<Compaction>,
    last_write_at: Option<Instant>,
    failures: u32,
    retry_at: Instant,
}

impl<S: Store> Partition<S> {
    /// Spawns the task and returns a handle to it.
    pub fn start(
        client: LogStore<S>,
        settings: Settings,
        own_process: Holder,
        registry: Arc<Mutex<Registry>>,
        seed: u64,
    ) -> Handle {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let table = Arc::new(Mutex::new(None));
        let task = Self {
            client: Arc::new(client),
            settings,
            own_process,
            registry,
            rng: SmallRng::seed_from_u64(seed),
            receiver,
            table: Arc::clone(&table),
            log: None,
            requests: Vec::new(),
            outcomes: VecDeque::new(),
            flush_waiters: Vec::new(),
            flush_at: None,
            unconfirmed: None,
            refreshed_at: None,
            compaction: None,
            last_write_at: None,
            failures: 0,
            retry_at: Instant::now(),
        };
        tokio::spawn(task.run());
        Handle { sender, table }
    }

    async fn run(mut self) {
        while self.wait_for_work().await {
            self.throttle().await;
            while let Ok(message) = self.receiver.try_recv() {
                self.handle_message(message);
            }
            self.commit().await;
            self.run_compaction().await;
            for waiter in self.flush_waiters.drain(..) {
                let _ = waiter.send(());
            }
        }
    }

    /// Waits until there is something to write; returns `false` when all handles are gone.
    async fn wait_for_work(&mut self) -> bool {
        while self.requests.is_empty() && self.flush_waiters.is_empty() {
            let flush_at = self.flush_at.map(|at| at.max(self.retry_at));
            let idle_at = Instant::now() + self.settings.idle_timeout;
            match timeout_at(flush_at.unwrap_or(idle_at), self.receiver.recv()).await {
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => return false,
                Err(_) if flush_at.is_some() => return true,
                Err(_) => self.unload(),
            }
        }
        true
    }

    /// Waits until the write interval and the backoff allow the next write.
    ///
    /// After several failures in a row, refuses requests in the meantime.
    async fn throttle(&mut self) {
        let next_write_at = self
            .last_write_at
            .map(|at| at + self.settings.write_interval);
        let Some(until) = next_write_at.into_iter().chain([self.retry_at]).max() else {
            return;
        };
        if self.failures < FAILURES_BEFORE_FAIL_FAST || until <= Instant::now() {
            return sleep_until(until).await;
        }
        self.reject_requests();
        while let Ok(Some(message)) = timeout_at(until, self.receiver.recv()).await {
            self.handle_message(message);
            self.reject_requests();
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Claim(request) => self.requests.push(request),
            Message::Outcome(record) => self.queue_outcome(record),
            Message::Flush(done) => self.flush_waiters.push(done),
        }
    }

    /// Queues an outcome for the next batch.
    fn queue_outcome(&mut self, record: Record) {
        if self.outcomes.len() >= MAX_QUEUED_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(record);
        let flush_at = Instant::now() + self.settings.max_flush_delay;
        self.flush_at.get_or_insert(flush_at);
    }

    /// Refuses all queued requests.
    fn reject_requests(&mut self) {
        for request in self.requests.drain(..) {
            let _ = request.reply.send(ClaimReply::StoreUnavailable);
        }
    }

    /// Starts the backoff after a failure of the platform and refuses all queued requests.
    fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
        let (initial, max) = RETRY_BACKOFF;
        let delay = initial
            .saturating_mul(1 << (self.failures - 1).min(8))
            .min(max);
        // Jitter keeps the hosts from returning to the platform at the same time.
        self.retry_at = Instant::now() + delay.mul_f64(self.rng.random_range(0.5..1.0));
        self.reject_requests();
    }

    /// Frees the memory of an idle partition.
    fn unload(&mut self) {
        if self.unconfirmed.is_none() {
            self.log = None;
            *lock(&self.table) = None;
        }
    }

    /// Reads the log if it is not in memory; returns whether it is in memory now.
    async fn load(&mut self) -> bool {
        if self.log.is_some() {
            return true;
        }
        match self.client.load().await {
            Ok((log, table)) => {
                self.log = Some(log);
                *lock(&self.table) = Some(table);
                self.delete_covered_batches();
                true
            }
            Err(error) => {
                ::log::warn!(
                    "cannot read claim partition {}, so orders with its keys are refused: {error}",
                    self.client.partition
                );
                self.record_failure();
                false
            }
        }
    }
}
