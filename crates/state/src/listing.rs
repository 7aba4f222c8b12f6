//! The leafs that are considered to exist.
//!
//! Entries may be missing from the list for a reason that has nothing to do with their leafs: they
//! expire during an outage of the source, and a source that is restored from a copy lacks what was
//! written since, until it is written again. Such a copy may also contain entries of leafs that have
//! left meanwhile.

use std::time::Duration;

use rattanmast_model::{
    catalog::Leafs,
    hash::{Map, Set},
    host::{Incarnation, State},
    leaf::{Leaf, Name},
};
use tokio::time::Instant;

use crate::availability::Availability;

/// Time for which the source has to be available after an outage or a restore before entries that are
/// missing then are dropped.
///
/// Live leafs register again within about 2 s after the source is back.
const REANNOUNCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Minimum duration of an outage during which an entry can have expired.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// Time after a restore of the source within which all that it lost is written again, and entries of
/// leafs that are gone have expired.
pub const RESTORE_SETTLE_TIME: Duration = Duration::from_secs(5);

/// Time for which a removed leaf is remembered, which covers the age of a copy.
const REMOVAL_MEMORY: Duration = Duration::from_mins(1);

/// A leaf, and how its entry differs from what is known otherwise.
#[derive(Debug)]
struct Entry {
    leaf: Leaf,
    /// Until when the entry is kept although it is missing from the source; `None` if it is not missing.
    missing: Option<Missing>,
    /// Whether the leaf had reported that it is leaving, or was removed, before the source was
    /// restored from a copy that lists it as live.
    reverted: bool,
}

/// How long a missing entry is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    /// Until the source has been available for this time in total.
    Until(Duration),
    /// For the outage that lasts; how long after it depends on its duration.
    Outage,
}

/// The leafs that are considered to exist.
#[derive(Debug, Default)]
pub struct Listing {
    entries: Map<Name, Entry>,
    /// The leafs that were removed in the last minute: when, and which process of the leaf.
    removed: Map<Name, (Instant, Incarnation)>,
    availability: Availability,
    /// The availability up to which entries that go missing are kept, because leafs register again.
    reannounce_end: Duration,
    /// The time until which entries may be those of an older copy.
    settle_deadline: Option<Instant>,
}

impl Listing {
    /// Creates an empty listing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the source does not answer.
    pub fn record_outage(&mut self, now: Instant) {
        self.availability.record_outage(now);
    }

    /// Records that the source answers; returns the duration of the outage that ended, if any.
    pub fn record_recovery(&mut self, now: Instant) -> Option<Duration> {
        let outage = self.availability.record_recovery(now)?;
        let kept_until = match outage >= MIN_OUTAGE {
            true => self.start_reannouncement(now),
            false => self.reannounce_end,
        };
        // After a short outage, entries that were missing before are not kept for longer: their leafs
        // have had the time in which the source was available since.
        let is_long = outage >= REANNOUNCE_TIMEOUT;
        for entry in self.entries.values_mut() {
            entry.missing = match entry.missing {
                Some(Missing::Until(end)) if !is_long => Some(Missing::Until(end)),
                Some(_) => Some(Missing::Until(kept_until)),
                None => None,
            };
        }
        Some(outage)
    }

    /// Starts the time in which leafs register again; returns the availability at its end.
    fn start_reannouncement(&mut self, now: Instant) -> Duration {
        self.reannounce_end = self.availability.total(now) + REANNOUNCE_TIMEOUT;
        self.reannounce_end
    }

    /// Records that the source was restored from a copy.
    pub fn record_restore(&mut self, now: Instant) {
        self.start_reannouncement(now);
        self.settle_deadline = Some(now + RESTORE_SETTLE_TIME);
    }

    /// Returns whether the source is available, as last recorded.
    pub fn is_current(&self) -> bool {
        self.availability.is_available()
    }

    /// Returns how long an entry is kept that goes missing now.
    fn missing_from_now(&self) -> Missing {
        match self.is_current() {
            true => Missing::Until(self.reannounce_end),
            false => Missing::Outage,
        }
    }

    /// Returns the number of leafs that are kept although the source does not list them.
    pub fn missing(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.missing.is_some())
            .count()
    }

    /// Replaces the list by `leafs`; other entries become missing.
    pub fn replace(&mut self, leafs: Vec<Leaf>, now: Instant) {
        let missing = self.missing_from_now();
        let listed: Set<Name> = leafs.iter().map(|leaf| leaf.name.clone()).collect();
        for (name, entry) in &mut self.entries {
            if !listed.contains(name) {
                entry.missing.get_or_insert(missing);
            }
        }
        for leaf in leafs {
            self.put(leaf);
        }
        self.drop_expired(now);
    }

    /// Adds or replaces the entry of one leaf.
    pub fn put(&mut self, leaf: Leaf) {
        let is_same = |lifetime| leaf.lifetime <= lifetime;
        let known = self.entries.get(&leaf.name);
        let was_leaving = known.is_some_and(|e| {
            (e.reverted || e.leaf.state == State::Leaving) && is_same(e.leaf.lifetime)
        });
        let removed = self.removed.remove(&leaf.name);
        let had_left = removed.is_some_and(|(_, lifetime)| is_same(lifetime));
        let reverted = self.settle_deadline.is_some()
            && leaf.state == State::Live
            && (was_leaving || had_left);
        let entry = Entry {
            leaf,
            missing: None,
            reverted,
        };
        self.entries.insert(entry.leaf.name.clone(), entry);
    }

    /// Records that the source removed the entry of `name`.
    pub fn remove(&mut self, name: &str, now: Instant) {
        let missing = self.missing_from_now();
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing.get_or_insert(missing);
        }
        self.drop_expired(now);
    }

    /// Drops missing entries once they are no longer kept, and accepts entries of a restored source
    /// once it has settled; returns the names of the dropped entries.
    pub fn drop_expired(&mut self, now: Instant) -> Vec<Name> {
        if self.settle_deadline.is_some_and(|until| until <= now) {
            self.settle_deadline = None;
            self.entries.values_mut().for_each(|e| e.reverted = false);
        }
        self.availability.record_answer(now);
        let available = self.availability.total(now);
        let is_expired = |missing| match missing {
            Missing::Until(end) => end <= available,
            Missing::Outage => false,
        };
        let gone: Vec<_> = (self.entries.iter())
            .filter(|(_, entry)| entry.missing.is_some_and(is_expired))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            if let Some(entry) = self.entries.remove(name) {
                let removed = (now, entry.leaf.lifetime);
                self.removed.insert(name.clone(), removed);
            }
        }
        self.removed.retain(|_, (at, _)| now < *at + REMOVAL_MEMORY);
        gone
    }

    /// Returns the time at which to call [`Listing::drop_expired`], if entries may be kept until
    /// then.
    pub fn deadline(&self) -> Option<Instant> {
        let missing = self.entries.values().filter_map(|entry| entry.missing);
        let ends = missing.filter_map(|missing| match missing {
            Missing::Until(end) => self.availability.time_of(end),
            Missing::Outage => None,
        });
        ends.chain(self.settle_deadline).min()
    }

    /// Returns the leafs, sorted by name.
    pub fn leafs(&self) -> Leafs {
        let leaf = |entry: &Entry| match entry.reverted {
            true => Leaf {
                state: State::Leaving,
                ..entry.leaf.clone()
            },
            false => entry.leaf.clone(),
        };
        let mut leafs: Vec<_> = self.entries.values().map(leaf).collect();
        leafs.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        Leafs { leafs }
    }
}
