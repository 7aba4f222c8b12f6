//! The claim log of a partition in the platform's store.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use rattanmast_model::{
    hash::Set,
    store::{self, Store, Version},
    wall::Wall,
};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::time::{Instant, timeout};

use crate::{
    key::Identity,
    record::{Batch, Head},
    stats::Counters,
    table::Table,
};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the log could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The platform failed.
    #[snafu(display("claim log: {source}"))]
    Store {
        /// What the platform returned.
        source: store::Error,
    },
    /// An object holds something else.
    #[snafu(display("object {name} is not readable ({source}); run hosts of one release"))]
    Content {
        /// The object.
        name: String,
        /// What the parser returned.
        source: serde_json::Error,
    },
    /// Batches were deleted while the log was read.
    #[snafu(display("the claim log changed while it was read; it is read again"))]
    Changed,
}

/// The age of the newest proof of the log's end, up to which a create needs no check.
///
/// Batches are deleted no earlier than [`crate::Settings::keep`] after a checkpoint
/// covers them, six times as long.
const PROOF: Duration = Duration::from_secs(10);

/// Parts of a checkpoint that are read at a time.
const PARALLEL: usize = 8;

/// Times the log is read again because it changed meanwhile.
const READS: u32 = 3;

/// A point in time on both clocks; a paused process may miss it on one of them.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    pub at: Instant,
    pub wall: u64,
}

impl Moment {
    /// Returns the present.
    pub fn now(wall: &Wall) -> Self {
        Self {
            at: Instant::now(),
            wall: wall.now_ms(),
        }
    }

    fn within(self, limit: Duration, wall: &Wall) -> bool {
        let now = wall.now_ms();
        let limit_ms = crate::settings::millis(limit);
        self.at.elapsed() < limit && now >= self.wall && now - self.wall < limit_ms
    }
}

/// Calls to the store for one partition.
#[derive(Debug)]
pub struct Access<S> {
    pub store: S,
    pub partition: u16,
    pub call: Duration,
    pub wall: Wall,
    pub counters: Arc<Counters>,
}

/// The end of the log as this process knows it.
#[derive(Debug)]
pub struct Log {
    /// The sequence number of the next batch.
    pub next: u64,
    /// The checkpoint.
    pub head: Head,
    /// The version of the checkpoint's object.
    pub version: Option<Version>,
    /// Keys in batches after the checkpoint.
    pub touched: Set<Identity>,
    /// Batches that a checkpoint covers.
    pub covered: Vec<u64>,
    /// When the batch `next` is known not to have existed.
    proof: Moment,
}

impl Log {
    /// Tells whether the batch `next` cannot have been created and deleted meanwhile.
    pub fn proven(&self, wall: &Wall) -> bool {
        self.proof.within(PROOF, wall)
    }

    /// Notes that `batch` has the sequence number `next`, since `proof` if that is given.
    pub fn advance(&mut self, batch: &Batch, proof: Option<Moment>) {
        self.next += 1;
        self.touched
            .extend(batch.records.iter().map(|r| Identity(r.id)));
        self.proof = proof.unwrap_or(self.proof);
    }
}

impl<S: Store> Access<S> {
    /// Returns the name of the batch `sequence`.
    pub fn batch(&self, sequence: u64) -> String {
        format!("claims/{}/{sequence:020}", self.partition)
    }

    /// Returns the name of the checkpoint.
    pub fn head(&self) -> String {
        format!("checkpoints/{}", self.partition)
    }

    /// Reads an object, if it exists.
    pub async fn get<T: serde::de::DeserializeOwned>(
        &self,
        name: &str,
    ) -> Result<Option<(T, Version)>> {
        Counters::add(&self.counters.reads);
        let object = match self.limit(self.store.get(name)).await {
            Ok(object) => object,
            Err(store::Error::Missing { .. }) => return Ok(None),
            Err(source) => return Err(Error::Store { source }),
        };
        let value = serde_json::from_slice(&object.value).context(ContentSnafu { name })?;
        Ok(Some((value, object.version)))
    }

    /// Writes a new object.
    pub async fn create(&self, name: &str, value: &[u8]) -> store::Result<Version> {
        Counters::add(&self.counters.writes);
        self.limit(self.store.create(name, value)).await
    }

    /// Runs `call` within the longest wait; an answer that takes longer is lost.
    pub async fn limit<T>(&self, call: impl Future<Output = store::Result<T>>) -> store::Result<T> {
        let lost = |_| store::Error::Lost {
            why: "no answer in time".into(),
        };
        timeout(self.call, call)
            .await
            .map_err(lost)
            .and_then(|result| result)
    }

    /// Reads the checkpoint and the batches after it.
    pub async fn load(&self) -> Result<(Log, Table)> {
        let mut tries = 1;
        loop {
            match self.load_once().await {
                Err(Error::Changed) if tries < READS => tries += 1,
                other => return other,
            }
        }
    }

    async fn load_once(&self) -> Result<(Log, Table)> {
        let proof = Moment::now(&self.wall);
        Counters::add(&self.counters.reads);
        let prefix = format!("claims/{}/", self.partition);
        // The batches are read first: a checkpoint that is written meanwhile covers them.
        let batches = self
            .limit(self.store.list(&prefix))
            .await
            .context(StoreSnafu)?;
        let (head, version) = match self.get::<Head>(&self.head()).await? {
            Some((head, version)) => (head, Some(version)),
            None => (Head::default(), None),
        };
        let mut table = Table::default();
        table.raise(head.low);
        for chunk in head.segments.chunks(PARALLEL) {
            let mut reads = Vec::with_capacity(chunk.len());
            for segment in chunk {
                reads.push(self.get::<Batch>(&segment.name));
            }
            for part in join_all(reads).await {
                let (batch, _) = part?.context(ChangedSnafu)?;
                table.apply(&batch);
            }
        }
        let mut log = Log {
            next: head.sequence + 1,
            head,
            version,
            touched: Set::default(),
            covered: Vec::new(),
            proof,
        };
        for object in &batches {
            let number = object.name.strip_prefix(&prefix);
            let Some(sequence) = number.and_then(|n| n.parse::<u64>().ok()) else {
                continue;
            };
            if sequence <= log.head.sequence {
                log.covered.push(sequence);
                continue;
            }
            if sequence != log.next {
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
