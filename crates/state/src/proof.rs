//! Proof that the configuration of a host is in force.
//!
//! A *proof* (version, instant) states that no newer configuration had been accepted at
//! that instant. It comes either from a version read that started at that instant, or from a
//! majority of the watchers. A configuration is accepted once a majority of the watchers hold it,
//! so any two majorities have a watcher in common that knows the newest accepted version.

use std::time::Duration;

use rattanmast_model::{
    exchange::{self, Source},
    hash::Map,
    host::Name,
    store::Version,
};
use serde::Serialize;
use tokio::time::Instant;

/// Maximum age of the proof with which a host may serve.
pub const MAX_AGE: Duration = Duration::from_secs(3);

/// The latest proof that a host's configuration is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Proof {
    /// The age of the proof; `None` if there never was one.
    pub age: Option<Duration>,
    /// The source of the proof.
    pub source: Option<Source>,
}

impl Proof {
    /// Returns whether the proof is recent enough for the host to serve.
    pub fn serving(&self) -> bool {
        self.age.is_some_and(|age| age <= MAX_AGE)
    }
}

/// The proofs that a host has received, and the versions that watchers reported.
#[derive(Debug)]
pub struct Ledger {
    started_at: Instant,
    informed: bool,
    held: Version,
    latest: Option<(Instant, Source)>,
    /// A proof of a version that is not held yet.
    pending: Option<(Version, Instant, Source)>,
    watcher_versions: Map<Name, (Version, Instant)>,
}

impl Ledger {
    /// Creates an empty ledger for a process that started at `started_at`.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            informed: false,
            held: Version(0),
            latest: None,
            pending: None,
            watcher_versions: Map::default(),
        }
    }

    /// Records that this host now holds `version`.
    pub fn set_held(&mut self, version: Version) {
        self.held = self.held.max(version);
        if let Some((version, at, source)) = self.pending.take_if(|p| p.0 <= self.held) {
            self.record_proof(version, at, source);
        }
    }

    /// Records that no configuration newer than `version` had been accepted at `at`.
    pub fn record_proof(&mut self, version: Version, at: Instant, source: Source) {
        if version > self.held {
            if self.pending.is_none_or(|p| p.1 < at) {
                self.pending = Some((version, at, source));
            }
        } else if version != Version(0) {
            self.informed |= at >= self.started_at;
            if self.latest.is_none_or(|p| p.0 < at) {
                self.latest = Some((at, source));
            }
        }
    }

    /// Records that the informed watcher `name` held `version` at `at`.
    pub fn record_watcher(&mut self, name: &Name, version: Version, at: Instant) {
        let entry = self
            .watcher_versions
            .entry(name.clone())
            .or_insert((version, at));
        if entry.1 <= at {
            *entry = (entry.0.max(version), at);
        }
    }

    /// Removes the versions reported by hosts that are not in `watchers`.
    pub fn retain_watchers(&mut self, watchers: &[Name]) {
        self.watcher_versions
            .retain(|name, _| watchers.contains(name));
    }

    /// Records a proof if a majority of `watchers` reported their versions.
    ///
    /// If this host is an informed watcher, its own version counts as of `now`.
    pub fn record_majority_proof(&mut self, watchers: &[Name], me: &Name, now: Instant) {
        if self.informed() && watchers.contains(me) {
            let held = self.held;
            self.record_watcher(me, held, now);
        }
        let reported = watchers.iter().filter_map(|w| self.watcher_versions.get(w));
        let mut reported: Vec<(Version, Instant)> = reported.copied().collect();
        reported.sort_unstable_by_key(|s| std::cmp::Reverse(s.1));
        let majority = watchers.len() / 2 + 1;
        let highest = reported.iter().map(|s| s.0).max();
        if let (Some(oldest_needed), Some(version)) = (reported.get(majority - 1), highest) {
            self.record_proof(version, oldest_needed.1, Source::Watchers);
        }
    }

    /// Returns whether a configuration was proven as of an instant after this process started.
    ///
    /// Only then does the version of this watcher count towards a majority. With an older
    /// proof, the previous incarnation may have held, and so helped to accept, a newer
    /// configuration after that instant.
    pub fn informed(&self) -> bool {
        self.informed
    }

    /// Returns whether a newer configuration than the one held is known to be in force.
    pub fn is_behind(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns how old the latest proof is at `now`, and where it came from.
    pub fn proof(&self, now: Instant) -> Proof {
        Proof {
            age: self.latest.map(|(at, _)| now.saturating_duration_since(at)),
            source: self.latest.map(|(_, source)| source),
        }
    }

    /// Returns the proof to include in a reply sent at `now`.
    ///
    /// It is `None` if the latest one is too old. The age is rounded up to the next millisecond.
    pub fn proof_for_reply(&self, now: Instant) -> Option<exchange::Proof> {
        let (at, source) = self.latest?;
        let age = now.saturating_duration_since(at);
        (age <= MAX_AGE).then(|| exchange::Proof {
            version: self.held,
            age_ms: u32::try_from(age.as_millis()).map_or(u32::MAX, |ms| ms.saturating_add(1)),
            source,
        })
    }
}
