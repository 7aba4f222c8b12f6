//! An in-memory fleet of leafs and the simulated network to them.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{
    hash::{self, Map, Set},
    host::{Domain, Name},
    leaf::{self, Error, Order, OrderReply, Result, Search, SearchReply},
    request,
};
use smol_str::SmolStr;
use tokio::time::{sleep, timeout};

use crate::{
    clock::{self, Wall},
    connection,
    data::Data,
    model::{Leaf, Settings},
};

/// One-way latency within a failure domain.
const SAME_DOMAIN_LATENCY: Duration = Duration::from_micros(200);

/// One-way latency between failure domains.
const CROSS_DOMAIN_LATENCY: Duration = Duration::from_micros(1_500);

/// The maximum deviation of a latency from its nominal value, as a share of the nominal value.
const JITTER_SHARE: f64 = 0.1;

/// The leafs of an installation; clones are handles to the same ones.
#[derive(Clone, Debug)]
pub struct Fleet {
    leafs: Arc<Map<leaf::Name, Leaf>>,
    network: Arc<Mutex<Network>>,
}

#[derive(Debug)]
struct Network {
    rng: SmallRng,
    cut_paths: Set<(Name, leaf::Name)>,
}

impl Fleet {
    /// Returns the leafs of `data`; each derives its own seed from `seed` and its name.
    pub fn new(data: &Data, settings: Settings, wall: Wall, seed: u64) -> Self {
        let leafs = data.leafs.leafs.iter().map(|l| {
            let seed = hash::stable([l.name.as_bytes(), &seed.to_le_bytes()]);
            let mut collections = data.preset.collections.iter();
            let limits = collections
                .find(|c| c.name == l.service.collection)
                .map(|c| c.limits)
                .expect("a leaf's collection is one of the preset's");
            let leaf = Leaf::new(l.name.clone(), limits, settings, wall, seed);
            (l.name.clone(), leaf)
        });
        let fleet = Self {
            leafs: Arc::new(leafs.collect()),
            network: Arc::new(Mutex::new(Network {
                rng: SmallRng::seed_from_u64(seed),
                cut_paths: Set::default(),
            })),
        };
        fleet.load_holdings(data);
        fleet
    }

    /// Immediately replaces the holdings of all leafs by those that `data` assigns to them.
    pub fn load_holdings(&self, data: &Data) {
        let mut holdings = data.holdings();
        for (name, leaf) in &*self.leafs {
            leaf.set_holdings(holdings.remove(name).unwrap_or_default());
        }
    }

    /// Returns the leaf named `name`.
    ///
    /// # Panics
    ///
    /// If there is none.
    pub fn leaf(&self, name: &str) -> &Leaf {
        self.leafs.get(name).expect("the name is that of a leaf")
    }

    /// Returns all leafs, sorted by name.
    pub fn leafs(&self) -> Vec<&Leaf> {
        let mut leafs: Vec<_> = self.leafs.iter().collect();
        leafs.sort_unstable_by_key(|(name, _)| *name);
        leafs.into_iter().map(|(_, leaf)| leaf).collect()
    }

    /// Returns the connector of `host`, which runs in `domain`.
    pub fn connector(&self, host: &str, domain: &str) -> Connector {
        Connector {
            fleet: self.clone(),
            host: SmolStr::new(host),
            domain: SmolStr::new(domain),
        }
    }

    /// Sets whether the path between `host` and `leaf` is cut.
    ///
    /// On a cut path, connection attempts hang and requests in flight get no reply.
    pub fn set_cut(&self, host: &str, leaf: &str, cut: bool) {
        let path = (SmolStr::new(host), SmolStr::new(leaf));
        let mut network = self.lock();
        if cut {
            network.cut_paths.insert(path);
        } else {
            network.cut_paths.remove(&path);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Network> {
        self.network
            .lock()
            .expect("no code panics while it holds the lock")
    }
}

/// Opens connections from one host.
#[derive(Clone, Debug)]
pub struct Connector {
    fleet: Fleet,
    host: Name,
    domain: Domain,
}

/// The network path between a host and a leaf.
#[derive(Clone, Debug)]
struct Path {
    fleet: Fleet,
    endpoints: (Name, leaf::Name),
    latency: Duration,
}

impl Path {
    fn draw_latency(&self) -> Duration {
        let rng = &mut self.fleet.lock().rng;
        let jitter = rng.random_range(-JITTER_SHARE..=JITTER_SHARE);
        clock::round_to_millis(self.latency.mul_f64(1.0 + jitter), rng.random())
    }

    /// Waits for the one-way latency of a message; never returns if the path is cut.
    async fn deliver(&self) {
        sleep(self.draw_latency()).await;
        let cut = self.fleet.lock().cut_paths.contains(&self.endpoints);
        if cut {
            std::future::pending::<()>().await;
        }
    }
}

impl leaf::Connector for Connector {
    type Connection = Connection;

    async fn open(&self, leaf: &leaf::Leaf) -> Result<Connection> {
        let latency = if leaf.domain == self.domain {
            SAME_DOMAIN_LATENCY
        } else {
            CROSS_DOMAIN_LATENCY
        };
        let path = Path {
            fleet: self.fleet.clone(),
            endpoints: (self.host.clone(), leaf.name.clone()),
            latency,
        };
        path.deliver().await;
        let Some(model) = self.fleet.leafs.get(&leaf.name) else {
            let why = SmolStr::new_static("no such leaf");
            return Err(Error::Connect { why });
        };
        let connection = model.connect();
        if connection.is_ok() {
            sleep(Duration::from_millis(model.limits().open_ms.into())).await;
        }
        path.deliver().await;
        connection.map(|connection| Connection {
            path,
            connection: Some(connection),
        })
    }
}

/// A connection from a host to a leaf; closed on drop.
#[derive(Debug)]
pub struct Connection {
    path: Path,
    connection: Option<connection::Connection>,
}

impl Connection {
    fn connection(&self) -> &connection::Connection {
        let connection = self.connection.as_ref();
        connection.expect("the connection is taken only when the link is dropped")
    }
}

impl leaf::Connection for Connection {
    async fn cancel(&mut self, id: request::Id) -> Result<()> {
        self.path.deliver().await;
        let result = self.connection().cancel(id).await;
        self.path.deliver().await;
        result
    }

    async fn close(mut self, wait: Duration) -> bool {
        let connection = self.connection.take();
        let path = self.path.clone();
        let closed = async {
            path.deliver().await;
            let open = connection
                .as_ref()
                .is_some_and(connection::Connection::is_open);
            drop(connection);
            if !open {
                std::future::pending::<()>().await;
            }
            path.deliver().await;
        };
        timeout(wait, closed).await.is_ok()
    }
}

impl leaf::Searcher for Connection {
    async fn search(&mut self, search: &Search) -> Result<SearchReply> {
        self.path.deliver().await;
        let result = self.connection().search(search).await;
        self.path.deliver().await;
        result
    }

    async fn order(&mut self, order: &Order) -> Result<OrderReply> {
        self.path.deliver().await;
        let result = self.connection().order(order).await;
        self.path.deliver().await;
        result
    }
}

impl Drop for Connection {
    /// Closes the connection at the leaf after a one-way latency.
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let delay = self.path.draw_latency();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                sleep(delay).await;
                drop(connection);
            });
        }
    }
}
