//! The claim log of a partition in the platform store.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use rattanmast_model::{
    clock::Clock,
    hash::Set,
    store::{self, Store, Version},
};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::time::{Instant, timeout};

use crate::{
    key::Identity,
    record::{Batch, Checkpoint},
    stats::Counters,
    table::Table,
};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the log could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A call to the platform store failed.
    #[snafu(display("claim log: {source}"))]
    Store {
        /// The error of the store.
        source: store::Error,
    },
    /// An object has unexpected content.
    #[snafu(display("object {name} cannot be parsed ({source}); run hosts of one release"))]
    Content {
        /// Name of the object.
        name: String,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// Batches were deleted while the log was read.
    #[snafu(display(
        "the claim log changed while it was being read; the next request reads it again"
    ))]
    Changed,
}

/// Age of the proof of the log's end up to which a created batch needs no check against the
/// checkpoint.
///
/// Batches are deleted no earlier than [`crate::Settings::delete_delay`] after a checkpoint
/// covers them, which is six times as long.
const PROOF_MAX_AGE: Duration = Duration::from_secs(10);

/// Maximum number of checkpoint segments that are read concurrently.
const MAX_PARALLEL_READS: usize = 8;

/// Maximum number of attempts to read a log that changes in the meantime.
const MAX_LOAD_ATTEMPTS: u32 = 3;

/// A point in time on the monotonic and the wall clock.
///
/// Both are kept to detect pauses of the process: the monotonic clock may stop while the system is
/// suspended, and the wall clock may be set.
#[derive(Clone, Copy, Debug)]
pub struct Timestamp {
    pub instant: Instant,
    pub wall_ms: u64,
}

impl Timestamp {
    /// Returns the current time.
    pub fn now(wall: &Clock) -> Self {
        Self {
            instant: Instant::now(),
            wall_ms: wall.now_ms(),
        }
    }

    fn is_within(self, max_age: Duration, wall: &Clock) -> bool {
        let now_ms = wall.now_ms();
        let max_age_ms = crate::settings::millis(max_age);
        self.instant.elapsed() < max_age
            && now_ms >= self.wall_ms
            && now_ms - self.wall_ms < max_age_ms
    }
}

/// Store client for the log of one partition; applies timeouts and counts calls.
#[derive(Debug)]
pub struct LogStore<S> {
    pub store: S,
    pub partition: u16,
    pub store_timeout: Duration,
    pub wall: Clock,
    pub counters: Arc<Counters>,
}

/// The end of the log as this process knows it.
#[derive(Debug)]
pub struct Log {
    /// Sequence number of the next batch.
    pub next_sequence: u64,
    /// Newest known checkpoint.
    pub checkpoint: Checkpoint,
    /// Version of the checkpoint's object; `None` if it does not exist.
    pub checkpoint_version: Option<Version>,
    /// Keys in batches after the checkpoint.
    pub uncheckpointed: Set<Identity>,
    /// Sequence numbers of batches that the checkpoint covers and that still exist.
    pub covered_batches: Vec<u64>,
    /// The last time at which the batch `next_sequence` is known not to have existed.
    proof: Timestamp,
}

impl Log {
    /// Returns whether the proof is recent enough that the batch `next_sequence` cannot have
    /// been created and deleted since.
    pub fn proof_is_recent(&self, wall: &Clock) -> bool {
        self.proof.is_within(PROOF_MAX_AGE, wall)
    }

    /// Moves past `batch`, which has the sequence number `next_sequence`.
    ///
    /// `proof` is a time at which the batch after it is known not to have existed; `None` keeps the
    /// last such time.
    pub fn advance(&mut self, batch: &Batch, proof: Option<Timestamp>) {
        self.next_sequence += 1;
        self.uncheckpointed
            .extend(batch.records.iter().map(|r| Identity(r.id)));
        self.proof = proof.unwrap_or(self.proof);
    }
}

impl<S: Store> LogStore<S> {
    /// Returns the name of the batch `sequence`.
    pub fn batch_name(&self, sequence: u64) -> String {
        format!("claims/{}/{sequence:020}", self.partition)
    }

    /// Returns the name of the checkpoint.
    pub fn checkpoint_name(&self) -> String {
        format!("checkpoints/{}", self.partition)
    }

    /// Reads and parses an object; returns `None` if it does not exist.
    pub async fn get<T: serde::de::DeserializeOwned>(
        &self,
        name: &str,
    ) -> Result<Option<(T, Version)>> {
        Counters::increment(&self.counters.reads);
        let object = match self.with_timeout(self.store.get(name)).await {
            Ok(object) => object,
            Err(store::Error::NotFound { .. }) => return Ok(None),
            Err(source) => return Err(Error::Store { source }),
        };
        let value = serde_json::from_slice(&object.value).context(ContentSnafu { name })?;
        Ok(Some((value, object.version)))
    }

    /// Creates an object.
    pub async fn create(&self, name: &str, value: &[u8]) -> store::Result<Version> {
        Counters::increment(&self.counters.writes);
        self.with_timeout(self.store.create(name, value)).await
    }

    /// Runs `call` with the store timeout; a response that takes longer counts as lost.
    pub async fn with_timeout<T>(
        &self,
        call: impl Future<Output = store::Result<T>>,
    ) -> store::Result<T> {
        let lost = |_| store::Error::ResponseLost {
            why: "no response within the timeout".into(),
        };
        timeout(self.store_timeout, call)
            .await
            .map_err(lost)
            .and_then(|result| result)
    }

    /// Reads the checkpoint and the batches after it.
    pub async fn load(&self) -> Result<(Log, Table)> {
        let mut attempts = 1;
        loop {
            match self.load_once().await {
                Err(Error::Changed) if attempts < MAX_LOAD_ATTEMPTS => attempts += 1,
                other => return other,
            }
        }
    }

    async fn load_once(&self) -> Result<(Log, Table)> {
        let proof = Timestamp::now(&self.wall);
        Counters::increment(&self.counters.reads);
        let prefix = format!("claims/{}/", self.partition);
        // The batches are listed first: a checkpoint that is written in the meantime then
        // covers any batch that is missing from the list.
        let batches = self
            .with_timeout(self.store.list(&prefix))
            .await
            .context(StoreSnafu)?;
        let (checkpoint, checkpoint_version) =
            match self.get::<Checkpoint>(&self.checkpoint_name()).await? {
                Some((checkpoint, version)) => (checkpoint, Some(version)),
                None => (Checkpoint::default(), None),
            };
        let mut table = Table::default();
        table.raise_low_watermark(checkpoint.low_watermark_ms);
        for chunk in checkpoint.segments.chunks(MAX_PARALLEL_READS) {
            let mut reads = Vec::with_capacity(chunk.len());
            for segment in chunk {
                reads.push(self.get::<Batch>(&segment.name));
            }
            for segment in join_all(reads).await {
                let (batch, _) = segment?.context(ChangedSnafu)?;
                table.apply(&batch);
            }
        }
        let mut log = Log {
            next_sequence: checkpoint.sequence + 1,
            checkpoint,
            checkpoint_version,
            uncheckpointed: Set::default(),
            covered_batches: Vec::new(),
            proof,
        };
        for object in &batches {
            let suffix = object.name.strip_prefix(&prefix);
            let Some(sequence) = suffix.and_then(|n| n.parse::<u64>().ok()) else {
                continue;
            };
            if sequence <= log.checkpoint.sequence {
                log.covered_batches.push(sequence);
                continue;
            }
            if sequence != log.next_sequence {
                return Err(Error::Changed);
            }
            let name = &object.name;
            let batch = serde_json::from_slice(&object.value).context(ContentSnafu { name })?;
            table.apply(&batch);
            log.advance(&batch, None);
        }
        Ok((log, table))
    }
}
