//! Leafs that said that they are leaving.

use std::time::Duration;

use rattanmast_model::{
    exchange::{Leaving, RUMORS},
    hash::Map,
    leaf::Name,
};
use tokio::time::Instant;

/// Time after which a leaf that said nothing more is no longer held to be leaving.
///
/// By then it has stopped, or a new leaf of the same name has taken its place.
pub const LEAVING_TTL: Duration = Duration::from_secs(60);

/// A repeated word is passed on again if it is newer by this.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(20);

/// Digests that carry a word.
const DIGESTS_PER_NOTICE: u32 = 24;

/// The most leafs that are remembered.
const MAX_LEAFS: usize = 4096;

/// Leafs that said that they are leaving, and when.
#[derive(Debug, Default)]
pub struct Drains {
    leafs: Map<Name, (Instant, u32)>,
}

impl Drains {
    /// Notes that `leaf` was leaving at `at`; returns whether that is news.
    pub fn record(&mut self, leaf: &Name, at: Instant, now: Instant) -> bool {
        if now.duration_since(at) >= LEAVING_TTL {
            return false;
        }
        if let Some(entry) = self.leafs.get_mut(leaf) {
            let changed = at > entry.0 + REPUBLISH_INTERVAL;
            entry.0 = entry.0.max(at);
            if changed {
                entry.1 = DIGESTS_PER_NOTICE;
            }
            return changed;
        }
        self.leafs
            .retain(|_, e| now.duration_since(e.0) < LEAVING_TTL);
        let room = self.leafs.len() < MAX_LEAFS;
        if room {
            self.leafs.insert(leaf.clone(), (at, DIGESTS_PER_NOTICE));
        }
        room
    }

    /// Takes over what a peer said; returns whether any of it is news.
    pub fn merge(&mut self, received: &[Leaving], now: Instant) -> bool {
        let mut changed = false;
        for leaving in received.iter().take(RUMORS) {
            let age = Duration::from_millis(leaving.age_ms.into());
            changed |= now
                .checked_sub(age)
                .is_some_and(|at| self.record(&leaving.leaf, at, now));
        }
        changed
    }

    /// Returns what a digest says, the least told first.
    pub fn take_notices(&mut self, now: Instant) -> Vec<Leaving> {
        let queued = self.leafs.iter_mut();
        let unexpired = |e: &(Instant, u32)| e.1 > 0 && now.duration_since(e.0) < LEAVING_TTL;
        let mut queued: Vec<_> = queued.filter(|(_, e)| unexpired(e)).collect();
        queued.sort_unstable_by(|a, b| b.1.1.cmp(&a.1.1).then_with(|| a.0.cmp(b.0)));
        queued.truncate(RUMORS);
        let to_notice = |(leaf, entry): (&Name, &mut (Instant, u32))| {
            entry.1 -= 1;
            let age = now.duration_since(entry.0).as_millis();
            Leaving {
                leaf: leaf.clone(),
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            }
        };
        queued.into_iter().map(to_notice).collect()
    }

    /// Returns the leafs that are held to be leaving.
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
