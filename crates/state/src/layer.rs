//! From whom a host learns that its configuration is in force.
//!
//! With random exchanges alone, word from 9 watchers takes longer than 3 s to reach 2,200 hosts.
//! Hosts are therefore placed in layers: the watchers, then layers that are each [`FAN`] times
//! larger. A host asks the same host of the layer above, which spreads the load evenly, and any
//! other host of that layer when the answer is missing or old.

use rattanmast_model::{
    hash,
    host::{Host, Name},
    roster,
};

/// Hosts of a layer for each host of the layer above.
pub const FAN_OUT: usize = 7;

/// A host's place.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The watchers, in order of responsibility.
    pub watchers: Vec<Name>,
    /// The hosts to ask; empty if the host is a watcher.
    pub upstream: Vec<Name>,
    /// The index in `above` of the host to ask first.
    pub preferred: usize,
}

impl Position {
    /// Returns the place of `me` among `hosts`; a host that is not listed is in the last layer.
    pub fn of(hosts: &[Host], me: &Name) -> Self {
        let watchers = roster::watchers(hosts).into_iter().map(|h| h.name.clone());
        let watchers: Vec<Name> = watchers.collect();
        if watchers.contains(me) {
            return Self {
                watchers,
                ..Self::default()
            };
        }
        let mut rest: Vec<(u64, &Name)> = hosts
            .iter()
            .filter(|h| !watchers.contains(&h.name))
            .map(|h| (hash::stable([b"relay", h.name.as_bytes()]), &h.name))
            .collect();
        rest.sort_unstable();
        let mut upstream = watchers.clone();
        let mut rest = rest.as_slice();
        loop {
            let layer = rest.len().min(upstream.len().max(1) * FAN_OUT);
            let (current, below) = rest.split_at(layer);
            let index = current.iter().position(|(_, name)| *name == me);
            if below.is_empty() || index.is_some() {
                let preferred = index.unwrap_or_default() % upstream.len().max(1);
                return Self {
                    watchers,
                    upstream,
                    preferred,
                };
            }
            upstream = current.iter().map(|(_, name)| (*name).clone()).collect();
            rest = below;
        }
    }
}
