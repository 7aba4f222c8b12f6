//! The layered topology along which proofs of the configuration propagate.
//!
//! With random gossip alone, a proof by 9 watchers takes longer than 3 s to reach 2,200 hosts.
//! Hosts are therefore arranged in layers: the watchers first, then layers that are each
//! [`FAN_OUT`] times larger. A host normally queries one fixed host of the layer above, which
//! distributes the load evenly. It queries another host of that layer if the fixed one is not
//! usable, or, at random, while its own proof is too old or a newer configuration is known.

use rattanmast_model::{
    hash,
    host::{Host, Name},
    roster,
};

/// Number of hosts in a layer for each host of the layer above.
pub const FAN_OUT: usize = 7;

/// The position of a host in the layers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The watchers, in order of responsibility.
    pub watchers: Vec<Name>,
    /// The hosts of the layer above; empty if the host is a watcher.
    pub upstream: Vec<Name>,
    /// The index in `upstream` of the host to query first.
    pub preferred: usize,
}

impl Position {
    /// Returns the position of `me` among `hosts`.
    ///
    /// A host that is not in the roster belongs to the last layer.
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
            // All hosts have to hash with the same label, or else their layers would differ; so the
            // label stays "relay", an earlier name of this module.
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
