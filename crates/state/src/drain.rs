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
pub const KEPT: Duration = Duration::from_secs(60);

/// A repeated word is passed on again if it is newer by this.
const AGAIN: Duration = Duration::from_secs(20);

/// Digests that carry a word.
const TIMES: u32 = 24;

/// The most leafs that are remembered.
const WAITING: usize = 4096;

/// Leafs that said that they are leaving, and when.
#[derive(Debug, Default)]
pub struct Drains {
    leafs: Map<Name, (Instant, u32)>,
}

impl Drains {
    /// Notes that `leaf` was leaving at `at`; returns whether that is news.
    pub fn note(&mut self, leaf: &Name, at: Instant, now: Instant) -> bool {
        if now.duration_since(at) >= KEPT {
            return false;
        }
        if let Some(entry) = self.leafs.get_mut(leaf) {
            let news = at > entry.0 + AGAIN;
            entry.0 = entry.0.max(at);
            if news {
                entry.1 = TIMES;
            }
            return news;
        }
        self.leafs.retain(|_, e| now.duration_since(e.0) < KEPT);
        let room = self.leafs.len() < WAITING;
        if room {
            self.leafs.insert(leaf.clone(), (at, TIMES));
        }
        room
    }

    /// Takes over what a peer said; returns whether any of it is news.
    pub fn merge(&mut self, heard: &[Leaving], now: Instant) -> bool {
        let mut news = false;
        for leaving in heard.iter().take(RUMORS) {
            let age = Duration::from_millis(leaving.age_ms.into());
            news |= now
                .checked_sub(age)
                .is_some_and(|at| self.note(&leaving.leaf, at, now));
        }
        news
    }

    /// Returns what a digest says, the least told first.
    pub fn tell(&mut self, now: Instant) -> Vec<Leaving> {
        let waiting = self.leafs.iter_mut();
        let fresh = |e: &(Instant, u32)| e.1 > 0 && now.duration_since(e.0) < KEPT;
        let mut waiting: Vec<_> = waiting.filter(|(_, e)| fresh(e)).collect();
        waiting.sort_unstable_by(|a, b| b.1.1.cmp(&a.1.1).then_with(|| a.0.cmp(b.0)));
        waiting.truncate(RUMORS);
        let tell = |(leaf, entry): (&Name, &mut (Instant, u32))| {
            entry.1 -= 1;
            let age = now.duration_since(entry.0).as_millis();
            Leaving {
                leaf: leaf.clone(),
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            }
        };
        waiting.into_iter().map(tell).collect()
    }

    /// Returns the leafs that are held to be leaving.
    pub fn list(&self, now: Instant) -> Vec<Name> {
        let fresh = self
            .leafs
            .iter()
            .filter(|(_, e)| now.duration_since(e.0) < KEPT);
        let mut list: Vec<Name> = fresh.map(|(n, _)| n.clone()).collect();
        list.sort_unstable();
        list
    }
}
