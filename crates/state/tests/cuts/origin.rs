//! A store of numbered objects, and the links over which hosts reach it.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use rattanmast_model::feed::{Batch, Change, Error, Object, Origin, Result, Revision};
use smol_str::SmolStr;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// Latency between a host and the store, one way.
const LATENCY: Duration = Duration::from_millis(12);
/// Time after which TCP keepalive ends a connection over a link that is cut.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of changes in an answer; the client has to ask for those that follow.
const PAGE_CHANGES: usize = 20;
/// Timeout of a call, beyond the time for which a watch waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a link does to the calls of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    #[default]
    None,
    /// Requests are held up.
    ToStore,
    /// Answers are held up.
    FromStore,
    /// The store accepts requests and does not answer them.
    Silent,
}

/// The link of one host, which may be cut.
#[derive(Clone)]
pub struct Link {
    cut: watch::Sender<Cut>,
    /// When the link was last cut or healed.
    disturbed: Arc<Mutex<Instant>>,
    calls: Arc<AtomicU32>,
    /// The number of next calls whose answers are lost.
    lost_answers: Arc<AtomicU32>,
    /// How much longer answers about leafs take.
    leafs_delay: Arc<Mutex<Duration>>,
}

impl Link {
    pub fn new() -> Self {
        Self {
            cut: watch::Sender::new(Cut::None),
            disturbed: Arc::new(Mutex::new(Instant::now())),
            calls: Arc::default(),
            lost_answers: Arc::default(),
            leafs_delay: Arc::default(),
        }
    }

    /// Loses the answers of the next `count` calls, on connections that stay open.
    pub fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, Ordering::Relaxed);
    }

    /// Sets how much longer answers about leafs take.
    pub fn delay_leafs(&self, delay: Duration) {
        *self.leafs_delay.lock().unwrap() = delay;
    }

    /// Returns whether the answer of this call is lost.
    fn loses_answer(&self) -> bool {
        let less = |count: u32| count.checked_sub(1);
        let taken = self
            .lost_answers
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
        taken.is_ok()
    }

    /// Returns the number of calls since the last time it was asked for.
    pub fn take_calls(&self) -> u32 {
        self.calls.swap(0, Ordering::Relaxed)
    }

    pub fn set(&self, cut: Cut) {
        *self.disturbed.lock().unwrap() = Instant::now();
        self.cut.send_replace(cut);
    }

    /// Returns whether the link has worked for at least `time`.
    pub fn has_worked_for(&self, time: Duration) -> bool {
        *self.cut.borrow() == Cut::None && self.disturbed.lock().unwrap().elapsed() >= time
    }

    /// Carries one message, which `blocked` holds up.
    async fn carry(&self, blocked: Cut) -> Result<()> {
        sleep(LATENCY).await;
        if *self.cut.borrow() == Cut::Silent {
            std::future::pending::<()>().await;
        }
        let mut cut = self.cut.subscribe();
        let healed = timeout(KEEPALIVE_TIMEOUT, cut.wait_for(|cut| *cut != blocked));
        healed.await.map(|_| ()).map_err(|_| Error::Unavailable {
            why: "the connection ended".to_owned(),
        })
    }
}

/// A number that was written and confirmed.
#[derive(Clone, Copy)]
struct Write {
    kind: &'static str,
    number: u64,
    confirmed: Instant,
}

#[derive(Default)]
struct State {
    /// All numbers that were confirmed, oldest first, whether or not the store still has them.
    confirmed: Vec<Write>,
    /// The numbers that the store has; the revision of each is its position, counted from 1.
    writes: Vec<Write>,
    /// The revision up to which watches can no longer read changes.
    compacted: u64,
    /// The number of restores.
    epoch: u64,
    restored: Option<Instant>,
}

impl State {
    fn revision(&self) -> Revision {
        Revision {
            epoch: self.epoch,
            number: self.writes.len() as u64,
        }
    }

    fn write(&mut self, kind: &'static str, number: u64) -> Write {
        let confirmed = Instant::now();
        let write = Write {
            kind,
            number,
            confirmed,
        };
        self.writes.push(write);
        write
    }
}

/// The store, with one object of each kind whose content is a number that increases.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<()>,
    /// The number of times that all waiting watches were ended.
    ended_watches: watch::Sender<u32>,
}

impl Store {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(()),
            ended_watches: watch::Sender::new(0),
        }
    }

    /// Ends all watches that are waiting, without an answer.
    pub fn end_watches(&self) {
        self.ended_watches.send_modify(|count| *count += 1);
    }

    /// Writes the next number of a kind.
    pub fn advance(&self, kind: &'static str) {
        let mut state = self.state.lock().unwrap();
        let next = newest(&state.confirmed, kind, Instant::now()) + 1;
        let write = state.write(kind, next);
        state.confirmed.push(write);
        self.changed.send_replace(());
    }

    /// Drops the history.
    pub fn compact(&self) {
        let mut state = self.state.lock().unwrap();
        state.compacted = state.revision().number;
    }

    /// Restores the store from a copy that lacks the last `lost` writes.
    pub fn restore(&self, lost: usize) {
        let mut state = self.state.lock().unwrap();
        // The first number of each kind is in every copy.
        let kept = state.writes.len().saturating_sub(lost).max(2);
        state.writes.truncate(kept);
        state.compacted = state.compacted.min(state.revision().number);
        state.epoch += 1;
        state.restored = Some(Instant::now());
        self.changed.send_replace(());
    }

    /// Writes the newest confirmed number of each kind again that a restored store lacks.
    pub fn rewrite(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        for kind in [Access::CONFIG, Access::LEAFS] {
            let number = newest(&state.confirmed, kind, now);
            if newest(&state.writes, kind, now) < number {
                state.write(kind, number);
            }
        }
        self.changed.send_replace(());
    }

    /// Returns whether the store was not restored for at least `time`.
    pub fn is_stable_for(&self, time: Duration) -> bool {
        let restored = self.state.lock().unwrap().restored;
        restored.is_none_or(|at| at.elapsed() >= time)
    }

    /// Returns the number of a kind that was the newest one at a given time.
    pub fn newest_at(&self, kind: &'static str, at: Instant) -> u64 {
        newest(&self.state.lock().unwrap().confirmed, kind, at)
    }

    fn list(&self, kind: &'static str) -> Batch<Object> {
        let state = self.state.lock().unwrap();
        Batch {
            items: vec![object(newest(&state.writes, kind, Instant::now()))],
            revision: state.revision(),
        }
    }

    fn changes(&self, kind: &'static str, since: Revision) -> Result<Batch<Change>> {
        let state = self.state.lock().unwrap();
        if since.number < state.compacted || since.number > state.revision().number {
            return Err(Error::Compacted);
        }
        let numbered = (1_u64..).zip(&state.writes).skip(since.number as usize);
        let mut later = numbered.filter(|(_, write)| write.kind == kind);
        let page: Vec<_> = later.by_ref().take(PAGE_CHANGES).collect();
        let number = match (later.next(), page.last()) {
            (Some(_), Some((number, _))) => *number,
            _ => state.revision().number,
        };
        Ok(Batch {
            items: page
                .iter()
                .map(|(_, write)| Change::Put(object(write.number)))
                .collect(),
            revision: Revision {
                number,
                ..state.revision()
            },
        })
    }
}

/// Returns the newest number of a kind among those that were confirmed by a given time.
fn newest(writes: &[Write], kind: &'static str, at: Instant) -> u64 {
    let written = writes.iter();
    let written = written.filter(|write| write.kind == kind && write.confirmed <= at);
    written.map(|write| write.number).max().unwrap_or(0)
}

fn object(number: u64) -> Object {
    Object {
        name: SmolStr::new_static("main"),
        content: Bytes::from(number.to_string()),
    }
}

/// Returns the number in an object.
pub fn number(object: &Object) -> u64 {
    std::str::from_utf8(&object.content)
        .unwrap()
        .parse()
        .unwrap()
}

/// The store as one host reaches it.
#[derive(Clone)]
pub struct Access {
    pub store: Store,
    pub link: Link,
}

impl Access {
    async fn call<T>(
        &self,
        kind: &'static str,
        wait: Duration,
        answer: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        self.link.calls.fetch_add(1, Ordering::Relaxed);
        let loses_answer = self.link.loses_answer();
        let call = async {
            self.link.carry(Cut::ToStore).await?;
            let answer = answer.await;
            let delay = *self.link.leafs_delay.lock().unwrap();
            if kind == Self::LEAFS {
                sleep(delay).await;
            }
            if loses_answer {
                std::future::pending::<()>().await;
            }
            self.link.carry(Cut::FromStore).await?;
            answer
        };
        let unanswered = |_| Error::Unavailable {
            why: "no answer in time".to_owned(),
        };
        let called = timeout(wait + CALL_TIMEOUT, call).await;
        called.map_err(unanswered)?
    }
}

impl Origin for Access {
    const CONFIG: &'static str = "config";
    const LEAFS: &'static str = "leafs";
    const HOSTS: &'static str = "hosts";
    const QUARANTINE: &'static str = "quarantine";

    async fn list(&self, kind: &'static str, _allow_stale: bool) -> Result<Batch<Object>> {
        self.call(kind, Duration::ZERO, async { Ok(self.store.list(kind)) })
            .await
    }

    async fn watch(
        &self,
        kind: &'static str,
        since: Revision,
        wait: Duration,
    ) -> Result<Batch<Change>> {
        let answer = async {
            let mut changed = self.store.changed.subscribe();
            let any = async {
                loop {
                    let changes = self.store.changes(kind, since)?;
                    if !changes.items.is_empty() {
                        return Ok(changes);
                    }
                    // The store outlives the call, so its sender is not dropped.
                    let _changed = changed.changed().await;
                }
            };
            let mut ended_watches = self.store.ended_watches.subscribe();
            tokio::select! {
                changes = timeout(wait, any) => match changes {
                    Ok(changes) => changes,
                    Err(_) => self.store.changes(kind, since),
                },
                _ = ended_watches.changed() => Err(Error::Unavailable {
                    why: "the watch ended".to_owned(),
                }),
            }
        };
        self.call(kind, wait, answer).await
    }
}
