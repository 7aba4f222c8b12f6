//! Compacts batches into a checkpoint, and deletes the objects that it replaces.

use std::sync::Arc;

use rand::Rng;
use rattanmast_model::{
    hash::Map,
    store::{self, Store, Version},
};
use tokio::{
    task::JoinHandle,
    time::{Duration, sleep},
};

use super::{Partition, lock};
use crate::{
    claim_log::LogStore,
    key::Identity,
    record::{Batch, Checkpoint, Holder, MAX_OBJECT_BYTES, Record, Segment},
    stats::Counters,
};

/// Interval between two deletions, to leave the platform's request rate to claims.
const DELETE_INTERVAL: Duration = Duration::from_millis(40);

/// A compaction that is running.
#[derive(Debug)]
pub struct Compaction {
    /// Keys that were changed since the last checkpoint.
    keys: Vec<Identity>,
    task: JoinHandle<Option<(Checkpoint, Version)>>,
}

/// Content of a checkpoint that is to be written.
struct CheckpointDraft {
    /// Sequence number of the last batch that the checkpoint covers.
    sequence: u64,
    low_watermark_ms: u64,
    segments: Vec<Batch>,
    /// Random number in the segments' names, so that two claimers never write the same object.
    nonce: u64,
    delete_delay: Duration,
}

impl<S: Store> Partition<S> {
    /// Takes over the result of a compaction that has ended, and starts the next one after
    /// enough batches.
    pub(super) async fn run_compaction(&mut self) {
        if let Some(compaction) = self.compaction.take_if(|c| c.task.is_finished()) {
            let result = compaction.task.await.ok().flatten();
            match (result, self.log.as_mut()) {
                (Some((checkpoint, version)), Some(log))
                    if checkpoint.sequence >= log.checkpoint.sequence =>
                {
                    log.checkpoint = checkpoint;
                    log.checkpoint_version = Some(version);
                }
                (_, Some(log)) => log.uncheckpointed.extend(compaction.keys),
                _ => {}
            }
        }
        let Some(log) = self.log.as_mut().filter(|_| self.compaction.is_none()) else {
            return;
        };
        if log.next_sequence - 1 - log.checkpoint.sequence.min(log.next_sequence - 1)
            < self.settings.checkpoint_batches
        {
            return;
        }
        let keys: Vec<Identity> = std::mem::take(&mut log.uncheckpointed)
            .into_iter()
            .collect();
        let table = lock(&self.table);
        let Some(table) = table.as_ref() else {
            return;
        };
        let draft = CheckpointDraft {
            sequence: log.next_sequence - 1,
            low_watermark_ms: table.low_watermark_ms,
            segments: split_into_segments(table.records(keys.iter().copied())),
            nonce: self.rng.random(),
            delete_delay: self.settings.delete_delay,
        };
        let task = tokio::spawn(compact(Arc::clone(&self.client), draft));
        self.compaction = Some(Compaction { keys, task });
    }

    /// Deletes the batches that a checkpoint already covered when the log was read.
    pub(super) fn delete_covered_batches(&mut self) {
        let Some(log) = self.log.as_mut() else {
            return;
        };
        let covered = std::mem::take(&mut log.covered_batches);
        let names = covered
            .into_iter()
            .map(|s| self.client.batch_name(s))
            .collect();
        let delete_delay = self.settings.delete_delay;
        tokio::spawn(delete_after(Arc::clone(&self.client), names, delete_delay));
    }
}

/// Distributes records over objects within the platform's size limit.
fn split_into_segments(records: Vec<(Record, Holder)>) -> Vec<Batch> {
    let mut segments: Vec<Batch> = Vec::new();
    let mut holder_indexes: Map<Holder, u32> = Map::default();
    let mut segment_bytes = MAX_OBJECT_BYTES;
    for (mut record, holder) in records {
        if segment_bytes + record.max_bytes() > MAX_OBJECT_BYTES {
            segments.push(Batch::default());
            holder_indexes.clear();
            segment_bytes = 0;
        }
        segment_bytes += record.max_bytes();
        let Some(segment) = segments.last_mut() else {
            continue;
        };
        let holders = &mut segment.holders;
        record.holder_index = *holder_indexes.entry(holder).or_insert_with_key(|holder| {
            holders.push(holder.clone());
            u32::try_from(holders.len() - 1).unwrap_or(u32::MAX)
        });
        segment.records.push(record);
    }
    segments
}

/// Writes the segments, then the checkpoint that refers to them.
///
/// The checkpoint is updated only if it still has the version that was read, so one of two
/// concurrent claimers fails.
async fn compact<S: Store>(
    client: Arc<LogStore<S>>,
    draft: CheckpointDraft,
) -> Option<(Checkpoint, Version)> {
    let found = client
        .get::<Checkpoint>(&client.checkpoint_name())
        .await
        .ok()?;
    let (previous, version) = found.map_or((Checkpoint::default(), None), |(c, v)| (c, Some(v)));
    if previous.sequence >= draft.sequence {
        return version.map(|version| (previous, version));
    }
    let (kept, expired): (Vec<_>, Vec<_>) = previous
        .segments
        .into_iter()
        .partition(|s| s.newest_ms >= draft.low_watermark_ms);
    let mut checkpoint = Checkpoint {
        sequence: draft.sequence,
        low_watermark_ms: draft.low_watermark_ms,
        segments: kept,
    };
    let mut written = Vec::new();
    for (index, segment) in draft.segments.iter().enumerate() {
        let name = format!(
            "{}/{:020}-{:016x}-{index}",
            client.checkpoint_name(),
            draft.sequence,
            draft.nonce
        );
        let bytes = serde_json::to_vec(segment).ok()?;
        client.create(&name, &bytes).await.ok()?;
        let newest_ms = segment.records.iter().map(|r| r.time_ms).max().unwrap_or(0);
        written.push(name.clone());
        checkpoint.segments.push(Segment { name, newest_ms });
    }
    let Some(new_version) = write_checkpoint(&client, &checkpoint, version).await else {
        // An update without a response may still take effect until the checkpoint has
        // another version, so the segments are deleted only then.
        match client.get::<Checkpoint>(&client.checkpoint_name()).await {
            Ok(Some((current, current_version))) if Some(current_version) != version => {
                written.retain(|name| !current.segments.iter().any(|s| s.name == *name));
                tokio::spawn(delete_after(client, written, draft.delete_delay));
            }
            _ => {}
        }
        return None;
    };
    let covered = previous.sequence + 1..=draft.sequence;
    let names = covered.map(|sequence| client.batch_name(sequence));
    let names = names.chain(expired.into_iter().map(|s| s.name)).collect();
    tokio::spawn(delete_after(client, names, draft.delete_delay));
    Some((checkpoint, new_version))
}

/// Replaces the checkpoint if it still has the version `version`; `None` creates it. Returns the
/// new version, or `None` if the write failed.
async fn write_checkpoint<S: Store>(
    client: &LogStore<S>,
    checkpoint: &Checkpoint,
    version: Option<Version>,
) -> Option<Version> {
    let bytes = serde_json::to_vec(checkpoint).ok()?;
    let name = client.checkpoint_name();
    let result = match version {
        None => client.create(&name, &bytes).await,
        Some(version) => {
            Counters::increment(&client.counters.writes);
            client
                .with_timeout(client.store.update(&name, version, &bytes))
                .await
        }
    };
    match result {
        Ok(version) => Some(version),
        Err(store::Error::ResponseLost { .. }) => {
            let (current, version) = client.get::<Checkpoint>(&name).await.ok()??;
            (current == *checkpoint).then_some(version)
        }
        Err(_) => None,
    }
}

/// Deletes objects after `delete_delay`, during which a paused claimer may still refer to them.
async fn delete_after<S: Store>(
    client: Arc<LogStore<S>>,
    names: Vec<String>,
    delete_delay: Duration,
) {
    sleep(delete_delay).await;
    for name in names {
        Counters::increment(&client.counters.deletes);
        // A batch whose deletion fails is deleted after the next full read of the log.
        let _ = client.with_timeout(client.store.delete(&name)).await;
        sleep(DELETE_INTERVAL).await;
    }
}
