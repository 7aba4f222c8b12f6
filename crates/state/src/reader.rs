//! Reads the platform's objects by listing and watching them.

use std::{convert::Infallible, pin::pin, time::Duration};

use futures::{StreamExt as _, stream::FuturesUnordered};
use rand::Rng as _;
use rattanmast_model::feed::{Batch, Change, Error, Origin, Result, Revision, Update};
use tokio::{
    sync::{Mutex, Notify, mpsc},
    time::{self, Instant},
};

use crate::{follow::PlatformReader, staleness::Limits};

/// Upper bound of the time that a call may take, beyond the time for which a watch waits.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper bound of the time that a list may take; each of its pages is a call.
const MAX_LIST_TIME: Duration = Duration::from_secs(20);
/// Time without a failed call after which calls have the shortest timeout again.
const CALM_TIME: Duration = Duration::from_secs(10);
/// How long one watch of the leafs waits for changes.
const LEAF_WATCH_WAIT: Duration = Duration::from_secs(5);
/// How long one watch of the quarantine waits for changes; an idle one is ended by TCP keepalive if its
/// connection is dead.
const QUARANTINE_WATCH_WAIT: Duration = Duration::from_secs(30);
/// Delay before the next watch of the configuration after a change, so that a burst of changes
/// arrives in one answer.
const CONFIG_BATCH_DELAY: Duration = Duration::from_millis(500);
/// Delay before the next watch of the leafs after a change; they change more often.
const LEAF_BATCH_DELAY: Duration = Duration::from_secs(1);
/// Number of times that a read of changes is sent again while there is no answer.
const MAX_RESENDS: usize = 2;
/// Delay after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the delay after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Interval between reads of the hosts' entries.
const HOSTS_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between the first reads after a start or a restore, while hosts register.
const INITIAL_HOSTS_INTERVAL: Duration = Duration::from_secs(2);
/// Number of reads after a start or a restore that use the shorter interval.
const INITIAL_HOSTS_READS: u32 = 3;

/// Reads objects directly from the platform.
#[derive(Clone, Debug)]
pub struct Reader<O> {
    /// The platform's store.
    pub origin: O,
    /// Limits on the age of what is read.
    pub limits: Limits,
}

impl<O: Origin> PlatformReader for Reader<O> {
    async fn read(&self, sink: mpsc::Sender<Update>) {
        let restored = Notify::new();
        let state = State {
            origin: &self.origin,
            limits: self.limits,
            updates: &sink,
            restored: &restored,
            call_timeout: self.limits.call,
            reported: None,
        };
        tokio::join!(state.read(), self.poll_hosts(&sink, &restored));
    }

    async fn hosts(&self) -> Option<Update> {
        self.list_hosts(false).await
    }
}

impl<O: Origin> Reader<O> {
    /// Reads the hosts' entries periodically, and at once when the platform was restored: hosts that it
    /// lost have to learn that.
    async fn poll_hosts(&self, updates: &mpsc::Sender<Update>, restored: &Notify) {
        let mut reads = 0_u32;
        loop {
            let interval = match reads < INITIAL_HOSTS_READS {
                true => INITIAL_HOSTS_INTERVAL,
                false => HOSTS_INTERVAL,
            };
            let is_restored = tokio::select! {
                () = time::sleep(interval) => false,
                () = restored.notified() => true,
            };
            reads = match is_restored {
                true => 0,
                false => reads.saturating_add(1),
            };
            // A stale read may still be one of the history before.
            if let Some(update) = self.list_hosts(!is_restored).await {
                send(updates, update).await;
            }
        }
    }

    async fn list_hosts(&self, allow_stale: bool) -> Option<Update> {
        let list = self.origin.list(O::HOSTS, allow_stale);
        match in_time(MAX_LIST_TIME, list).await {
            Ok(listed) => Some(Update::All {
                kind: O::HOSTS.into(),
                objects: listed.items,
                revision: listed.revision,
                watched: false,
            }),
            Err(error) => {
                log::info!("event=hosts_not_read why=\"{error}\"");
                None
            }
        }
    }
}

/// The revisions that the watched kinds were read up to; `None` if all have to be listed.
#[derive(Clone, Copy, Debug, Default)]
struct Cursors {
    config: Option<Revision>,
    leafs: Option<Revision>,
    quarantine: Option<Revision>,
}

/// How current the results of the two watches are.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// The time as of which the configuration is current.
    config: Instant,
    /// The time as of which the leafs are current.
    leafs: Instant,
    /// The revision that the leafs were read up to.
    leaf_revision: Revision,
}

impl Progress {
    /// Returns the time as of which both are current.
    fn current(&self) -> Instant {
        self.config.min(self.leafs)
    }

    /// Records that the configuration is current as of a time at which the platform was at `revision`.
    fn record_config(&mut self, current: Instant, revision: Revision) {
        self.config = current;
        // The revision covers all kinds, so the leafs have not changed if it is the one known.
        if self.leaf_revision >= revision {
            self.leafs = self.leafs.max(current);
        }
    }
}

/// An answer to a watch.
struct Answer {
    changed: Batch<Change>,
    /// The time as of which the kind is current.
    current: Instant,
    /// Whether the answer came before the end of the wait, which more changes may follow soon.
    is_early: bool,
}

/// State of reading configuration and leafs.
struct State<'a, O> {
    origin: &'a O,
    limits: Limits,
    updates: &'a mpsc::Sender<Update>,
    /// Notified when the platform was restored from a copy.
    restored: &'a Notify,
    /// Time that a call may take; it grows while the platform is slow.
    call_timeout: Duration,
    /// The last reported availability of the platform.
    reported: Option<bool>,
}

impl<O: Origin> State<'_, O> {
    /// Reads until the future is dropped.
    async fn read(mut self) {
        let mut cursors = Cursors::default();
        let mut backoff = INITIAL_BACKOFF;
        let mut current = Instant::now();
        loop {
            let caught_up = self.catch_up(&mut cursors, &mut current).await;
            let watching = caught_up.is_ok();
            let error = match caught_up {
                Ok(()) => {
                    backoff = INITIAL_BACKOFF;
                    let started = Instant::now();
                    let Err(error) = self.watch(&mut cursors, &mut current).await;
                    if started.elapsed() >= CALM_TIME {
                        self.call_timeout = self.limits.call;
                    }
                    error
                }
                Err(error) => error,
            };
            if error == Error::Restored {
                cursors = Cursors::default();
            }
            let unanswered_ms = current.elapsed().as_millis();
            log::info!(
                "event=store_read_failed watching={watching} unanswered_ms={unanswered_ms} \
                 why=\"{error}\""
            );
            if matches!(error, Error::Unavailable { .. }) {
                self.call_timeout = (self.call_timeout * 2).min(MAX_CALL_TIMEOUT);
            }
            // An interrupted watch does not show that the platform is unavailable; a read that
            // fails as well does.
            if !watching {
                self.report_availability(false).await;
                let jitter = rand::rng().random_range(0.5..1.0);
                time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    /// Reads what has changed since the last read, and sets the time as of which that is current.
    ///
    /// The configuration is read first, so that an outage costs one call at a time.
    async fn catch_up(&mut self, cursors: &mut Cursors, current: &mut Instant) -> Result<()> {
        let started = Instant::now();
        let config = self.read_kind(O::CONFIG, &mut cursors.config).await?;
        self.report_availability(true).await;
        send(self.updates, config).await;
        let leafs = self.read_kind(O::LEAFS, &mut cursors.leafs).await?;
        send(self.updates, leafs).await;
        *current = started;
        send(self.updates, Update::Current(started)).await;
        let quarantine = self
            .read_kind(O::QUARANTINE, &mut cursors.quarantine)
            .await?;
        send(self.updates, quarantine).await;
        Ok(())
    }

    /// Reads the changes of a kind since `cursor`, or all objects without a cursor.
    async fn read_kind(&self, kind: &'static str, cursor: &mut Option<Revision>) -> Result<Update> {
        let changed = match *cursor {
            Some(since) => self.changes(kind, since, Duration::ZERO).await,
            None => Err(Error::Compacted),
        };
        match changed {
            Ok(changed) => {
                *cursor = Some(changed.revision);
                Ok(Update::changes(kind.into(), changed))
            }
            Err(Error::Compacted | Error::Restored) => {
                *cursor = None;
                let asked = Instant::now();
                let listed = in_time(MAX_LIST_TIME, self.origin.list(kind, false)).await?;
                let (objects, revision) = (listed.items.len(), listed.revision);
                let took_ms = asked.elapsed().as_millis();
                log::info!(
                    "event=store_listed kind={kind} revision={revision} objects={objects} \
                     took_ms={took_ms}"
                );
                *cursor = Some(listed.revision);
                Ok(Update::All {
                    kind: kind.into(),
                    objects: listed.items,
                    revision: listed.revision,
                    watched: true,
                })
            }
            Err(error) => Err(error),
        }
    }

    /// Reports whether the platform answers, if that has changed.
    async fn report_availability(&mut self, available: bool) {
        if self.reported != Some(available) {
            self.reported = Some(available);
            send(self.updates, Update::PlatformReachable(available)).await;
        }
    }

    /// Watches configuration, leafs and quarantine until a call fails.
    async fn watch(&self, cursors: &mut Cursors, current: &mut Instant) -> Result<Infallible> {
        let progress = Mutex::new(Progress {
            config: *current,
            leafs: *current,
            leaf_revision: cursors.leafs.unwrap_or_default(),
        });
        let check_leafs = Notify::new();
        let watching = tokio::try_join!(
            self.watch_config(&mut cursors.config, &progress, &check_leafs),
            self.watch_leafs(&mut cursors.leafs, &progress, &check_leafs),
            self.watch_quarantine(&mut cursors.quarantine),
        );
        *current = progress.lock().await.current();
        watching.map(|(never, ..)| never)
    }

    /// Watches the configuration, with an answer at least once in the refresh interval.
    ///
    /// Requests a check of the leafs when they are not known to be as current.
    async fn watch_config(
        &self,
        cursor: &mut Option<Revision>,
        progress: &Mutex<Progress>,
        check_leafs: &Notify,
    ) -> Result<Infallible> {
        let refresh = self.limits.refresh;
        let mut current = progress.lock().await.config;
        loop {
            let wait = (current + refresh).saturating_duration_since(Instant::now());
            let answer = self.ask(O::CONFIG, cursor, wait).await?;
            current = answer.current;
            self.pass_on(O::CONFIG, answer.changed, cursor).await;
            let mut progress = progress.lock().await;
            progress.record_config(current, cursor.unwrap_or_default());
            self.report(&progress).await;
            if current.saturating_duration_since(progress.leafs) > refresh / 2 {
                check_leafs.notify_one();
            }
            drop(progress);
            if answer.is_early {
                let batch_end = Instant::now() + CONFIG_BATCH_DELAY;
                time::sleep_until(batch_end.min(current + refresh)).await;
            }
        }
    }

    /// Watches the leafs, and asks at once whether they have changed when a check is requested.
    async fn watch_leafs(
        &self,
        cursor: &mut Option<Revision>,
        progress: &Mutex<Progress>,
        check: &Notify,
    ) -> Result<Infallible> {
        let mut wait = LEAF_WATCH_WAIT;
        loop {
            let answer = tokio::select! {
                answer = self.ask(O::LEAFS, cursor, wait) => answer?,
                // A check that is under way is not dropped for the next one.
                () = check.notified(), if !wait.is_zero() => {
                    wait = Duration::ZERO;
                    continue;
                }
            };
            wait = LEAF_WATCH_WAIT;
            self.pass_on(O::LEAFS, answer.changed, cursor).await;
            let mut progress = progress.lock().await;
            progress.leafs = progress.leafs.max(answer.current);
            progress.leaf_revision = cursor.unwrap_or_default();
            self.report(&progress).await;
            let refresh_at = progress.leafs + self.limits.refresh;
            drop(progress);
            if answer.is_early {
                let batch_end = Instant::now() + LEAF_BATCH_DELAY;
                time::sleep_until(batch_end.min(refresh_at)).await;
            }
        }
    }

    /// Watches the quarantine, which rarely changes.
    async fn watch_quarantine(&self, cursor: &mut Option<Revision>) -> Result<Infallible> {
        loop {
            let answer = self
                .ask(O::QUARANTINE, cursor, QUARANTINE_WATCH_WAIT)
                .await?;
            self.pass_on(O::QUARANTINE, answer.changed, cursor).await;
        }
    }

    /// Passes changes on, then advances the cursor, so that a dropped future loses no change.
    async fn pass_on(
        &self,
        kind: &'static str,
        changed: Batch<Change>,
        cursor: &mut Option<Revision>,
    ) {
        let revision = changed.revision;
        send(self.updates, Update::changes(kind.into(), changed)).await;
        *cursor = Some(revision);
    }

    /// Waits up to `wait` for changes of a kind since `cursor`.
    async fn ask(
        &self,
        kind: &'static str,
        cursor: &Option<Revision>,
        wait: Duration,
    ) -> Result<Answer> {
        let asked = Instant::now();
        let changed = self.changes(kind, cursor.unwrap_or_default(), wait).await?;
        let is_early = asked.elapsed() < wait;
        // Without a change, the platform answers at the end of the wait.
        let current = match !is_early && changed.items.is_empty() {
            true => asked + wait,
            false => asked,
        };
        Ok(Answer {
            changed,
            current,
            is_early,
        })
    }

    /// Reports as of when the state is current.
    async fn report(&self, progress: &Progress) {
        send(self.updates, Update::Current(progress.current())).await;
    }

    /// Returns the changes of a kind after `since`, unless the platform has begun another history: the
    /// number of `since` may then stand for another change.
    async fn changes(
        &self,
        kind: &'static str,
        since: Revision,
        wait: Duration,
    ) -> Result<Batch<Change>> {
        let first = self.origin.watch(kind, since, wait);
        let again = async {
            time::sleep(wait).await;
            let again = || self.origin.watch(kind, since, Duration::ZERO);
            resend(again, self.limits.resend).await
        };
        let answer = answer_of_either(first, again);
        let asked = Instant::now();
        let changed = in_time(wait + self.call_timeout, answer).await?;
        let (changes, revision) = (changed.items.len(), changed.revision);
        let took_ms = asked.elapsed().as_millis();
        log::info!(
            "event=store_read kind={kind} since={since} revision={revision} changes={changes} \
             took_ms={took_ms}"
        );
        match changed.revision.epoch == since.epoch {
            true => Ok(changed),
            false => {
                self.restored.notify_one();
                Err(Error::Restored)
            }
        }
    }
}

async fn send(updates: &mpsc::Sender<Update>, update: Update) {
    // An error needs no handling: whoever drops the receiver drops this future too.
    let _closed = updates.send(update).await;
}

/// Returns the answer of `first`, or that of `again` if it comes before.
///
/// The answer of a call may be lost on a connection that stays open, while other connections work.
async fn answer_of_either<T>(
    first: impl Future<Output = Result<T>>,
    again: impl Future<Output = Result<T>>,
) -> Result<T> {
    let mut first = pin!(first);
    tokio::select! {
        answer = &mut first => answer,
        answer = again => match answer {
            Err(Error::Unavailable { .. }) => first.await,
            answer => answer,
        },
    }
}

/// Makes a call at each `interval`, up to a few times, and returns the first answer.
async fn resend<T, F: Future<Output = Result<T>>>(
    call: impl Fn() -> F,
    interval: Duration,
) -> Result<T> {
    let mut calls = FuturesUnordered::new();
    for _ in 0..MAX_RESENDS {
        tokio::select! {
            Some(answer) = calls.next() => return answer,
            () = time::sleep(interval) => calls.push(call()),
        }
    }
    match calls.next().await {
        Some(answer) => answer,
        None => std::future::pending().await,
    }
}

/// Limits the time of a call.
async fn in_time<T>(limit: Duration, call: impl Future<Output = Result<T>>) -> Result<T> {
    let unanswered = |_| Error::Unavailable {
        why: format!("no answer within {} ms", limit.as_millis()),
    };
    time::timeout(limit, call).await.map_err(unanswered)?
}
