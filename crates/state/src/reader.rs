//! Reads the platform's objects by listing and watching them.

use std::{
    convert::Infallible,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::Rng as _;
use rattanmast_model::feed::{Batch, Change, Error, Origin, Result, Revision, Update};
use tokio::{
    sync::{Notify, mpsc},
    time::{self, Instant},
};

use crate::{
    call::{answer_of_either, in_time, resend},
    follow::PlatformReader,
    progress::{Answer, Kind, Progress},
    staleness::Limits,
};

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
            progress: Mutex::default(),
            check_leafs: Notify::new(),
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

/// State of reading configuration, leafs and quarantine.
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
    /// What was read so far.
    progress: Mutex<Progress>,
    /// Notified when the leafs are not known to be as current as the configuration.
    check_leafs: Notify,
}

impl<O: Origin> State<'_, O> {
    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads until the future is dropped.
    async fn read(mut self) {
        let started = Instant::now();
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let caught_up = self.catch_up().await;
            let watching = caught_up.is_ok();
            let error = match caught_up {
                Ok(()) => {
                    backoff = INITIAL_BACKOFF;
                    let started = Instant::now();
                    let Err(error) = self.watch().await;
                    if started.elapsed() >= CALM_TIME {
                        self.call_timeout = self.limits.call;
                    }
                    error
                }
                Err(error) => error,
            };
            if error == Error::Restored {
                self.progress().forget_all();
            }
            let current = self.progress().current().unwrap_or(started);
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

    /// Reads all that has changed since the last read.
    ///
    /// The configuration is read first, so that an outage costs one call at a time.
    async fn catch_up(&mut self) -> Result<()> {
        let started = Instant::now();
        for kind in [Kind::Config, Kind::Leafs, Kind::Quarantine] {
            while self.progress().current_of(kind) < Some(started) {
                self.read_or_list(kind).await?;
                self.report_availability(true).await;
            }
        }
        Ok(())
    }

    /// Reads the next changes of a kind, or lists its objects if the changes are not available.
    async fn read_or_list(&self, kind: Kind) -> Result<()> {
        match self.read_missing(kind).await {
            Err(Error::Compacted | Error::Restored) => {
                self.progress().forget(kind);
                self.list(kind).await
            }
            read => read,
        }
    }

    /// Reads the next changes of a kind, then lists its objects if that is shorter than reading the
    /// changes that are still missing.
    async fn read_missing(&self, kind: Kind) -> Result<()> {
        self.read_changes(kind, Duration::ZERO).await?;
        let is_list_shorter = self.progress().is_list_shorter(kind);
        match is_list_shorter {
            true => self.list(kind).await,
            false => Ok(()),
        }
    }

    /// Reads all objects of a kind.
    async fn list(&self, kind: Kind) -> Result<()> {
        let asked = Instant::now();
        let name = name::<O>(kind);
        let listed = in_time(MAX_LIST_TIME, self.origin.list(name, false)).await?;
        let (objects, revision) = (listed.items.len(), listed.revision);
        let took_ms = asked.elapsed().as_millis();
        log::info!(
            "event=store_listed kind={name} revision={revision} objects={objects} \
             took_ms={took_ms}"
        );
        let update = Update::All {
            kind: name.into(),
            objects: listed.items,
            revision,
            watched: true,
        };
        send(self.updates, update).await;
        self.progress().record_list(kind, revision, objects, asked);
        self.report_current().await;
        Ok(())
    }

    /// Reports whether the platform answers, if that has changed.
    async fn report_availability(&mut self, available: bool) {
        if self.reported != Some(available) {
            self.reported = Some(available);
            send(self.updates, Update::PlatformReachable(available)).await;
        }
    }

    /// Watches configuration, leafs and quarantine until a call fails.
    async fn watch(&self) -> Result<Infallible> {
        let watching = tokio::try_join!(
            self.watch_config(),
            self.watch_leafs(),
            self.watch_quarantine(),
        );
        watching.map(|(never, ..)| never)
    }

    /// Watches the configuration, with an answer at least once in the refresh interval.
    ///
    /// Requests a check of the leafs when they are not known to be as current.
    async fn watch_config(&self) -> Result<Infallible> {
        let refresh = self.limits.refresh;
        loop {
            let due = self.config_due();
            let wait = due.saturating_duration_since(Instant::now());
            let is_early = self.read_changes(Kind::Config, wait).await?;
            if self.progress().lags(Kind::Leafs, refresh / 2) {
                self.check_leafs.notify_one();
            }
            if is_early {
                let batch_end = Instant::now() + CONFIG_BATCH_DELAY;
                time::sleep_until(batch_end.min(self.config_due())).await;
            }
        }
    }

    /// Returns the time by which an answer has to show that the configuration is current.
    fn config_due(&self) -> Instant {
        let current = self.progress().current_of(Kind::Config);
        current.map_or_else(Instant::now, |current| current + self.limits.refresh)
    }

    /// Watches the leafs, and reads at once all changes that are known to be missing when a check is
    /// requested.
    async fn watch_leafs(&self) -> Result<Infallible> {
        loop {
            if self.progress().lags(Kind::Leafs, self.limits.refresh / 2) {
                self.read_missing(Kind::Leafs).await?;
                continue;
            }
            let is_early = tokio::select! {
                read = self.read_changes(Kind::Leafs, LEAF_WATCH_WAIT) => read?,
                () = self.check_leafs.notified() => false,
            };
            if is_early {
                tokio::select! {
                    () = time::sleep(LEAF_BATCH_DELAY) => {}
                    () = self.check_leafs.notified() => {}
                }
            }
        }
    }

    /// Watches the quarantine, which rarely changes.
    async fn watch_quarantine(&self) -> Result<Infallible> {
        loop {
            self.read_changes(Kind::Quarantine, QUARANTINE_WATCH_WAIT)
                .await?;
        }
    }

    /// Waits up to `wait` for changes of a kind and reports them; returns whether the answer came
    /// before the end of the wait, so that more changes may follow soon.
    ///
    /// The revision is recorded after the changes are sent, so that a dropped future loses none.
    async fn read_changes(&self, kind: Kind, wait: Duration) -> Result<bool> {
        let since = self.progress().revision(kind).ok_or(Error::Compacted)?;
        let asked = Instant::now();
        let name = name::<O>(kind);
        let changed = self.changes(name, since, wait).await?;
        let is_early = asked.elapsed() < wait;
        let (revision, changes) = (changed.revision, changed.items.len());
        let is_whole = changed.items.is_empty();
        let answer = Answer {
            revision,
            // Without a change, the platform answers at the end of the wait.
            at: match is_whole && !is_early {
                true => asked + wait,
                false => asked,
            },
            is_whole,
        };
        let took_ms = asked.elapsed().as_millis();
        send(self.updates, Update::changes(name.into(), changed)).await;
        self.progress().record(kind, answer);
        let platform = self.progress().platform_revision();
        log::info!(
            "event=store_read kind={name} since={since} revision={revision} platform={platform} \
             changes={changes} took_ms={took_ms}"
        );
        self.report_current().await;
        Ok(is_early)
    }

    /// Reports as of when the state is current.
    async fn report_current(&self) {
        let current = self.progress().current();
        if let Some(current) = current {
            send(self.updates, Update::Current(current)).await;
        }
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
        let changed = in_time(wait + self.call_timeout, answer).await?;
        match changed.revision.epoch == since.epoch {
            true => Ok(changed),
            false => {
                self.restored.notify_one();
                Err(Error::Restored)
            }
        }
    }
}

/// Returns the platform's name of a kind.
fn name<O: Origin>(kind: Kind) -> &'static str {
    match kind {
        Kind::Config => O::CONFIG,
        Kind::Leafs => O::LEAFS,
        Kind::Quarantine => O::QUARANTINE,
    }
}

async fn send(updates: &mpsc::Sender<Update>, update: Update) {
    // An error needs no handling: whoever drops the receiver drops this future too.
    let _closed = updates.send(update).await;
}
