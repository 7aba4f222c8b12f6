//! What a node knows, behind one lock that is never held across a wait.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{
    config,
    exchange::{Digest, RUMORS, Source, Update},
    hash::Map,
    host::{Host, Incarnation, Name},
    store::{Object, Version},
};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    drain::Drains, member::Members, proof::Ledger, record, relay::Place, table, table::Table,
};

/// Of so many random exchanges, one goes to any host, suspected ones included.
///
/// Two sides of a partition that healed find each other again that way.
const ANY: u32 = 5;

/// Hosts whose process run is asked for at the next exchange, at most.
const SOUGHT: usize = 8;

#[derive(Debug)]
pub(crate) struct State {
    pub me: Name,
    pub incarnation: Incarnation,
    pub table: Table,
    pub ledger: Ledger,
    pub members: Members,
    pub drains: Drains,
    pub place: Place,
    /// The configuration whose roster `place` and `others` were taken from.
    placed: Arc<config::Config>,
    pub down: bool,
    /// The other hosts of the roster.
    pub others: Vec<(Name, SocketAddr)>,
    pub addrs: Map<Name, SocketAddr>,
    pub sought: Vec<Name>,
    /// Objects that are being fetched, each with the time of the request.
    pub pulling: Map<SmolStr, Instant>,
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
            drains: Drains::default(),
            place: Place::default(),
            placed: Arc::default(),
            down: false,
            others: Vec::new(),
            addrs: Map::default(),
            sought: Vec::new(),
            pulling: Map::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn config(&self) -> &Arc<config::Config> {
        &self.table.view().config
    }

    /// Returns the version of the configuration object.
    pub fn held(&self) -> Version {
        self.table.version(record::CURRENT)
    }

    pub fn watcher(&self) -> bool {
        self.place.watchers.contains(&self.me)
    }

    /// Takes over an object from the platform; returns whether it is news.
    pub fn offer(&mut self, object: Object, now: Instant) -> table::Result<bool> {
        let Object {
            name,
            version,
            value,
        } = object;
        let news = self.table.offer(&name, version, value)?;
        if news {
            self.adopted(&name, now);
        }
        Ok(news)
    }

    /// Takes over an object from a peer; returns whether it is news.
    pub fn receive(&mut self, update: Update, now: Instant) -> table::Result<bool> {
        let name = update.name.clone();
        let news = self.table.receive(update)?;
        if news {
            self.adopted(&name, now);
        }
        Ok(news)
    }

    fn adopted(&mut self, name: &str, now: Instant) {
        match name {
            record::CURRENT => {
                let config = self.config().clone();
                if self.placed.hosts != config.hosts {
                    self.roster(&config.hosts);
                }
                self.placed = config;
                self.ledger.hold(self.held());
            }
            record::HOSTS => {
                let hosts = self.table.view().hosts.clone();
                self.members.listed(&hosts, now);
            }
            _ => {}
        }
    }

    fn roster(&mut self, hosts: &[Host]) {
        self.place = Place::of(hosts, &self.me);
        self.members.roster(hosts);
        self.ledger.keep(&self.place.watchers);
        let others = hosts.iter().filter(|h| h.name != self.me);
        self.others = others.map(|h| (h.name.clone(), h.exchange)).collect();
        self.addrs = self.others.iter().cloned().collect();
    }

    /// Returns a digest for `peer`; a reply also says what is known to be in force.
    pub fn digest(&mut self, peer: Option<&Name>, now: Instant, reply: bool, list: bool) -> Digest {
        Digest {
            host: self.me.clone(),
            incarnation: self.incarnation,
            leaving: self.members.leaving(),
            down: self.down && self.watcher(),
            informed: self.ledger.informed(),
            config: self.config().version,
            object: self.held(),
            confirmed: reply.then(|| self.ledger.relay(now)).flatten(),
            summary: self.table.summary(),
            objects: if list { self.table.list() } else { Vec::new() },
            rumors: self.members.rumors(peer),
            leafs: self.drains.tell(now),
        }
    }

    /// Takes over what a peer's digest says of hosts and leafs; returns whether any is news.
    pub fn hear(&mut self, digest: &Digest, now: Instant) -> bool {
        let mut news = self.members.heard(digest, now);
        news |= self.drains.merge(&digest.leafs, now);
        for rumor in digest.rumors.iter().take(RUMORS) {
            news |= self.members.rumor(rumor, now);
        }
        news
    }

    /// Takes over what a reply to a message sent at `sent` says of the configuration in force.
    ///
    /// The sender computed the age after `sent`, so `sent - age` is never too recent.
    pub fn trust(&mut self, reply: &Digest, sent: Instant) {
        if let Some(confirmed) = reply.confirmed {
            let age = Duration::from_millis(confirmed.age_ms.into());
            if let Some(at) = sent.checked_sub(age) {
                self.ledger.confirm(confirmed.version, at, confirmed.source);
            }
        }
        if reply.informed && self.place.watchers.contains(&reply.host) {
            self.ledger.state(&reply.host, reply.object, sent);
        }
    }

    /// Notes what a version read that began at `began` returned.
    pub fn confirm(&mut self, version: Version, began: Instant) {
        self.ledger.confirm(version, began, Source::Platform);
    }

    /// Notes what the watchers said; see [`Ledger::count`].
    pub fn count(&mut self, now: Instant) {
        self.ledger.count(&self.place.watchers, &self.me, now);
    }

    /// Returns a random host to exchange with.
    pub fn random(&mut self) -> Option<(Name, SocketAddr)> {
        if self.others.is_empty() {
            return None;
        }
        let any = self.rng.random_ratio(1, ANY);
        let mut chosen = 0;
        for _ in 0..3 {
            chosen = self.rng.random_range(0..self.others.len());
            if any || self.members.usable(&self.others[chosen].0) {
                break;
            }
        }
        Some(self.others[chosen].clone())
    }

    /// Returns the host of the layer above, or another one of that layer in `haste`.
    ///
    /// For a watcher that is the next usable watcher in order, so that each watcher is met by
    /// another one every time and its loss is noticed at once.
    pub fn above(&mut self, haste: bool) -> Option<(Name, SocketAddr)> {
        let watcher = self.place.above.is_empty();
        let list = match watcher {
            true => &self.place.watchers,
            false => &self.place.above,
        };
        let begin = match watcher {
            true => list.iter().position(|n| *n == self.me).map_or(0, |i| i + 1),
            false => self.place.first,
        };
        let begin = if haste {
            self.rng.random_range(0..list.len().max(1))
        } else {
            begin
        };
        let others = list.iter().cycle().skip(begin).take(list.len());
        let mut others = others.filter(|n| **n != self.me);
        let usable = others.clone().find(|n| self.members.usable(n));
        let name = usable.or_else(|| others.next())?.clone();
        let addr = *self.addrs.get(&name)?;
        Some((name, addr))
    }

    /// Claims objects that are not being fetched, or whose fetch has taken longer than `limit`.
    pub fn claim(&mut self, wants: &mut Vec<(SmolStr, Version)>, now: Instant, limit: Duration) {
        let pulling = &mut self.pulling;
        wants.retain(|(name, _)| {
            let free = pulling
                .get(name)
                .is_none_or(|at| now.duration_since(*at) >= limit);
            if free {
                pulling.insert(name.clone(), now);
            }
            free
        });
    }

    /// Releases objects claimed at `at`, unless another fetch claimed them since.
    pub fn release(&mut self, names: &[SmolStr], at: Instant) {
        for name in names {
            if self.pulling.get(name) == Some(&at) {
                self.pulling.remove(name);
            }
        }
    }

    /// Asks for the process run of `host` at the next exchange.
    pub fn seek(&mut self, host: &Name) {
        let room = self.sought.len() < SOUGHT && !self.sought.contains(host);
        if room && self.addrs.contains_key(host) {
            self.sought.push(host.clone());
        }
    }

    /// Returns the hosts that are sought.
    pub fn take_sought(&mut self) -> Vec<(Name, SocketAddr)> {
        let sought = std::mem::take(&mut self.sought);
        let addrs = &self.addrs;
        let found = sought
            .into_iter()
            .filter_map(|n| Some((n.clone(), *addrs.get(&n)?)));
        found.collect()
    }
}
