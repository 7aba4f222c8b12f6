//! Leafs that announced that they are leaving.

use std::time::Duration;

use rattanmast_model::{
    exchange::{Leaving, MAX_RUMORS},
    hash::Map,
    leaf::Name,
};
use tokio::time::Instant;

/// Time after its last announcement for which a leaf is considered to be leaving.
///
/// By then it has stopped, or a new leaf with the same name has replaced it.
pub const LEAVING_TTL: Duration = Duration::from_secs(60);

/// Minimum time after the last announcement, published or not, before another is published again.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(20);

/// Number of digests that carry each announcement.
const DIGESTS_PER_ANNOUNCEMENT: u32 = 24;

/// Maximum number of leaving leafs to remember.
const MAX_LEAVING_LEAFS: usize = 4096;

/// The leaving leafs that this host knows.
#[derive(Debug, Default)]
pub struct LeavingLeafs {
    /// The time of the last announcement, and the number of digests left to carry it.
    leafs: Map<Name, (Instant, u32)>,
}

impl LeavingLeafs {
    /// Records that `leaf` was leaving at `at`; returns whether peers should be notified.
    pub fn record(&mut self, leaf: &Name, at: Instant, now: Instant) -> bool {
        if now.duration_since(at) >= LEAVING_TTL {
            return false;
        }
        if let Some(entry) = self.leafs.get_mut(leaf) {
            let changed = at > entry.0 + REPUBLISH_INTERVAL;
            entry.0 = entry.0.max(at);
            if changed {
                entry.1 = DIGESTS_PER_ANNOUNCEMENT;
            }
            return changed;
        }
        self.leafs
            .retain(|_, e| now.duration_since(e.0) < LEAVING_TTL);
        let room = self.leafs.len() < MAX_LEAVING_LEAFS;
        if room {
            self.leafs
                .insert(leaf.clone(), (at, DIGESTS_PER_ANNOUNCEMENT));
        }
        room
    }

    /// Merges the announcements of a peer; returns whether peers should be notified.
    pub fn merge(&mut self, received: &[Leaving], now: Instant) -> bool {
        let mut changed = false;
        for leaving in received.iter().take(MAX_RUMORS) {
            let age = Duration::from_millis(leaving.age_ms.into());
            changed |= now
                .checked_sub(age)
                .is_some_and(|at| self.record(&leaving.leaf, at, now));
        }
        changed
    }

    /// Returns the announcements for a digest, those sent least often first.
    pub fn take_announcements(&mut self, now: Instant) -> Vec<Leaving> {
        let queued = self.leafs.iter_mut();
        let unexpired = |e: &(Instant, u32)| e.1 > 0 && now.duration_since(e.0) < LEAVING_TTL;
        let mut queued: Vec<_> = queued.filter(|(_, e)| unexpired(e)).collect();
        queued.sort_unstable_by(|a, b| b.1.1.cmp(&a.1.1).then_with(|| a.0.cmp(b.0)));
        queued.truncate(MAX_RUMORS);
        let to_announcement = |(leaf, entry): (&Name, &mut (Instant, u32))| {
            entry.1 -= 1;
            let age = now.duration_since(entry.0).as_millis();
            Leaving {
                leaf: leaf.clone(),
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            }
        };
        queued.into_iter().map(to_announcement).collect()
    }

    /// Returns the leafs that are considered to be leaving, sorted by name.
    pub fn list(&self, now: Instant) -> Vec<Name> {
        let unexpired = self
            .leafs
            .iter()
            .filter(|(_, e)| now.duration_since(e.0) < LEAVING_TTL);
        let mut list: Vec<Name> = unexpired.map(|(n, _)| n.clone()).collect();
        list.sort_unstable();
        list
    }
}
