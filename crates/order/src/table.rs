//! The keys of a partition, rebuilt from the log.

use std::collections::BTreeMap;

use rattanmast_model::hash::Map;

use crate::{
    key::Identity,
    record::{Batch, Holder, Record, State},
};

/// The newest claim of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub time_ms: u64,
    pub digest: u64,
    pub attempt: u32,
    pub nonce: u64,
    holder_index: u32,
    pub state: State,
}

/// The replayed log of a partition.
#[derive(Debug, Default)]
pub struct Table {
    entries: Map<Identity, Entry>,
    holders: Vec<Holder>,
    holder_indexes: Map<Holder, u32>,
    /// Keys by the second of their time, to expire them in order.
    by_second: BTreeMap<u64, Vec<Identity>>,
    /// Keys older than this are refused; never decreases.
    pub low_watermark_ms: u64,
    /// Newest time in a key.
    pub newest_ms: u64,
}

impl Table {
    /// Returns the newest claim of `id`.
    pub fn get(&self, id: Identity) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// Returns the holder of `entry`.
    pub fn holder(&self, entry: &Entry) -> &Holder {
        &self.holders[entry.holder_index as usize]
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Applies the records of `batch`; batches must be applied in log order.
    pub fn apply(&mut self, batch: &Batch) {
        for record in &batch.records {
            if let Some(holder) = batch.holders.get(record.holder_index as usize) {
                self.insert(record, holder);
            }
        }
        self.raise_low_watermark(batch.low_watermark_ms);
    }

    fn insert(&mut self, record: &Record, holder: &Holder) {
        let id = Identity(record.id);
        if let Some(entry) = self
            .entries
            .get_mut(&id)
            .filter(|e| e.nonce == record.nonce)
        {
            if entry.state == State::Open {
                entry.state = record.state.clone();
            }
            return;
        }
        // The outcome of a claim has the attempt 0 and changes only that claim.
        let current = self.entries.get(&id);
        let is_newer = match current {
            Some(entry) => record.attempt > entry.attempt,
            None => record.attempt > 0 && record.time_ms >= self.low_watermark_ms,
        };
        if !is_newer {
            return;
        }
        if current.is_none() {
            self.by_second
                .entry(record.time_ms / 1000)
                .or_default()
                .push(id);
        }
        self.newest_ms = self.newest_ms.max(record.time_ms);
        let holder_index = self.intern_holder(holder);
        let entry = Entry {
            time_ms: record.time_ms,
            digest: record.digest,
            attempt: record.attempt,
            nonce: record.nonce,
            holder_index,
            state: record.state.clone(),
        };
        self.entries.insert(id, entry);
    }

    fn intern_holder(&mut self, holder: &Holder) -> u32 {
        if let Some(index) = self.holder_indexes.get(holder) {
            return *index;
        }
        let index = u32::try_from(self.holders.len()).unwrap_or(u32::MAX);
        self.holders.push(holder.clone());
        self.holder_indexes.insert(holder.clone(), index);
        index
    }

    /// Raises the low watermark to `low_ms` and expires older keys.
    pub fn raise_low_watermark(&mut self, low_ms: u64) {
        self.low_watermark_ms = self.low_watermark_ms.max(low_ms);
        // The keys of a second expire together, when all of it is below the watermark.
        while let Some(second) = self.by_second.first_entry() {
            if (second.key() + 1) * 1000 > self.low_watermark_ms {
                break;
            }
            for id in second.remove() {
                self.entries.remove(&id);
            }
        }
    }

    /// Returns the records of `ids` with their holders, for a checkpoint.
    pub fn records(&self, ids: impl Iterator<Item = Identity>) -> Vec<(Record, Holder)> {
        ids.filter_map(|id| {
            let entry = self.entries.get(&id)?;
            let record = Record {
                id: id.0,
                time_ms: entry.time_ms,
                digest: entry.digest,
                attempt: entry.attempt,
                nonce: entry.nonce,
                holder_index: 0,
                state: entry.state.clone(),
            };
            Some((record, self.holder(entry).clone()))
        })
        .collect()
    }
}
