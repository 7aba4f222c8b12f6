//! Merges batches into a checkpoint, and deletes what a checkpoint covers.

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
    key::Identity,
    log::Access,
    record::{Batch, Head, Holder, OBJECT_LIMIT, Record, Segment},
    stats::Counters,
};

/// Time between two deletions, to leave the platform's rates to claims.
const PACE: Duration = Duration::from_millis(40);

/// A checkpoint in the making.
#[derive(Debug)]
pub struct Merge {
    /// The keys that it covers.
    touched: Vec<Identity>,
    task: JoinHandle<Option<(Head, Version)>>,
}

/// What goes into a checkpoint.
struct Plan {
    /// The last batch that is covered.
    sequence: u64,
    low: u64,
    parts: Vec<Batch>,
    /// Part of the names of the objects, so that two claimers do not write the same one.
    nonce: u64,
    keep: Duration,
}

impl<S: Store> Partition<S> {
    /// Starts a checkpoint after enough batches, and takes up the result of the last one.
    pub(super) async fn checkpoint(&mut self) {
        if let Some(merge) = self.merge.take_if(|m| m.task.is_finished()) {
            let result = merge.task.await.ok().flatten();
            match (result, self.log.as_mut()) {
                (Some((head, version)), Some(log)) if head.sequence >= log.head.sequence => {
                    log.head = head;
                    log.version = Some(version);
                }
                (_, Some(log)) => log.touched.extend(merge.touched),
                _ => {}
            }
        }
        let Some(log) = self.log.as_mut().filter(|_| self.merge.is_none()) else {
            return;
        };
        if log.next - 1 - log.head.sequence.min(log.next - 1) < self.settings.checkpoint {
            return;
        }
        let touched: Vec<Identity> = std::mem::take(&mut log.touched).into_iter().collect();
        let table = lock(&self.table);
        let Some(table) = table.as_ref() else {
            return;
        };
        let plan = Plan {
            sequence: log.next - 1,
            low: table.low,
            parts: split(table.records(touched.iter().copied())),
            nonce: self.rng.random(),
            keep: self.settings.keep,
        };
        let task = tokio::spawn(merge(Arc::clone(&self.access), plan));
        self.merge = Some(Merge { touched, task });
    }

    /// Deletes the batches that were covered by a checkpoint when the log was read.
    pub(super) fn sweep_covered(&mut self) {
        let Some(log) = self.log.as_mut() else {
            return;
        };
        let covered = std::mem::take(&mut log.covered);
        let names = covered.into_iter().map(|s| self.access.batch(s)).collect();
        let keep = self.settings.keep;
        tokio::spawn(sweep(Arc::clone(&self.access), names, keep));
    }
}

/// Distributes records to objects within the platform's limit.
fn split(records: Vec<(Record, Holder)>) -> Vec<Batch> {
    let mut parts: Vec<Batch> = Vec::new();
    let mut positions: Map<Holder, u32> = Map::default();
    let mut size = OBJECT_LIMIT;
    for (mut record, holder) in records {
        if size + record.size() > OBJECT_LIMIT {
            parts.push(Batch::default());
            positions.clear();
            size = 0;
        }
        size += record.size();
        let Some(part) = parts.last_mut() else {
            continue;
        };
        let holders = &mut part.holders;
        record.holder = *positions.entry(holder).or_insert_with_key(|holder| {
            holders.push(holder.clone());
            u32::try_from(holders.len() - 1).unwrap_or(u32::MAX)
        });
        part.records.push(record);
    }
    parts
}

/// Writes the parts, then the head that refers to them.
///
/// The head is updated on the version that was read, so of two claimers one wins.
async fn merge<S: Store>(access: Arc<Access<S>>, plan: Plan) -> Option<(Head, Version)> {
    let found = access.get::<Head>(&access.head()).await.ok()?;
    let (old, version) = found.map_or((Head::default(), None), |(h, v)| (h, Some(v)));
    if old.sequence >= plan.sequence {
        return version.map(|version| (old, version));
    }
    let (kept, expired): (Vec<_>, Vec<_>) =
        old.segments.into_iter().partition(|s| s.newest >= plan.low);
    let mut head = Head {
        sequence: plan.sequence,
        low: plan.low,
        segments: kept,
    };
    let mut written = Vec::new();
    for (index, part) in plan.parts.iter().enumerate() {
        let name = format!(
            "{}/{:020}-{:016x}-{index}",
            access.head(),
            plan.sequence,
            plan.nonce
        );
        let bytes = serde_json::to_vec(part).ok()?;
        access.create(&name, &bytes).await.ok()?;
        let newest = part.records.iter().map(|r| r.ms).max().unwrap_or(0);
        written.push(name.clone());
        head.segments.push(Segment { name, newest });
    }
    let Some(new) = replace(&access, &head, version).await else {
        // A lost update may still take effect until the head has another version.
        match access.get::<Head>(&access.head()).await {
            Ok(Some((current, now))) if Some(now) != version => {
                written.retain(|name| !current.segments.iter().any(|s| s.name == *name));
                tokio::spawn(sweep(access, written, plan.keep));
            }
            _ => {}
        }
        return None;
    };
    let covered = old.sequence + 1..=plan.sequence;
    let names = covered.map(|sequence| access.batch(sequence));
    let names = names.chain(expired.into_iter().map(|s| s.name)).collect();
    tokio::spawn(sweep(access, names, plan.keep));
    Some((head, new))
}

/// Puts `head` in the place of the version that was read.
async fn replace<S: Store>(
    access: &Access<S>,
    head: &Head,
    version: Option<Version>,
) -> Option<Version> {
    let bytes = serde_json::to_vec(head).ok()?;
    let name = access.head();
    let result = match version {
        None => access.create(&name, &bytes).await,
        Some(version) => {
            Counters::add(&access.counters.writes);
            access
                .limit(access.store.update(&name, version, &bytes))
                .await
        }
    };
    match result {
        Ok(version) => Some(version),
        Err(store::Error::Lost { .. }) => {
            let (current, version) = access.get::<Head>(&name).await.ok()??;
            (current == *head).then_some(version)
        }
        Err(_) => None,
    }
}

/// Deletes objects, after a time in which a paused claimer may still refer to them.
async fn sweep<S: Store>(access: Arc<Access<S>>, names: Vec<String>, keep: Duration) {
    sleep(keep).await;
    for name in names {
        Counters::add(&access.counters.deletes);
        // An object that stays is deleted when the log is next read as a whole.
        let _ = access.limit(access.store.delete(&name)).await;
        sleep(PACE).await;
    }
}
