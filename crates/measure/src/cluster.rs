//! The simulated hosts and leafs of one run.

use std::{sync::Arc, time::Duration};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_dispatch::Dispatcher;
use rattanmast_fakes::{
    behavior,
    clock::Wall,
    data::Data,
    fleet::{Connector, Fleet},
    model::Leaf,
};
use rattanmast_gather::{Gatherer, Settings};
use rattanmast_model::{
    catalog::{Catalog, Part, Service},
    config::{Collection, Config, Search},
    hash::{self, Map},
    host::Incarnation,
    preset::Preset,
    range::Range,
    roster,
};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::{
    meter::{Counted, Meter},
    peers::{self, Endpoint},
    policy::Suite,
    scenario::{Event, Scenario},
};

/// The longest delay until a host applies a new catalog.
const MAX_CATALOG_LAG_MS: u64 = 500;

const REPARTITION_INTERVAL: Duration = Duration::from_secs(1);

/// The slots of the searched leafs.
pub struct Slots(Vec<Leaf>);

impl Slots {
    /// Returns the total time for which the leafs' slots have been in use, in microseconds.
    pub fn busy_us(&self) -> u64 {
        self.0.iter().map(|l| l.counters().busy_us).sum()
    }
}

/// One entry host.
pub struct Host<S: Suite> {
    /// The host's query root.
    pub root: Gatherer<Endpoint, S::Gather>,
    /// The host's endpoint on the simulated network.
    pub peers: Endpoint,
    dispatcher: Dispatcher<Counted<Connector>, S::Dispatch>,
}

/// All simulated hosts and leafs.
pub struct Cluster<S: Suite> {
    /// The hosts.
    pub hosts: Vec<Host<S>>,
    /// Counts requests to leafs.
    pub meter: Arc<Meter>,
    /// Service times and other behavior of the leafs.
    pub leaf: behavior::Settings,
    fleet: Fleet,
    data: Data,
    config: Arc<Config>,
    rng: SmallRng,
}

impl<S: Suite> Cluster<S> {
    /// Creates the hosts and leafs of the Norway preset, all in service.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let data = Data::new(Preset::norway());
        let leaf = behavior::Settings::default();
        let wall = Wall::simulated();
        let fleet = Fleet::new(&data, leaf, wall, seed);
        let faults = behavior::Faults {
            slow_share: scenario.slow_share,
            ..behavior::Faults::default()
        };
        for leaf in fleet.leafs() {
            leaf.set_faults(faults);
        }
        let meter = Arc::new(Meter::default());
        let incarnation = Incarnation(wall.now_ns());
        let (peers, inboxes) = peers::connect(
            &data.hosts,
            Some(scenario.regions),
            incarnation,
            hash::mix(seed),
        );
        let mut hosts = Vec::new();
        for ((host, peers), inbox) in data.hosts.iter().zip(peers).zip(inboxes) {
            let seed = hash::stable([host.name.as_bytes(), &seed.to_le_bytes()]);
            let connector = fleet.connector(&host.name, &host.domain);
            let connector = Counted::new(connector, Arc::clone(&meter));
            let dispatcher = Dispatcher::with_policy(
                host.name.clone(),
                incarnation,
                connector,
                S::dispatch(),
                seed,
            );
            let settings = Settings::default();
            let policy = S::gather(&host.name, &settings, seed);
            let root = Gatherer::with_policy(
                host.name.clone(),
                incarnation,
                peers.clone(),
                settings,
                seed,
                policy,
            );
            tokio::spawn(inbox.serve::<S, _>(dispatcher.clone()));
            hosts.push(Host {
                root,
                peers,
                dispatcher,
            });
        }
        let cluster = Self {
            hosts,
            meter,
            leaf,
            fleet,
            config: Arc::new(data.config()),
            data,
            rng: SmallRng::seed_from_u64(hash::mix(seed ^ 1)),
        };
        let leafs = Arc::new(cluster.data.leafs.clone());
        for host in &cluster.hosts {
            let config = Arc::clone(&cluster.config);
            host.dispatcher.apply(config, Arc::clone(&leafs));
        }
        cluster.distribute_catalogs(|_| Duration::ZERO);
        cluster
    }

    /// Returns the collection that queries search.
    pub fn collection(&self) -> &Collection {
        let name = self.data.preset.search_collection;
        let found = self.config.collection(name);
        found.expect("the preset's collection is in its configuration")
    }

    /// Returns the search configuration that queries use.
    pub fn search(&self) -> Search {
        let found = self.config.search(self.data.preset.search_collection);
        found
            .expect("the configuration has a search of each collection")
            .clone()
    }

    /// Applies `event`. [`Event::Repartition`] repeats forever; all others return immediately.
    pub async fn run_event(&mut self, event: Event) {
        match event {
            Event::ReplicaLoss => self.lose_replicas(),
            Event::HostLoss => self.isolate_host(self.host_with_most_parts()),
            Event::Repartition => loop {
                self.repartition();
                sleep(REPARTITION_INTERVAL).await;
            },
            Event::ForgedAnswers => {}
        }
    }

    /// Stops one replica of every tenth shard, which stays on the platform's list.
    fn lose_replicas(&self) {
        let searched = self.data.preset.search_collection;
        let is_searched = |s: &&rattanmast_model::leaf::Leaf| s.service.collection == searched;
        let leafs: Vec<_> = self.data.leafs.leafs.iter().filter(is_searched).collect();
        let replicas = usize::from(self.collection().leafs);
        for leaf in leafs.iter().step_by(10 * replicas) {
            self.fleet.leaf(&leaf.name).stop();
        }
    }

    /// Cuts the host at `index` off from all hosts and leafs, like a failed machine.
    fn isolate_host(&self, index: usize) {
        let host = &self.data.hosts[index];
        for leaf in &self.data.leafs.leafs {
            self.fleet.set_cut(&host.name, &leaf.name, true);
        }
        self.hosts[index].peers.mark_lost();
    }

    /// Returns the index of the host that is first candidate for the most parts of the
    /// searched collection.
    fn host_with_most_parts(&self) -> usize {
        let count = |index: &usize| self.dispatched_ranges(*index).len();
        // `max_by_key` returns the last maximum; reversing makes the lowest index win a tie.
        let hosts = (0..self.data.hosts.len()).rev();
        hosts.max_by_key(count).unwrap_or_default()
    }

    /// Returns the key ranges dispatched by the host that [`Event::HostLoss`] cuts off.
    pub fn ranges_at_risk(&self) -> Vec<Range> {
        self.dispatched_ranges(self.host_with_most_parts())
    }

    /// Returns the key ranges for which the host at `index` is the first dispatcher candidate.
    fn dispatched_ranges(&self, index: usize) -> Vec<Range> {
        let name = self.data.preset.search_collection;
        let hosts = &self.data.hosts;
        let is_dispatched = |part: &&Part| {
            let service = Service {
                collection: SmolStr::new_static(name),
                index: part.service,
            };
            let first = roster::dispatchers(hosts, &service).first().copied();
            first.is_some_and(|h| h.name == hosts[index].name)
        };
        let parts = self.data.newest(name).parts.iter().filter(is_dispatched);
        parts.map(|p| p.range).collect()
    }

    /// Returns the slots of the leafs of the searched collection.
    pub fn searched_slots(&self) -> Slots {
        let searched = self.data.preset.search_collection;
        let is_searched = |l: &&rattanmast_model::leaf::Leaf| l.service.collection == searched;
        let leafs = self.data.leafs.leafs.iter().filter(is_searched);
        Slots(leafs.map(|l| self.fleet.leaf(&l.name).clone()).collect())
    }

    /// Splits, moves and merges parts, and publishes the next snapshot.
    fn repartition(&mut self) {
        let name = self.data.preset.search_collection;
        let services = self.collection().services;
        let parts = self.data.newest(name).parts.len();
        let index = self.rng.random_range(0..parts);
        self.data.split_part(name, index);
        let index = self.rng.random_range(0..parts);
        let service = self.rng.random_range(0..services);
        self.data.move_part(name, index, service);
        if parts > usize::from(services) {
            let index = self.rng.random_range(0..parts - 1);
            self.data.merge_parts(name, index);
        }
        self.data.publish(name);
        self.fleet.load_holdings(&self.data);
        let mut rng = SmallRng::seed_from_u64(self.rng.random());
        self.distribute_catalogs(|_| {
            Duration::from_millis(rng.random_range(0..=MAX_CATALOG_LAG_MS))
        });
    }

    /// Applies the current catalogs on each host after the delay that `lag` returns for its index.
    fn distribute_catalogs(&self, mut lag: impl FnMut(usize) -> Duration) {
        let entry = |c: &Catalog| (c.collection.clone(), Arc::new(c.clone()));
        let catalogs: Map<SmolStr, Arc<Catalog>> = self.data.catalogs.iter().map(entry).collect();
        let catalogs = Arc::new(catalogs);
        let leafs = Arc::new(self.data.leafs.clone());
        for (index, host) in self.hosts.iter().enumerate() {
            let root = host.root.clone();
            let state = (
                Arc::clone(&self.config),
                Arc::clone(&catalogs),
                Arc::clone(&leafs),
            );
            let lag = lag(index);
            if lag.is_zero() {
                root.apply(state.0, state.1, state.2);
                continue;
            }
            tokio::spawn(async move {
                sleep(lag).await;
                root.apply(state.0, state.1, state.2);
            });
        }
    }
}
