//! The leafs listed by a source, whose entries may expire while the source is unavailable.

use std::time::Duration;

use rattanmast_model::{
    catalog::Leafs,
    hash::Map,
    leaf::{Leaf, Name},
};
use tokio::time::Instant;

/// Time for which missing entries are kept after an outage of the source.
///
/// Live leafs register again within about 2 s after the source is back.
const REANNOUNCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Minimum duration of an outage during which an entry can have expired.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// A leaf, and whether its entry is missing from the source.
#[derive(Debug)]
struct Entry {
    leaf: Leaf,
    missing: bool,
}

/// The leafs that are considered to exist.
#[derive(Debug, Default)]
pub struct Listing {
    entries: Map<Name, Entry>,
    /// The start of the current outage of the source.
    unreachable_since: Option<Instant>,
    /// The time until which missing entries are kept.
    reannounce_deadline: Option<Instant>,
}

impl Listing {
    /// Creates an empty listing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the source does not answer.
    pub fn record_outage(&mut self, now: Instant) {
        self.unreachable_since.get_or_insert(now);
    }

    /// Records that the source answers; returns the duration of the outage that ended, if any.
    pub fn record_recovery(&mut self, now: Instant) -> Option<Duration> {
        let outage = now.saturating_duration_since(self.unreachable_since.take()?);
        if outage >= MIN_OUTAGE {
            self.reannounce_deadline = Some(now + REANNOUNCE_TIMEOUT);
        }
        Some(outage)
    }

    /// Returns whether the source is available, as last recorded.
    pub fn is_current(&self) -> bool {
        self.unreachable_since.is_none()
    }

    /// Replaces the list by `leafs`; other entries become missing.
    pub fn replace(&mut self, leafs: Vec<Leaf>, now: Instant) {
        self.entries
            .values_mut()
            .for_each(|entry| entry.missing = true);
        for leaf in leafs {
            self.put(leaf);
        }
        self.drop_expired(now);
    }

    /// Adds or replaces the entry of one leaf.
    pub fn put(&mut self, leaf: Leaf) {
        let entry = Entry {
            leaf,
            missing: false,
        };
        self.entries.insert(entry.leaf.name.clone(), entry);
    }

    /// Records that the source removed the entry of `name`.
    pub fn remove(&mut self, name: &str, now: Instant) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing = true;
        }
        self.drop_expired(now);
    }

    /// Drops missing entries once they are no longer kept; returns their names.
    pub fn drop_expired(&mut self, now: Instant) -> Vec<Name> {
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

    /// Returns the time at which to call [`Listing::drop_expired`], if entries may be kept until
    /// then.
    pub fn deadline(&self) -> Option<Instant> {
        self.reannounce_deadline
    }

    /// Returns the leafs, sorted by name.
    pub fn leafs(&self) -> Leafs {
        let mut leafs: Vec<_> = self.entries.values().map(|e| e.leaf.clone()).collect();
        leafs.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        Leafs { leafs }
    }
}
