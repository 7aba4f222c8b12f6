//! The leafs that a source lists, where entries may lapse while the source itself is away.

use std::time::Duration;

use rattanmast_model::{
    catalog::Leafs,
    hash::Map,
    leaf::{Leaf, Name},
};
use tokio::time::Instant;

/// Time for which entries that lapsed during an outage of the source are waited for.
///
/// Leafs that live announce themselves again within about 2 s of the source's return.
const REANNOUNCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The shortest outage in which an entry can have lapsed.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// A leaf, and since when its entry is gone.
#[derive(Debug)]
struct Entry {
    leaf: Leaf,
    missing: bool,
}

/// The leafs that are believed to exist.
#[derive(Debug, Default)]
pub struct Listing {
    entries: Map<Name, Entry>,
    /// Since when the source does not answer.
    unreachable_since: Option<Instant>,
    /// Until when a missing entry may come back.
    reannounce_deadline: Option<Instant>,
}

impl Listing {
    /// Returns a listing without leafs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the source does not answer.
    pub fn lose(&mut self, now: Instant) {
        self.unreachable_since.get_or_insert(now);
    }

    /// Notes that the source answers; returns how long it did not.
    pub fn find(&mut self, now: Instant) -> Option<Duration> {
        let outage = now.saturating_duration_since(self.unreachable_since.take()?);
        if outage >= MIN_OUTAGE {
            self.reannounce_deadline = Some(now + REANNOUNCE_TIMEOUT);
        }
        Some(outage)
    }

    /// Tells whether the source answered when it was last asked.
    pub fn is_current(&self) -> bool {
        self.unreachable_since.is_none()
    }

    /// Takes the whole list.
    pub fn replace(&mut self, leafs: Vec<Leaf>, now: Instant) {
        self.entries
            .values_mut()
            .for_each(|entry| entry.missing = true);
        for leaf in leafs {
            self.put(leaf);
        }
        self.settle(now);
    }

    /// Takes one entry.
    pub fn put(&mut self, leaf: Leaf) {
        let entry = Entry {
            leaf,
            missing: false,
        };
        self.entries.insert(entry.leaf.name.clone(), entry);
    }

    /// Notes that the entry of `name` is gone.
    pub fn remove(&mut self, name: &str, now: Instant) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing = true;
        }
        self.settle(now);
    }

    /// Drops the leafs that are gone for good; returns their names.
    pub fn settle(&mut self, now: Instant) -> Vec<Name> {
        if self.unreachable_since.is_some()
            || self.reannounce_deadline.is_some_and(|until| now < until)
        {
            return Vec::new();
        }
        self.reannounce_deadline = None;
        let gone: Vec<_> = (self.entries.iter())
            .filter(|(_, entry)| entry.missing)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.entries.remove(name);
        }
        gone
    }

    /// Returns when missing entries are given up, if any are waited for.
    pub fn due(&self) -> Option<Instant> {
        self.reannounce_deadline
    }

    /// Returns the leafs, in ascending order of name.
    pub fn leafs(&self) -> Leafs {
        let mut leafs: Vec<_> = self.entries.values().map(|e| e.leaf.clone()).collect();
        leafs.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        Leafs { leafs }
    }
}
