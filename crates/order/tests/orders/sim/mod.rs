//! A simulated fleet with fault injection on the paused clock: platform, network, dispatchers and
//! leafs.

mod network;
mod platform;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use network::Peers;
use platform::Store;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rattanmast_model::{
    clock::{Clock, Simulated},
    config::{Collection, Config},
    dedup,
    host::{Host, Incarnation},
    leaf::Limits,
    store::Version,
};
use rattanmast_order::{Orders, Settings, settings::Mutation};
use tokio::time::{Instant, sleep, sleep_until};

pub const HOSTS: usize = 5;
pub const COLLECTION: &str = "club-billing";

/// Wall-clock time at the start of a run, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_800_000_000_000;

/// Maximum error of a host's wall clock, in milliseconds.
pub const MAX_SKEW_MS: i64 = 200;

pub type Process = Orders<Store, Peers>;

/// Probability of each fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lose_answer: f64,
    pub late_write: f64,
    pub hang: f64,
    pub connect: f64,
    pub break_reply: f64,
    pub duplicate: f64,
    pub delay: f64,
    pub shed: f64,
}

impl Faults {
    pub fn all(rng: &mut SmallRng) -> Self {
        let mut share = |max: f64| max * rng.random_range(0.0..1.0f64);
        Self {
            lose_answer: share(0.2),
            late_write: share(0.1),
            hang: share(0.05),
            connect: share(0.1),
            break_reply: share(0.1),
            duplicate: share(0.3),
            delay: share(0.1),
            shed: share(0.1),
        }
    }
}

/// A run of an order at a leaf.
pub struct Run {
    pub attempt: u128,
    pub result: String,
}

/// A host, its current process, and its view of the other hosts.
pub struct HostState {
    pub up: bool,
    pub incarnation: Incarnation,
    pub process: Option<Process>,
    pub dedup: dedup::Filter,
    pub paused_until: Instant,
    pub clock: Arc<Simulated>,
    /// Whether the host's dispatcher cannot prove its configuration.
    pub stale: bool,
    /// Incarnations of the other hosts as this host knows them.
    pub known_incarnations: Vec<Option<Incarnation>>,
    /// Until when this host suspects each of the others.
    pub suspected_until: Vec<Instant>,
}

pub struct State {
    pub rng: SmallRng,
    pub faults: Faults,
    pub outage: bool,
    pub objects: BTreeMap<String, (Version, Vec<u8>)>,
    pub version: u64,
    pub calls: BTreeMap<&'static str, u64>,
    pub hosts: Vec<HostState>,
    /// Runs at the leafs, by caller and key.
    pub runs: BTreeMap<(String, String), Vec<Run>>,
    /// When a claim of each key last took effect.
    pub claims: BTreeMap<[u64; 2], Instant>,
    pub violations: Vec<String>,
}

#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<State>>,
    started_at: Instant,
    pub settings: Settings,
    pub config: Arc<Config>,
}

/// The process of a host with a given incarnation.
#[derive(Clone, Copy)]
pub struct ProcessId {
    pub host: usize,
    pub incarnation: Incarnation,
}

impl Fleet {
    pub fn new(seed: u64, settings: Settings) -> Self {
        let now = Instant::now();
        let host_state = |_| HostState {
            up: false,
            incarnation: Incarnation(0),
            process: None,
            dedup: dedup::Filter::new(Incarnation(0)),
            paused_until: now,
            clock: Arc::new(Simulated::new(now, START_MS)),
            stale: false,
            known_incarnations: vec![None; HOSTS],
            suspected_until: vec![now; HOSTS],
        };
        let state = State {
            rng: SmallRng::seed_from_u64(seed),
            faults: Faults::default(),
            outage: false,
            objects: BTreeMap::new(),
            version: 0,
            calls: BTreeMap::new(),
            hosts: (0..HOSTS).map(host_state).collect(),
            runs: BTreeMap::new(),
            claims: BTreeMap::new(),
            violations: Vec::new(),
        };
        let fleet = Self {
            state: Arc::new(Mutex::new(state)),
            started_at: now,
            settings,
            config: Arc::new(config()),
        };
        for host in 0..HOSTS {
            fleet.start_process(host);
            for observer in 0..HOSTS {
                let incarnation = fleet.lock().hosts[host].incarnation;
                fleet.lock().hosts[observer].known_incarnations[host] = Some(incarnation);
            }
        }
        fleet
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no test code panics while it holds the lock")
    }

    pub fn fault_occurs(&self, share: impl Fn(&Faults) -> f64) -> bool {
        let mut state = self.lock();
        let share = share(&state.faults);
        share > 0.0 && state.rng.random_bool(share)
    }

    pub fn random(&self, range: std::ops::Range<u64>) -> u64 {
        self.lock().rng.random_range(range)
    }

    pub async fn sleep_random(&self, ms: std::ops::Range<u64>) {
        sleep(Duration::from_millis(self.random(ms))).await;
    }

    pub fn true_ms(&self) -> u64 {
        START_MS + self.started_at.elapsed().as_millis() as u64
    }

    pub fn wall_ms(&self, host: usize) -> u64 {
        self.lock().hosts[host].clock.now_ms()
    }

    /// Waits while the process is paused; never returns once it is dead.
    pub async fn wait_until_running(&self, id: ProcessId) {
        loop {
            let paused_until = {
                let state = self.lock();
                let host_state = &state.hosts[id.host];
                let alive = host_state.up && host_state.incarnation == id.incarnation;
                alive.then_some(host_state.paused_until)
            };
            match paused_until {
                None => std::future::pending().await,
                Some(until) if until > Instant::now() => sleep_until(until).await,
                Some(_) => return,
            }
        }
    }

    pub fn id(&self, host: usize) -> ProcessId {
        let incarnation = self.lock().hosts[host].incarnation;
        ProcessId { host, incarnation }
    }

    pub fn process(&self, host: usize) -> Option<Process> {
        let state = self.lock();
        let host_state = &state.hosts[host];
        host_state.process.clone().filter(|_| host_state.up)
    }

    /// Returns the total size of the platform's objects in bytes.
    pub fn stored(&self) -> i64 {
        let state = self.lock();
        let sizes = state.objects.values().map(|(_, value)| value.len());
        sizes.sum::<usize>() as i64
    }

    /// Starts a process with a new incarnation on `host`.
    pub fn start_process(&self, host: usize) {
        let incarnation = Incarnation(self.wall_ms(host) * 1_000_000);
        let seed = self.lock().rng.random();
        let clock = Arc::clone(&self.lock().hosts[host].clock);
        let id = ProcessId { host, incarnation };
        let settings = Settings {
            wall: Clock::Simulated(clock),
            ..self.settings.clone()
        };
        let (store, peers) = (Store::new(self, id), Peers::new(self, id));
        let process = Orders::new(name(host).into(), incarnation, store, peers, settings, seed);
        process.apply_config(Arc::clone(&self.config));
        let mut state = self.lock();
        let host_state = &mut state.hosts[host];
        host_state.up = true;
        host_state.incarnation = incarnation;
        host_state.dedup = dedup::Filter::new(incarnation);
        host_state.process = Some(process);
        host_state.known_incarnations[host] = Some(incarnation);
    }

    /// Makes the incarnation of `host` known to the other hosts, each after a random delay.
    pub fn announce(&self, host: usize) {
        for observer in (0..HOSTS).filter(|o| *o != host) {
            let fleet = self.clone();
            tokio::spawn(async move {
                fleet.sleep_random(0..3000).await;
                let mut state = fleet.lock();
                let incarnation = state.hosts[host].incarnation;
                state.hosts[observer].known_incarnations[host] = Some(incarnation);
            });
        }
    }

    /// Kills the process of `host` at once.
    pub fn kill(&self, host: usize) {
        self.lock().hosts[host].up = false;
    }
}

pub fn name(host: usize) -> &'static str {
    ["h0", "h1", "h2", "h3", "h4"][host]
}

fn config() -> Config {
    let addr = ([127, 0, 0, 1], 1).into();
    let host = |index: usize| Host {
        name: name(index).into(),
        domain: ["bern", "geneva", "zurich"][index % 3].into(),
        http: addr,
        hop: addr,
        exchange: addr,
        link_mbps: 0,
        cpu_millis: 0,
    };
    let limits = Limits {
        slots: 4,
        connections: 45,
        open_ms: 1,
    };
    Config {
        hosts: (0..HOSTS).map(host).collect(),
        collections: vec![Collection {
            name: COLLECTION.into(),
            services: 1,
            leafs: 4,
            limits,
        }],
        ..Config::default()
    }
}

/// Settings with an idempotency window short enough for keys to expire within a run.
pub fn settings(mutation: Mutation) -> Settings {
    Settings {
        idempotency_window: Duration::from_secs(30),
        max_clock_skew: Duration::from_secs(5),
        checkpoint_batches: 5,
        idle_timeout: Duration::from_secs(8),
        mutation,
        ..Settings::default()
    }
}

/// Returns the text of a UUIDv7.
pub fn uuid(ms: u64, random: u64) -> String {
    let (high, low) = (ms >> 16, ms & 0xffff);
    let (a, b) = (random & 0xfff, random >> 16);
    format!("{high:08x}-{low:04x}-7{a:03x}-8000-{b:012x}")
}
