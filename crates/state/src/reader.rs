//! Reads the platform's objects by listing and watching them.

use std::{sync::Arc, time::Duration};

use rand::Rng as _;
use rattanmast_model::feed::{Origin, Result, Revision, Update};
use tokio::{
    sync::{Mutex, mpsc},
    time::{self, Instant},
};

use crate::follow::PlatformReader;

/// How long one watch waits for changes. A dead connection that goes undetected costs this time.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next watch of the configuration, so that a burst of changes arrives in one
/// response.
const CONFIG_BATCH_DELAY: Duration = Duration::from_millis(500);
/// Delay before the next watch of the leafs, which change more often.
const LEAF_BATCH_DELAY: Duration = Duration::from_secs(1);
/// Delay after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the delay after failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Interval between reads of the hosts' entries.
const HOSTS_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between the initial reads, while the hosts of a new deployment register.
const INITIAL_HOSTS_INTERVAL: Duration = Duration::from_secs(2);
/// Number of initial reads, which use the shorter interval.
const INITIAL_HOSTS_READS: u32 = 3;

/// Reads objects directly from the platform.
#[derive(Clone, Debug)]
pub struct Reader<O> {
    /// The platform's store.
    pub origin: O,
}

/// Destination of updates, with the last reported availability of the platform.
struct Sink {
    updates: mpsc::Sender<Update>,
    reported: Mutex<Option<bool>>,
}

impl Sink {
    async fn send(&self, update: Update) {
        // An error needs no handling: whoever drops the receiver drops this future too.
        let _closed = self.updates.send(update).await;
    }

    /// Reports whether the platform answers, if that has changed.
    async fn report_availability(&self, available: bool) {
        let mut reported = self.reported.lock().await;
        if *reported != Some(available) {
            *reported = Some(available);
            self.send(Update::PlatformReachable(available)).await;
        }
    }
}

impl<O: Origin> PlatformReader for Reader<O> {
    async fn read(&self, sink: mpsc::Sender<Update>) {
        let sink = Arc::new(Sink {
            updates: sink,
            reported: Mutex::new(None),
        });
        tokio::join!(
            self.watch(O::CONFIG, CONFIG_BATCH_DELAY, &sink),
            self.watch(O::LEAFS, LEAF_BATCH_DELAY, &sink),
            self.poll_hosts(&sink),
        );
    }

    async fn hosts(&self) -> Option<Update> {
        self.list_hosts(false).await
    }
}

impl<O: Origin> Reader<O> {
    /// Lists all objects of `kind`, then watches for changes, with `delay` between two watches.
    async fn watch(&self, kind: &'static str, delay: Duration, sink: &Sink) {
        let mut revision = None;
        let mut backoff = INITIAL_BACKOFF;
        let mut answered = Instant::now();
        loop {
            let started = Instant::now();
            match self.next_update(kind, delay, &mut revision).await {
                Ok(update) => {
                    backoff = INITIAL_BACKOFF;
                    answered = Instant::now();
                    sink.report_availability(true).await;
                    sink.send(update).await;
                }
                Err(error) => {
                    // An interrupted watch does not show that the store is unavailable;
                    // a list that fails too does.
                    let watching = revision.take().is_some();
                    let unanswered_ms = answered.elapsed().as_millis();
                    log::info!(
                        "event=store_read_failed kind={kind} watching={watching} \
                         unanswered_ms={unanswered_ms} why=\"{error}\""
                    );
                    if watching && started.elapsed() < WATCH_TIMEOUT {
                        continue;
                    }
                    sink.report_availability(false).await;
                    if !watching {
                        let jitter = rand::rng().random_range(0.5..1.0);
                        time::sleep(backoff.mul_f64(jitter)).await;
                        backoff = (backoff * 2).min(MAX_BACKOFF);
                    }
                }
            }
        }
    }

    async fn next_update(
        &self,
        kind: &'static str,
        delay: Duration,
        revision: &mut Option<Revision>,
    ) -> Result<Update> {
        let (update, read_at) = match *revision {
            None => {
                let listed = self.origin.list(kind, false).await?;
                let (kind, objects) = (kind.into(), listed.items);
                (Update::All { kind, objects }, listed.revision)
            }
            Some(since) => {
                time::sleep(delay).await;
                let changed = self.origin.watch(kind, since, WATCH_TIMEOUT).await?;
                let update = Update::changes(kind.into(), changed.items);
                (update, changed.revision)
            }
        };
        *revision = Some(read_at);
        Ok(update)
    }

    /// Reads the hosts' entries periodically.
    async fn poll_hosts(&self, sink: &Sink) {
        for read in 0_u32.. {
            time::sleep(if read < INITIAL_HOSTS_READS {
                INITIAL_HOSTS_INTERVAL
            } else {
                HOSTS_INTERVAL
            })
            .await;
            if let Some(update) = self.list_hosts(true).await {
                sink.send(update).await;
            }
        }
    }

    async fn list_hosts(&self, allow_stale: bool) -> Option<Update> {
        match self.origin.list(O::HOSTS, allow_stale).await {
            Ok(listed) => Some(Update::All {
                kind: O::HOSTS.into(),
                objects: listed.items,
            }),
            Err(error) => {
                log::info!("event=hosts_not_read why=\"{error}\"");
                None
            }
        }
    }
}
