//! A dispatcher of one host in front of in-memory leafs.

#![expect(dead_code, reason = "each test binary uses a part")]

pub mod stub;

use std::{sync::Arc, time::Duration};

use bolero::{
    Driver as _, TypeGenerator,
    generator::bolero_generator::driver::{self, Options},
};
use rand::{SeedableRng as _, rngs::SmallRng};
use rattanmast_dispatch::{Dispatcher, Settings, policy::Policy};
use rattanmast_fakes::{
    memory::{Connector, Data, Fleet},
    model,
};
use rattanmast_model::{
    catalog::Service,
    clock::Clock,
    config::{self, Config, Priority},
    host::{Host, Incarnation},
    leaf::{self, Limits},
    peer::{Ask, Order, Step, Subquery, Subreply},
    preset::Preset,
    range::KEY_SPACE,
    rank::Rank,
    request, roster,
};
use smol_str::SmolStr;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// The limits of the small leafs in both installations.
pub const SMALL_LIMITS: Limits = Limits {
    slots: 2,
    connections: 25,
    open_ms: 6,
};

/// The incarnation of the dispatcher under test.
pub const INCARNATION: Incarnation = Incarnation(7);

/// An installation of 9 hosts with one service, seen from its first candidate.
pub struct Bench {
    pub data: Data,
    pub fleet: Fleet,
    pub config: Arc<Config>,
    pub service: Service,
    pub candidates: Vec<Host>,
    pub settings: Settings,
    ids: request::Generator,
}

impl Bench {
    pub fn new(leafs: u16, behavior: model::Settings, seed: u64) -> Self {
        Self::sized(leafs, SMALL_LIMITS, behavior, seed)
    }

    pub fn sized(leafs: u16, limits: Limits, behavior: model::Settings, seed: u64) -> Self {
        let name = "registry";
        let collection = config::Collection {
            name: SmolStr::new_static(name),
            services: 1,
            leafs,
            limits,
        };
        let data = Data::new(Preset {
            name: "bench",
            domains: ["east", "west", "north"],
            hosts: 9,
            collections: vec![collection],
            search_collection: name,
            order_collection: name,
        });
        let wall = rattanmast_fakes::memory::Wall::simulated();
        let settings = Settings {
            wall: Clock::simulated(wall.now_ms()),
            ..Settings::default()
        };
        let service = Service {
            collection: SmolStr::new_static(name),
            index: 0,
        };
        let dispatchers = roster::dispatchers(&data.hosts, &service);
        Self {
            fleet: Fleet::new(&data, behavior, wall, seed),
            config: Arc::new(data.config()),
            candidates: dispatchers.into_iter().cloned().collect(),
            service,
            settings,
            ids: request::Generator::new("root", Incarnation(1)),
            data,
        }
    }

    /// Returns the dispatcher of candidate `position` after its warm connections are open.
    pub async fn dispatcher(&self, position: usize) -> Dispatcher<Connector> {
        self.with_policy(position, 1).await
    }

    pub async fn with_policy<P: Policy>(
        &self,
        position: usize,
        seed: u64,
    ) -> Dispatcher<Connector, P> {
        let host = &self.candidates[position];
        let connector = self.fleet.connector(&host.name, &host.domain);
        let settings = self.settings.clone();
        let dispatcher =
            Dispatcher::with_policy(host.name.clone(), INCARNATION, connector, settings, seed);
        self.apply(&dispatcher);
        sleep(Duration::from_millis(50)).await;
        dispatcher
    }

    pub fn apply<P: Policy>(&self, dispatcher: &Dispatcher<Connector, P>) {
        dispatcher.apply(Arc::clone(&self.config), Arc::new(self.data.leafs.clone()));
    }

    pub fn leaf(&self, index: usize) -> &rattanmast_fakes::model::Leaf {
        self.fleet.leaf(&self.data.leafs.leafs[index].name)
    }

    pub fn name(&self, index: usize) -> leaf::Name {
        self.data.leafs.leafs[index].name.clone()
    }

    pub fn subquery(&self, rank: Rank, budget_ms: u32) -> Subquery {
        Subquery {
            id: self.ids.next(),
            config: self.config.version,
            collection: self.service.collection.clone(),
            snapshot: self.data.newest(&self.service.collection).snapshot,
            asks: vec![Ask {
                service: 0,
                ranges: vec![KEY_SPACE],
                leafs: Vec::new(),
            }],
            text: SmolStr::new_static("profile-01"),
            rank,
            priority: Priority::Time,
            budget_ms,
            open: 20,
            trace: None,
        }
    }

    pub fn order(&self, key: &str) -> Order {
        Order {
            id: self.ids.next(),
            target: INCARNATION,
            step: Step::Dispatch,
            key: SmolStr::new(key),
            caller: SmolStr::new_static("bench"),
            collection: self.service.collection.clone(),
            action: SmolStr::new_static("sharpen"),
            record: SmolStr::new_static("r-0001"),
            rank: Rank::Urgent,
            budget_ms: 1_000,
            not_after_ms: self.settings.wall.now_ms() + 2_000,
            trace: None,
        }
    }

    /// Sends `rate` sub-queries of `rank` per second for `time`; returns replies and latencies.
    pub async fn run_load<P: Policy>(
        &self,
        dispatcher: &Dispatcher<Connector, P>,
        rank: Rank,
        rate: f64,
        time: Duration,
    ) -> Vec<(Subreply, Duration)> {
        let (start, mut tasks) = (Instant::now(), JoinSet::new());
        let count = (rate * time.as_secs_f64()) as u32;
        for i in 0..count {
            sleep_until(start + time * i / count).await;
            let (dispatcher, message) = (dispatcher.clone(), self.subquery(rank, 200));
            tasks.spawn(async move {
                let sent = Instant::now();
                (dispatcher.subquery(message).await, sent.elapsed())
            });
        }
        tasks.join_all().await
    }
}

/// Returns whether a reply covers everything that was asked for.
pub fn is_complete(reply: &Subreply) -> bool {
    reply.misses.is_empty() && reply.parts.len() == 1
}

/// Returns the latency at quantile `q`.
pub fn quantile(replies: &[(Subreply, Duration)], q: f64) -> Duration {
    let mut times: Vec<_> = replies.iter().map(|(_, t)| *t).collect();
    times.sort_unstable();
    times[((times.len() - 1) as f64 * q) as usize]
}

/// Runs `check` on arbitrary values from fixed seeds.
///
/// The engine of bolero would draw different values in each run.
pub fn each_case<T: TypeGenerator>(cases: u64, check: impl Fn(T)) {
    for seed in 0..cases {
        let _seed = Seed(seed);
        let options = Options::default().with_max_len(1_024);
        let value = driver::Rng::new(SmallRng::seed_from_u64(seed), &options).produce();
        check(value.expect("a generator of any value yields one"));
    }
}

/// Runs `check` like [`each_case`], with a new paused clock for each value.
pub fn each_paused_case<T: TypeGenerator>(cases: u64, check: impl AsyncFn(T)) {
    each_case(cases, |value| {
        let runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = { runtime }.enable_time().start_paused(true).build();
        let runtime = runtime.expect("a runtime without sockets starts");
        runtime.block_on(check(value));
    });
}

/// Prints the seed of a case that panics.
struct Seed(u64);

impl Drop for Seed {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("case with seed {} failed", self.0);
        }
    }
}
