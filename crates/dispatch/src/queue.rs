//! The queued requests of one service.

use std::{collections::BTreeMap, ops::Bound};

use rattanmast_model::rank::Rank;
use tokio::time::Instant;

/// The position of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    lane: usize,
    sort_key: Instant,
    sequence: u64,
}

/// A queued request.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    pub(crate) rank: Rank,
    /// Bit set of the replicas that may take it.
    pub(crate) eligible: u64,
    pub(crate) grant_tx: T,
}

/// The queued requests of one service, in lanes.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    lanes: [BTreeMap<Key, Entry<T>>; 3],
    lengths: [u32; 3],
    next: u64,
}

impl<T> Queue<T> {
    pub(crate) fn new() -> Self {
        Self {
            lanes: std::array::from_fn(|_| BTreeMap::new()),
            lengths: [0; 3],
            next: 0,
        }
    }

    pub(crate) fn push(&mut self, lane: usize, sort_key: Instant, entry: Entry<T>) -> Key {
        let sequence = self.next;
        self.next += 1;
        let key = Key {
            lane,
            sort_key,
            sequence,
        };
        self.lengths[entry.rank.index()] += 1;
        self.lanes[lane].insert(key, entry);
        key
    }

    pub(crate) fn remove(&mut self, key: Key) -> Option<Entry<T>> {
        let entry = self.lanes[key.lane].remove(&key)?;
        self.lengths[entry.rank.index()] -= 1;
        Some(entry)
    }

    /// Removes and returns all requests.
    pub(crate) fn clear(&mut self) -> impl Iterator<Item = Entry<T>> + use<T> {
        self.lengths = [0; 3];
        let lanes = std::mem::replace(&mut self.lanes, std::array::from_fn(|_| BTreeMap::new()));
        lanes.into_iter().flat_map(BTreeMap::into_values)
    }

    /// Returns the first request of `lane` after `key`, and the replicas that may take it.
    pub(crate) fn after(&self, lane: usize, key: Option<Key>) -> Option<(Key, u64)> {
        let from = key.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.lanes[lane].range((from, Bound::Unbounded));
        rest.next().map(|(key, entry)| (*key, entry.eligible))
    }

    /// Returns the number of queued requests by rank.
    pub(crate) fn lengths(&self) -> [u32; 3] {
        self.lengths
    }

    pub(crate) fn len(&self) -> u32 {
        self.lengths.iter().sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
