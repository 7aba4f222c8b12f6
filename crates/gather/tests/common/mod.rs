//! A small fleet in one process: a root, dispatchers, and leafs in memory.
#![expect(dead_code, reason = "each test file uses a part of it")]

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_dispatch::Dispatcher;
use rattanmast_fakes::{
    memory::{Connector, Data, Fleet, Wall},
    model, records,
};
use rattanmast_gather::{Gatherer, Settings, policy::Policy, policy::Standard};
use rattanmast_model::{
    catalog::Snapshot,
    config::{Collection, Config, Priority, Search},
    hash::Map,
    host::{self, Incarnation},
    leaf,
    outcome::Outcome,
    peer::{self, Cause, Error, Miss, Order, Peers, Report, Subquery, Subreply},
    preset::Preset,
    query::{Answer, Query},
    range::{self, Range, Set},
    rank::Rank,
};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::{sleep, timeout};

pub const STONES: &str = "stones";

/// How a dispatcher's host behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    #[default]
    Up,
    /// Connections are refused.
    Dead,
    /// The connection breaks after the work was done.
    Broken,
    /// No reply ever comes.
    Silent,
    /// The dispatcher refuses for its long queue.
    Refuse,
    /// The dispatcher is not responsible.
    Elsewhere,
    /// Replies are in turn doubled, late, split, of another run or of another snapshot.
    Chaos,
    /// Replies take this many milliseconds longer.
    Slow(u64),
}

#[derive(Default)]
struct State {
    dispatchers: Map<host::Name, Dispatcher<Connector>>,
    modes: Map<host::Name, Mode>,
    unusable: Vec<host::Name>,
    /// What gossip says; it may lag behind the dispatchers.
    runs: Map<host::Name, Incarnation>,
    old: Option<Subreply>,
    calls: u64,
    open: usize,
    longest_budget: u32,
}

/// The network between the hosts.
#[derive(Clone)]
pub struct Net {
    state: Arc<Mutex<State>>,
    random: Arc<Mutex<SmallRng>>,
}

impl Net {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test panics under the lock")
    }

    fn draw(&self, most: u64) -> u64 {
        let mut random = self.random.lock().expect("no test panics under the lock");
        random.random_range(0..most)
    }

    pub fn mode(&self, host: &str, mode: Mode) {
        self.lock().modes.insert(SmolStr::new(host), mode);
    }

    pub fn suspect(&self, host: &str) {
        self.lock().unusable.push(SmolStr::new(host));
    }

    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the number of calls that have not ended.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Returns the longest time that a message gave its dispatcher, in milliseconds.
    pub fn longest_budget(&self) -> u32 {
        self.lock().longest_budget
    }

    /// Spoils `reply` in one of the ways that matching and coverage guard against.
    fn spoil(&self, mut reply: Subreply, message: &Subquery) -> peer::Result<Subreply> {
        let old = self.lock().old.replace(reply.clone());
        match self.draw(12) {
            0 => return Ok(old.unwrap_or(reply)),
            1 => reply.incarnation.0 -= 1,
            2 => {
                reply.snapshot.0 += 1;
                for part in &mut reply.parts {
                    *part = records::part(STONES, reply.snapshot, part.range, &message.text);
                }
            }
            3 => reply.parts.extend(reply.parts.clone()),
            4 => reply.parts.reverse(),
            5 => drop(reply.parts.pop()),
            6 => {
                let all = Range::new(0, self.draw(range::SPACE_END) + 1);
                let extra = records::part(STONES, reply.snapshot, all, &message.text);
                reply.parts.insert(0, extra);
            }
            7 => {
                let host = SmolStr::new_static("?");
                return Err(Error::Broken {
                    host,
                    why: "test".into(),
                });
            }
            _ => {
                let halves = reply.parts.iter().flat_map(|part| {
                    let middle = part.range.start + self.draw(part.range.end - part.range.start);
                    let ranges = [(part.range.start, middle), (middle, part.range.end)];
                    ranges.map(|(s, e)| {
                        records::part(STONES, reply.snapshot, Range::new(s, e), &message.text)
                    })
                });
                reply.parts = halves.collect();
            }
        }
        Ok(reply)
    }

    /// Returns the reply of a dispatcher that did nothing for `cause`.
    fn nothing(message: &Subquery, run: Incarnation, cause: &Cause) -> Subreply {
        let miss = |ask: &peer::Ask| Miss {
            service: ask.service,
            cause: cause.clone(),
        };
        Subreply {
            id: message.id,
            incarnation: run,
            snapshot: message.snapshot,
            parts: Vec::new(),
            misses: message.asks.iter().map(miss).collect(),
            begun: false,
            sent: 0,
            leaf_us: 0,
            report: Report::default(),
        }
    }

    async fn serve(&self, host: &host::Name, message: Subquery) -> peer::Result<Subreply> {
        let (mode, dispatcher, run) = {
            let mut state = self.lock();
            state.calls += 1;
            state.open += 1;
            state.longest_budget = state.longest_budget.max(message.budget_ms);
            let mode = state.modes.get(host).copied().unwrap_or_default();
            let run = state.runs.get(host).copied().unwrap_or_default();
            (mode, state.dispatchers.get(host).cloned(), run)
        };
        let _call = Call(self.clone());
        let dispatcher = dispatcher.expect("the host is in the roster");
        sleep(Duration::from_millis(1)).await;
        let reply = match mode {
            Mode::Dead => return Err(Error::Connect { host: host.clone() }),
            Mode::Silent => std::future::pending().await,
            Mode::Refuse => Self::nothing(&message, run, &Cause::Overload),
            Mode::Elsewhere => Self::nothing(&message, run, &Cause::Elsewhere),
            _ => dispatcher.subquery(message.clone()).await,
        };
        match mode {
            Mode::Broken => {
                let why = SmolStr::new_static("connection reset");
                return Err(Error::Broken {
                    host: host.clone(),
                    why,
                });
            }
            Mode::Slow(ms) => sleep(Duration::from_millis(ms)).await,
            Mode::Chaos => {
                sleep(Duration::from_millis(self.draw(20))).await;
                return self.spoil(reply, &message);
            }
            _ => sleep(Duration::from_millis(1)).await,
        }
        Ok(reply)
    }
}

/// A call that is open until it is dropped.
struct Call(Net);

impl Drop for Call {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
    }
}

impl Peers for Net {
    async fn subquery(
        &self,
        host: &host::Name,
        message: Subquery,
        time: Duration,
    ) -> peer::Result<Subreply> {
        let reply = timeout(time, self.serve(host, message)).await;
        reply.unwrap_or_else(|_| {
            let why = SmolStr::new_static("no reply in time");
            Err(Error::Broken {
                host: host.clone(),
                why,
            })
        })
    }

    async fn order(&self, _: &host::Name, _: Order, _: Duration) -> peer::Result<Outcome> {
        unreachable!("the root of queries sends no orders")
    }

    async fn outcome(&self, _: &host::Name, _: &str, _: &str) -> peer::Result<Option<Outcome>> {
        unreachable!("the root of queries asks for no outcomes")
    }

    fn incarnation(&self, host: &host::Name) -> Option<Incarnation> {
        self.lock().runs.get(host).copied()
    }

    fn usable(&self, host: &host::Name) -> bool {
        !self.lock().unusable.contains(host)
    }
}

/// The whole fleet.
pub struct World<Y: Policy = Standard> {
    pub data: Data,
    pub fleet: Fleet,
    pub net: Net,
    pub config: Arc<Config>,
    pub root: Gatherer<Net, Y>,
}

/// Returns the sizes of a small installation: 6 hosts, 6 services of 2 leafs.
fn village() -> Preset {
    Preset {
        name: "h",
        domains: ["east", "west", "north"],
        hosts: 6,
        collections: vec![Collection {
            name: SmolStr::new_static(STONES),
            services: 6,
            leafs: 2,
            limits: leaf::Limits {
                slots: 2,
                connections: 25,
                open_ms: 1,
            },
        }],
        searched: STONES,
        ordered: STONES,
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        let settings = Settings::default();
        Self::with(seed, settings.clone(), Standard::new(&settings, seed))
    }
}

impl<Y: Policy> World<Y> {
    pub fn with(seed: u64, settings: Settings, policy: Y) -> Self {
        let data = Data::new(village());
        let fleet = Fleet::new(&data, model::Settings::default(), Wall::simulated(), seed);
        let config = Arc::new(data.config());
        let net = Net {
            state: Arc::default(),
            random: Arc::new(Mutex::new(SmallRng::seed_from_u64(seed))),
        };
        for h in &data.hosts {
            net.lock().runs.insert(h.name.clone(), Incarnation(10));
            let connector = fleet.connector(&h.name, &h.domain);
            let settings = rattanmast_dispatch::Settings::default();
            let dispatcher =
                Dispatcher::new(h.name.clone(), Incarnation(10), connector, settings, seed);
            net.lock().dispatchers.insert(h.name.clone(), dispatcher);
        }
        let me = data.hosts[0].name.clone();
        let root = Gatherer::with(me, Incarnation(10), net.clone(), settings, seed, policy);
        let world = Self {
            data,
            fleet,
            net,
            config,
            root,
        };
        world.apply();
        world.tell_dispatchers();
        world
    }

    /// Tells the dispatchers about the configuration and the leafs.
    pub fn tell_dispatchers(&self) {
        for dispatcher in self.net.lock().dispatchers.values() {
            let leafs = Arc::new(self.data.leafs.clone());
            dispatcher.apply(Arc::clone(&self.config), leafs);
        }
    }

    /// Tells the root about the catalogs and the leafs.
    pub fn apply(&self) {
        let catalogs = self.data.catalogs.iter();
        let catalogs = catalogs.map(|c| (c.collection.clone(), Arc::new(c.clone())));
        let leafs = Arc::new(self.data.leafs.clone());
        let catalogs = Arc::new(catalogs.collect());
        self.root.apply(Arc::clone(&self.config), catalogs, leafs);
    }

    /// Starts the process of `host` again; gossip does not know of it.
    pub fn restart(&self, host: &str) {
        let domain = self.data.hosts.iter().find(|h| h.name == host);
        let domain = &domain.expect("the host is in the roster").domain;
        let connector = self.fleet.connector(host, domain);
        let settings = rattanmast_dispatch::Settings::default();
        let run = Incarnation(20);
        let dispatcher = Dispatcher::new(host.into(), run, connector, settings, 0);
        self.net.lock().dispatchers.insert(host.into(), dispatcher);
        self.tell_dispatchers();
    }

    /// Returns the first dispatcher of `service`.
    pub fn dispatcher(&self, service: u16) -> host::Name {
        let service = rattanmast_model::catalog::Service {
            collection: SmolStr::new_static(STONES),
            index: service,
        };
        let hosts = rattanmast_model::roster::dispatchers(&self.config.hosts, &service);
        hosts[0].name.clone()
    }
}

/// Returns a query for all records.
pub fn query(rank: Rank, timeout_ms: u64, least: f64, priority: Priority) -> Query {
    Query {
        search: Search {
            name: SmolStr::new_static("all"),
            collection: SmolStr::new_static(STONES),
            priority,
            least_coverage: least,
            longest_wait_ms: 2_000,
        },
        text: SmolStr::new_static(""),
        rank,
        timeout: Duration::from_millis(timeout_ms),
        trace: None,
    }
}

/// Checks `answer` against the records themselves: one snapshot, no false claim, no row twice.
pub fn check(answer: &Answer) {
    let Snapshot(number) = answer.snapshot;
    let mut keys = Set::of([range::SPACE]);
    answer.missing.iter().for_each(|r| keys.remove(*r));
    let count = |r: &Range| records::count(STONES, answer.snapshot, *r);
    let found: u64 = keys.ranges().iter().map(count).sum();
    let all = records::count(STONES, answer.snapshot, range::SPACE);
    let truth = found as f64 / all as f64;
    assert_eq!(answer.records, found, "records of snapshot {number}");
    assert!(
        answer.coverage <= truth,
        "claimed {} of {truth}",
        answer.coverage
    );
    assert_eq!(answer.coverage == 1.0, answer.missing.is_empty());
    let rows = keys.ranges().iter();
    let rows: Vec<_> = rows
        .flat_map(|r| records::rows(STONES, answer.snapshot, *r, ""))
        .collect();
    assert_eq!(answer.rows, rows, "rows of snapshot {number}");
}

/// Returns one line about the end of a query, with no figure that latency changes.
pub fn line(result: &Result<Answer, Outcome>) -> SmolStr {
    match result {
        Ok(a) if a.missing.is_empty() => format_smolstr!("whole, snapshot {}", a.snapshot.0),
        Ok(a) => format_smolstr!(
            "partial, snapshot {}, coverage {:.2}, {} missing",
            a.snapshot.0,
            a.coverage,
            a.missing.len()
        ),
        Err(Outcome::NotRun { reason, .. }) => format_smolstr!("not run: {reason:?}"),
        Err(other) => SmolStr::new(other.name()),
    }
}

/// Runs `test` on a paused clock.
pub fn paused<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build();
    runtime.expect("the runtime has no I/O").block_on(test)
}
