//! Claims keys in one partition: group commit of batches to the claim log.

mod checkpoint;
mod draft;
mod settle;

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
    key::{self, Identity},
    ledger::Ledger,
    log::{Access, Log, Moment},
    record::{Holder, Record, State},
    settings::Settings,
    table::Table,
};
use checkpoint::Merge;
use draft::Draft;

/// Messages that wait for a partition's task; senders wait when it is full.
const INBOX: usize = 1024;

/// The most outcomes that wait to be recorded; older ones stay without an outcome in the log.
const OUTCOMES: usize = 65_536;

/// The first and the longest wait after the platform failed.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Failures in a row after which orders are refused at once until the next try.
const FAILURES: u32 = 3;

/// A request to claim a key.
#[derive(Debug)]
pub struct Ask {
    pub id: Identity,
    pub ms: u64,
    pub digest: u64,
    /// An earlier claim of this process that was never sent.
    pub void: Option<u64>,
    pub reply: oneshot::Sender<Answer>,
}

/// What a request to claim a key gets.
#[derive(Debug)]
pub enum Answer {
    /// The key is claimed for the asker.
    Claimed { nonce: u64, since: Moment },
    /// Someone claimed the key and recorded no outcome yet.
    Held { holder: Holder, nonce: u64 },
    /// The key was claimed, and this became of it.
    Recorded(State),
    /// The key was used for another order.
    Differs,
    /// The key is below the low watermark, or will soon be.
    Expired(key::Error),
    /// Too many keys.
    Full,
    /// The platform does not answer.
    Store,
}

#[derive(Debug)]
enum Message {
    Ask(Ask),
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
    /// Asks to claim a key.
    pub async fn claim(&self, id: Identity, ms: u64, digest: u64, void: Option<u64>) -> Answer {
        let (reply, answer) = oneshot::channel();
        let ask = Ask {
            id,
            ms,
            digest,
            void,
            reply,
        };
        match self.sender.send(Message::Ask(ask)).await {
            Ok(()) => answer.await.unwrap_or(Answer::Store),
            Err(_) => Answer::Store,
        }
    }

    /// Records what became of a claim of this process, with the next batch.
    pub async fn record(&self, record: Record) {
        // The task ends with the process only; then nobody reads the log any more.
        let _ = self.sender.send(Message::Outcome(record)).await;
    }

    /// Writes the outcomes that wait, once.
    pub async fn flush(&self) {
        let (done, wait) = oneshot::channel();
        if self.sender.send(Message::Flush(done)).await.is_ok() {
            let _ = wait.await;
        }
    }

    /// Returns the state of a key, and its holder, if the log is in memory.
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

/// The task of a partition.
#[derive(Debug)]
pub struct Partition<S> {
    access: Arc<Access<S>>,
    settings: Settings,
    me: Holder,
    ledger: Arc<Mutex<Ledger>>,
    rng: SmallRng,
    receiver: mpsc::Receiver<Message>,
    table: Arc<Mutex<Option<Table>>>,
    log: Option<Log>,
    asks: Vec<Ask>,
    outcomes: VecDeque<Record>,
    flushes: Vec<oneshot::Sender<()>>,
    /// When the oldest outcome must be written.
    due: Option<Instant>,
    /// A batch that may or may not be in the log.
    doubt: Option<Draft>,
    /// When the log was last read to its end.
    refreshed: Option<Instant>,
    merge: Option<Merge>,
    written: Option<Instant>,
    failures: u32,
    retry: Instant,
}

impl<S: Store> Partition<S> {
    /// Starts the task.
    pub fn start(
        access: Access<S>,
        settings: Settings,
        me: Holder,
        ledger: Arc<Mutex<Ledger>>,
        seed: u64,
    ) -> Handle {
        let (sender, receiver) = mpsc::channel(INBOX);
        let table = Arc::new(Mutex::new(None));
        let task = Self {
            access: Arc::new(access),
            settings,
            me,
            ledger,
            rng: SmallRng::seed_from_u64(seed),
            receiver,
            table: Arc::clone(&table),
            log: None,
            asks: Vec::new(),
            outcomes: VecDeque::new(),
            flushes: Vec::new(),
            due: None,
            doubt: None,
            refreshed: None,
            merge: None,
            written: None,
            failures: 0,
            retry: Instant::now(),
        };
        tokio::spawn(task.run());
        Handle { sender, table }
    }

    async fn run(mut self) {
        while self.wait().await {
            self.pace().await;
            while let Ok(message) = self.receiver.try_recv() {
                self.take(message);
            }
            self.commit().await;
            self.checkpoint().await;
            for flush in self.flushes.drain(..) {
                let _ = flush.send(());
            }
        }
    }

    /// Waits until there is something to write; returns false when the process ends.
    async fn wait(&mut self) -> bool {
        while self.asks.is_empty() && self.flushes.is_empty() {
            let due = self.due.map(|due| due.max(self.retry));
            let idle = Instant::now() + self.settings.idle;
            match timeout_at(due.unwrap_or(idle), self.receiver.recv()).await {
                Ok(Some(message)) => self.take(message),
                Ok(None) => return false,
                Err(_) if due.is_some() => return true,
                Err(_) => self.unload(),
            }
        }
        true
    }

    /// Waits until the next write is allowed.
    async fn pace(&mut self) {
        let interval = self.written.map(|at| at + self.settings.interval);
        let Some(until) = interval.into_iter().chain([self.retry]).max() else {
            return;
        };
        if self.failures < FAILURES || until <= Instant::now() {
            return sleep_until(until).await;
        }
        self.refuse();
        while let Ok(Some(message)) = timeout_at(until, self.receiver.recv()).await {
            self.take(message);
            self.refuse();
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Ask(ask) => self.asks.push(ask),
            Message::Outcome(record) => self.note(record),
            Message::Flush(done) => self.flushes.push(done),
        }
    }

    /// Keeps an outcome for the next batch.
    fn note(&mut self, record: Record) {
        if self.outcomes.len() >= OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(record);
        let due = Instant::now() + self.settings.flush;
        self.due.get_or_insert(due);
    }

    /// Refuses all requests that wait.
    fn refuse(&mut self) {
        for ask in self.asks.drain(..) {
            let _ = ask.reply.send(Answer::Store);
        }
    }

    /// Notes a failure of the platform and refuses what waits.
    fn fail(&mut self) {
        self.failures = self.failures.saturating_add(1);
        let (first, longest) = BACKOFF;
        let wait = first
            .saturating_mul(1 << (self.failures - 1).min(8))
            .min(longest);
        // Jitter keeps the hosts from returning to the platform at the same time.
        self.retry = Instant::now() + wait.mul_f64(self.rng.random_range(0.5..1.0));
        self.refuse();
    }

    /// Frees the memory of a partition that is not used.
    fn unload(&mut self) {
        if self.doubt.is_none() {
            self.log = None;
            *lock(&self.table) = None;
        }
    }

    /// Reads the log if it is not in memory.
    async fn load(&mut self) -> bool {
        if self.log.is_some() {
            return true;
        }
        match self.access.load().await {
            Ok((log, table)) => {
                self.log = Some(log);
                *lock(&self.table) = Some(table);
                self.sweep_covered();
                true
            }
            Err(error) => {
                ::log::warn!("partition {}: {error}", self.access.partition);
                self.fail();
                false
            }
        }
    }
}
