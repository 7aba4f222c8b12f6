//! The mutable state of a node, behind one lock that is never held across an await point.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{
    config,
    exchange::{Digest, MAX_RUMORS, Source, Update},
    hash::Map,
    host::{Host, Incarnation, Name},
    store::{Object, Version},
};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    drain::LeavingLeafs, layer::Position, member::Members, proof::Ledger, record, table,
    table::Table,
};

/// One in this many random exchanges includes unusable hosts in the choice.
///
/// This reconnects the two sides of a network partition after it heals.
const EXCHANGES_PER_UNFILTERED_CHOICE: u32 = 5;

/// Maximum number of hosts whose incarnation is queried in the next exchange round.
const MAX_INCARNATION_QUERIES: usize = 8;

#[derive(Debug)]
pub(crate) struct State {
    pub me: Name,
    pub incarnation: Incarnation,
    pub table: Table,
    pub ledger: Ledger,
    pub members: Members,
    pub leaving_leafs: LeavingLeafs,
    pub position: Position,
    /// The configuration from whose roster `position` and `peers` were computed.
    roster_config: Arc<config::Config>,
    pub platform_down: bool,
    /// The other hosts of the roster, with their exchange addresses.
    pub peers: Vec<(Name, SocketAddr)>,
    pub addrs: Map<Name, SocketAddr>,
    pub incarnation_queries: Vec<Name>,
    /// Objects that are being fetched, with the time of the request.
    pub fetching: Map<SmolStr, Instant>,
    pub rng: SmallRng,
}

impl State {
    pub fn new(me: &Host, incarnation: Incarnation, seed: u64, now: Instant) -> Self {
        Self {
            me: me.name.clone(),
            incarnation,
            table: Table::default(),
            ledger: Ledger::new(now),
            members: Members::new(me.name.clone(), incarnation),
            leaving_leafs: LeavingLeafs::default(),
            position: Position::default(),
            roster_config: Arc::default(),
            platform_down: false,
            peers: Vec::new(),
            addrs: Map::default(),
            incarnation_queries: Vec::new(),
            fetching: Map::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn config(&self) -> &Arc<config::Config> {
        &self.table.view().config
    }

    /// Returns the platform's version of the configuration object held.
    pub fn held_version(&self) -> Version {
        self.table.version(record::CURRENT_CONFIG)
    }

    pub fn is_watcher(&self) -> bool {
        self.position.watchers.contains(&self.me)
    }

    /// Applies an object from the platform; returns whether it was newer.
    pub fn offer(&mut self, object: Object, now: Instant) -> table::Result<bool> {
        let Object {
            name,
            version,
            value,
        } = object;
        let changed = self.table.offer(&name, version, value)?;
        if changed {
            self.object_changed(&name, now);
        }
        Ok(changed)
    }

    /// Applies an object from a peer; returns whether it was newer.
    pub fn receive(&mut self, update: Update, now: Instant) -> table::Result<bool> {
        let name = update.name.clone();
        let changed = self.table.receive(update)?;
        if changed {
            self.object_changed(&name, now);
        }
        Ok(changed)
    }

    fn object_changed(&mut self, name: &str, now: Instant) {
        match name {
            record::CURRENT_CONFIG => {
                let config = self.config().clone();
                if self.roster_config.hosts != config.hosts {
                    self.set_roster(&config.hosts);
                }
                self.roster_config = config;
                self.ledger.set_held(self.held_version());
            }
            record::HOSTS => {
                let hosts = self.table.view().hosts.clone();
                self.members.merge_host_list(&hosts, now);
            }
            _ => {}
        }
    }

    fn set_roster(&mut self, hosts: &[Host]) {
        self.position = Position::of(hosts, &self.me);
        self.members.set_roster(hosts);
        self.ledger.retain_watchers(&self.position.watchers);
        let others = hosts.iter().filter(|h| h.name != self.me);
        self.peers = others.map(|h| (h.name.clone(), h.exchange)).collect();
        self.addrs = self.peers.iter().cloned().collect();
    }

    /// Returns a digest for `peer`.
    ///
    /// Only a reply includes a proof: its receiver counts the age from the time of its own request.
    pub fn digest(
        &mut self,
        peer: Option<&Name>,
        now: Instant,
        reply: bool,
        list_objects: bool,
    ) -> Digest {
        Digest {
            host: self.me.clone(),
            incarnation: self.incarnation,
            leaving: self.members.leaving(),
            down: self.platform_down && self.is_watcher(),
            informed: self.ledger.informed(),
            config: self.config().version,
            object: self.held_version(),
            confirmed: reply.then(|| self.ledger.proof_for_reply(now)).flatten(),
            summary: self.table.summary(),
            objects: if list_objects {
                self.table.list()
            } else {
                Vec::new()
            },
            rumors: self.members.take_rumors(peer),
            leafs: self.leaving_leafs.take_announcements(now),
        }
    }

    /// Merges a peer's knowledge of hosts and leafs; returns whether peers should be notified.
    pub fn merge_gossip(&mut self, digest: &Digest, now: Instant) -> bool {
        let mut changed = self.members.merge_digest(digest, now);
        changed |= self.leaving_leafs.merge(&digest.leafs, now);
        for rumor in digest.rumors.iter().take(MAX_RUMORS) {
            changed |= self.members.merge_rumor(rumor, now);
        }
        changed
    }

    /// Records the proof in a reply to a message sent at `sent`.
    ///
    /// The peer computed the age after `sent`, so `sent - age` is no later than the instant for
    /// which the proof holds.
    pub fn merge_proof(&mut self, reply: &Digest, sent: Instant) {
        if let Some(proof) = reply.confirmed {
            let age = Duration::from_millis(proof.age_ms.into());
            if let Some(at) = sent.checked_sub(age) {
                self.ledger.record_proof(proof.version, at, proof.source);
            }
        }
        if reply.informed && self.position.watchers.contains(&reply.host) {
            self.ledger.record_watcher(&reply.host, reply.object, sent);
        }
    }

    /// Records the result of a version read that started at `started_at`.
    pub fn record_platform_proof(&mut self, version: Version, started_at: Instant) {
        self.ledger
            .record_proof(version, started_at, Source::Platform);
    }

    /// Records a proof by a majority of watchers; see [`Ledger::record_majority_proof`].
    pub fn record_majority_proof(&mut self, now: Instant) {
        self.ledger
            .record_majority_proof(&self.position.watchers, &self.me, now);
    }

    /// Returns a random peer for the next exchange, preferably a usable one.
    pub fn random_peer(&mut self) -> Option<(Name, SocketAddr)> {
        if self.peers.is_empty() {
            return None;
        }
        let unfiltered = self.rng.random_ratio(1, EXCHANGES_PER_UNFILTERED_CHOICE);
        let mut chosen = 0;
        for _ in 0..3 {
            chosen = self.rng.random_range(0..self.peers.len());
            if unfiltered || self.members.usable(&self.peers[chosen].0) {
                break;
            }
        }
        Some(self.peers[chosen].clone())
    }

    /// Returns the preferred host of the layer above, or a random one of that layer if `fast`.
    ///
    /// For a watcher, this is the next usable watcher in order, so that each watcher is contacted
    /// by another one in every round and its loss is detected at once.
    pub fn upstream_peer(&mut self, fast: bool) -> Option<(Name, SocketAddr)> {
        let is_watcher = self.position.upstream.is_empty();
        let list = match is_watcher {
            true => &self.position.watchers,
            false => &self.position.upstream,
        };
        let start = match is_watcher {
            true => list.iter().position(|n| *n == self.me).map_or(0, |i| i + 1),
            false => self.position.preferred,
        };
        let start = if fast {
            self.rng.random_range(0..list.len().max(1))
        } else {
            start
        };
        let others = list.iter().cycle().skip(start).take(list.len());
        let mut others = others.filter(|n| **n != self.me);
        let usable = others.clone().find(|n| self.members.usable(n));
        let name = usable.or_else(|| others.next())?.clone();
        let addr = *self.addrs.get(&name)?;
        Some((name, addr))
    }

    /// Reserves the wanted objects for a fetch, and removes those that are being fetched already.
    ///
    /// A reservation expires after `timeout`.
    pub fn reserve(
        &mut self,
        wants: &mut Vec<(SmolStr, Version)>,
        now: Instant,
        timeout: Duration,
    ) {
        let fetching = &mut self.fetching;
        wants.retain(|(name, _)| {
            let available = fetching
                .get(name)
                .is_none_or(|at| now.duration_since(*at) >= timeout);
            if available {
                fetching.insert(name.clone(), now);
            }
            available
        });
    }

    /// Releases objects reserved at `at`, unless another fetch has reserved them since.
    pub fn release(&mut self, names: &[SmolStr], at: Instant) {
        for name in names {
            if self.fetching.get(name) == Some(&at) {
                self.fetching.remove(name);
            }
        }
    }

    /// Queries the incarnation of `host` in the next exchange round.
    pub fn request_incarnation(&mut self, host: &Name) {
        let room = self.incarnation_queries.len() < MAX_INCARNATION_QUERIES
            && !self.incarnation_queries.contains(host);
        if room && self.addrs.contains_key(host) {
            self.incarnation_queries.push(host.clone());
        }
    }

    /// Takes the hosts whose incarnation is to be queried.
    pub fn take_incarnation_queries(&mut self) -> Vec<(Name, SocketAddr)> {
        let incarnation_queries = std::mem::take(&mut self.incarnation_queries);
        let addrs = &self.addrs;
        let found = incarnation_queries
            .into_iter()
            .filter_map(|n| Some((n.clone(), *addrs.get(&n)?)));
        found.collect()
    }
}
