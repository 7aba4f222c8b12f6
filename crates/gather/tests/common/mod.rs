//! A small fleet in one process: a root, dispatchers, and leafs in memory.
#![expect(dead_code, reason = "each test file uses a part of it")]

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_dispatch::Dispatcher;
use rattanmast_fakes::memory::{Connector, Data, Fleet, Wall};
use rattanmast_fakes::{model, records};
use rattanmast_gather::{Gatherer, Settings, policy::Policy, policy::Standard};
use rattanmast_model::{
    catalog::{Service, Snapshot},
    config::{Config, Priority, Search},
    hash::Map,
    host::{self, Incarnation},
    outcome::Outcome,
    peer::{self, Cause, Error, Miss, Order, Peers, Subquery, Subreply},
    preset::Preset,
    query::{Answer, Query},
    range::{self, Range, Set},
    rank::Rank,
    roster,
};
use smol_str::SmolStr;
use tokio::time::{sleep, timeout};

pub const COLLECTION: &str = "blade-profile-registry";

/// How a dispatcher's host handles messages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    #[default]
    Up,
    /// Refuses connections.
    Unreachable,
    /// Breaks the connection after the work is done.
    Broken,
    /// Never replies.
    Silent,
    /// Refuses because its queue is too long.
    Overloaded,
    /// Reports that it is not responsible for the services.
    Elsewhere,
    /// Duplicates, delays, splits or corrupts replies, or sends them as another incarnation or
    /// for another snapshot.
    Faulty,
    /// Delays replies by this many milliseconds.
    Slow(u64),
}

/// The simulated network between the hosts, and its counters.
pub struct State {
    dispatchers: Map<host::Name, Dispatcher<Connector>>,
    pub modes: Map<host::Name, Mode>,
    pub unusable: Vec<host::Name>,
    /// Incarnations known by gossip, which may lag behind the dispatchers.
    incarnations: Map<host::Name, Incarnation>,
    previous_reply: Option<Subreply>,
    random: SmallRng,
    pub calls: u64,
    /// Cloned into each open call, so that its reference count shows how many are open.
    pub open: Arc<()>,
    pub max_budget_ms: u32,
}

#[derive(Clone)]
pub struct Network(Arc<Mutex<State>>);

impl Network {
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no test panics under the lock")
    }

    pub fn mode(&self, host: &str, mode: Mode) {
        self.lock().modes.insert(SmolStr::new(host), mode);
    }

    fn draw(&self, bound: u64) -> u64 {
        self.lock().random.random_range(0..bound)
    }

    fn broken(host: &host::Name, why: &str) -> Error {
        let (host, why) = (host.clone(), SmolStr::new(why));
        Error::Broken { host, why }
    }

    /// Corrupts `reply` in one of the ways that matching and coverage guard against.
    fn corrupt(
        &self,
        host: &host::Name,
        mut reply: Subreply,
        text: &str,
    ) -> peer::Result<Subreply> {
        let previous = self.lock().previous_reply.replace(reply.clone());
        let snapshot = reply.snapshot;
        let part = |start, end| records::part(COLLECTION, snapshot, Range::new(start, end), text);
        match self.draw(12) {
            0 => return Ok(previous.unwrap_or(reply)),
            1 => reply.incarnation.0 -= 1,
            2 => {
                reply.snapshot.0 += 1;
                for part in &mut reply.parts {
                    *part = records::part(COLLECTION, reply.snapshot, part.range, text);
                }
            }
            3 => reply.parts.extend(reply.parts.clone()),
            4 => reply.parts.reverse(),
            5 => drop(reply.parts.pop()),
            6 => reply
                .parts
                .insert(0, part(0, self.draw(range::KEY_SPACE_END) + 1)),
            7 => return Err(Self::broken(host, "reset")),
            _ => {
                let halves = reply.parts.iter().flat_map(|p| {
                    let middle = p.range.start + self.draw(p.range.end - p.range.start);
                    [part(p.range.start, middle), part(middle, p.range.end)]
                });
                reply.parts = halves.collect();
            }
        }
        Ok(reply)
    }

    async fn serve(&self, host: &host::Name, mut message: Subquery) -> peer::Result<Subreply> {
        let (mode, dispatcher, _open) = {
            let mut state = self.lock();
            state.calls += 1;
            state.max_budget_ms = state.max_budget_ms.max(message.budget_ms);
            let mode = state.modes.get(host).copied().unwrap_or_default();
            (
                mode,
                state.dispatchers[host].clone(),
                Arc::clone(&state.open),
            )
        };
        sleep(Duration::from_millis(1)).await;
        let text = message.text.clone();
        let cause = match mode {
            Mode::Unreachable => return Err(Error::Connect { host: host.clone() }),
            Mode::Silent => std::future::pending().await,
            Mode::Overloaded => Some(Cause::Overload),
            Mode::Elsewhere => Some(Cause::Elsewhere),
            _ => None,
        };
        let refused = cause.map(|cause| (std::mem::take(&mut message.asks), cause));
        let mut reply = dispatcher.subquery(message).await;
        if let Some((asks, cause)) = refused {
            let miss = |ask: &peer::Ask| Miss {
                service: ask.service,
                cause: cause.clone(),
            };
            reply.misses = asks.iter().map(miss).collect();
        }
        let delay = match mode {
            Mode::Slow(ms) => ms,
            Mode::Faulty => self.draw(20),
            _ => 1,
        };
        sleep(Duration::from_millis(delay)).await;
        match mode {
            Mode::Broken => Err(Self::broken(host, "reset")),
            Mode::Faulty => self.corrupt(host, reply, &text),
            _ => Ok(reply),
        }
    }
}

impl Peers for Network {
    async fn subquery(
        &self,
        host: &host::Name,
        message: Subquery,
        time: Duration,
    ) -> peer::Result<Subreply> {
        let reply = timeout(time, self.serve(host, message)).await;
        reply.unwrap_or_else(|_| Err(Self::broken(host, "no reply in time")))
    }

    async fn order(&self, _: &host::Name, _: Order, _: Duration) -> peer::Result<Outcome> {
        unreachable!("the root of queries sends no orders")
    }

    async fn outcome(&self, _: &host::Name, _: &str, _: &str) -> peer::Result<Option<Outcome>> {
        unreachable!("the root of queries requests no outcomes")
    }

    fn incarnation(&self, host: &host::Name) -> Option<Incarnation> {
        self.lock().incarnations.get(host).copied()
    }

    fn is_usable(&self, host: &host::Name) -> bool {
        !self.lock().unusable.contains(host)
    }
}

/// The whole fleet: 6 hosts, and 6 services (shards) of 2 leafs.
pub struct World<Y: Policy = Standard> {
    pub data: Data,
    pub fleet: Fleet,
    pub net: Network,
    pub config: Arc<Config>,
    pub root: Gatherer<Network, Y>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self::standard(seed, Settings::default())
    }

    pub fn standard(seed: u64, settings: Settings) -> Self {
        let policy = Standard::new(&settings, seed);
        Self::with(seed, settings, policy)
    }
}

impl<Y: Policy> World<Y> {
    pub fn with(seed: u64, settings: Settings, policy: Y) -> Self {
        let mut preset = Preset::norway();
        preset.hosts = 6;
        preset.collections.truncate(1);
        preset.collections[0].services = 6;
        let data = Data::new(preset);
        let state = State {
            dispatchers: Map::default(),
            modes: Map::default(),
            unusable: Vec::new(),
            incarnations: Map::default(),
            previous_reply: None,
            random: SmallRng::seed_from_u64(seed),
            calls: 0,
            open: Arc::default(),
            max_budget_ms: 0,
        };
        let net = Network(Arc::new(Mutex::new(state)));
        let (me, incarnation) = (data.hosts[0].name.clone(), Incarnation(10));
        let world = Self {
            fleet: Fleet::new(&data, model::Settings::default(), Wall::simulated(), seed),
            config: Arc::new(data.config()),
            root: Gatherer::with_policy(me, incarnation, net.clone(), settings, seed, policy),
            data,
            net,
        };
        for h in &world.data.hosts {
            world
                .net
                .lock()
                .incarnations
                .insert(h.name.clone(), incarnation);
            world.start(&h.name, incarnation);
        }
        world.apply();
        world
    }

    /// Starts a process on `host` without updating gossip.
    pub fn start(&self, host: &str, incarnation: Incarnation) {
        let mut hosts = self.data.hosts.iter();
        let found = hosts
            .find(|h| h.name == host)
            .expect("the host is in the roster");
        let connector = self.fleet.connector(host, &found.domain);
        let settings = rattanmast_dispatch::Settings::default();
        let dispatcher = Dispatcher::new(host.into(), incarnation, connector, settings, 0);
        dispatcher.apply(Arc::clone(&self.config), Arc::new(self.data.leafs.clone()));
        self.net.lock().dispatchers.insert(host.into(), dispatcher);
    }

    /// Sends the configuration, the catalogs and the leafs to the root.
    pub fn apply(&self) {
        let catalogs = self.data.catalogs.iter();
        let catalogs = catalogs.map(|c| (c.collection.clone(), Arc::new(c.clone())));
        let leafs = Arc::new(self.data.leafs.clone());
        let catalogs = Arc::new(catalogs.collect());
        self.root.apply(Arc::clone(&self.config), catalogs, leafs);
    }

    /// Returns the first dispatcher of the service `index`.
    pub fn dispatcher(&self, index: u16) -> host::Name {
        roster::dispatchers(&self.config.hosts, &service(index))[0]
            .name
            .clone()
    }
}

pub fn service(index: u16) -> Service {
    Service {
        collection: COLLECTION.into(),
        index,
    }
}

/// Returns a query for all records.
pub fn query(rank: Rank, timeout_ms: u64, min_coverage: f64, priority: Priority) -> Query {
    Query {
        search: Search {
            name: COLLECTION.into(),
            collection: COLLECTION.into(),
            priority,
            least_coverage: min_coverage,
            longest_wait_ms: 2_000,
        },
        text: SmolStr::default(),
        rank,
        timeout: Duration::from_millis(timeout_ms),
        trace: None,
    }
}

/// Checks `answer` against the generated records: one snapshot, no overclaim, no lost or
/// duplicate row.
pub fn check(answer: &Answer) {
    let Snapshot(number) = answer.snapshot;
    let mut keys = Set::of([range::KEY_SPACE]);
    answer.missing.iter().for_each(|r| keys.remove(*r));
    let expected = keys
        .ranges()
        .iter()
        .map(|r| records::part(COLLECTION, answer.snapshot, *r, ""));
    let (mut found, mut rows) = (0, Vec::new());
    for part in expected {
        found += part.records;
        rows.extend(part.rows);
    }
    let share = found as f64 / records::count(COLLECTION, answer.snapshot, range::KEY_SPACE) as f64;
    assert_eq!(answer.records, found, "records of snapshot {number}");
    assert!(
        answer.coverage <= share,
        "claimed {}, searched {share}",
        answer.coverage
    );
    assert_eq!(answer.coverage == 1.0, answer.missing.is_empty());
    assert_eq!(answer.rows, rows, "rows of snapshot {number}");
}
