//! The keys of a partition, as the log holds them.

use std::collections::BTreeMap;

use rattanmast_model::hash::Map;

use crate::{
    key::Identity,
    record::{Batch, Holder, Record, State},
};

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub ms: u64,
    pub digest: u64,
    pub attempt: u32,
    pub nonce: u64,
    holder: u32,
    pub state: State,
}

/// The replayed log of a partition.
#[derive(Debug, Default)]
pub struct Table {
    entries: Map<Identity, Entry>,
    holders: Vec<Holder>,
    positions: Map<Holder, u32>,
    /// Keys by the second of their time, to forget them in order.
    by_time: BTreeMap<u64, Vec<Identity>>,
    /// Keys older than this are refused; it only increases.
    pub low: u64,
    /// The newest time in a key.
    pub newest: u64,
}

impl Table {
    /// Returns what is known of `id`.
    pub fn get(&self, id: Identity) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// Returns the holder of `entry`.
    pub fn holder(&self, entry: &Entry) -> &Holder {
        &self.holders[entry.holder as usize]
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Applies the records of `batch`, which follows what was applied before.
    pub fn apply(&mut self, batch: &Batch) {
        for record in &batch.records {
            if let Some(holder) = batch.holders.get(record.holder as usize) {
                self.insert(record, holder);
            }
        }
        self.raise(batch.low);
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
        // The outcome of a claim has the attempt 0 and changes nothing but that claim.
        let current = self.entries.get(&id);
        let later = match current {
            Some(entry) => record.attempt > entry.attempt,
            None => record.attempt > 0 && record.ms >= self.low,
        };
        if !later {
            return;
        }
        if current.is_none() {
            self.by_time.entry(record.ms / 1000).or_default().push(id);
        }
        self.newest = self.newest.max(record.ms);
        let holder = self.intern(holder);
        let entry = Entry {
            ms: record.ms,
            digest: record.digest,
            attempt: record.attempt,
            nonce: record.nonce,
            holder,
            state: record.state.clone(),
        };
        self.entries.insert(id, entry);
    }

    fn intern(&mut self, holder: &Holder) -> u32 {
        if let Some(position) = self.positions.get(holder) {
            return *position;
        }
        let position = u32::try_from(self.holders.len()).unwrap_or(u32::MAX);
        self.holders.push(holder.clone());
        self.positions.insert(holder.clone(), position);
        position
    }

    /// Raises the low watermark to `low` and forgets older keys.
    pub fn raise(&mut self, low: u64) {
        self.low = self.low.max(low);
        // A second is forgotten when all of it is below the watermark.
        while let Some(second) = self.by_time.first_entry() {
            if (second.key() + 1) * 1000 > self.low {
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
                ms: entry.ms,
                digest: entry.digest,
                attempt: entry.attempt,
                nonce: entry.nonce,
                holder: 0,
                state: entry.state.clone(),
            };
            Some((record, self.holder(entry).clone()))
        })
        .collect()
    }
}
