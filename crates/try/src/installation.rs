//! An installation on loopback ports.

use std::{io, time::Duration};

use rattanmast_fakes::{
    behavior::Settings,
    clock::Wall,
    data::{Data, local},
    fleet::Fleet,
    leafs, platform, serve,
    store::Store,
};
use rattanmast_host::{Host, Listeners, config};
use rattanmast_model::preset::Preset;
use rattanmast_state::{
    accept::{self, Done},
    intent,
    plan::{self, Plan},
};
use rattanmast_wire::store;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;

use crate::intent::render;

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an installation cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No port could be bound.
    #[snafu(display("no loopback port can be bound ({source}); raise the file limit"))]
    Port {
        /// What the system returned.
        source: io::Error,
    },
    /// The intent was refused.
    #[snafu(display("{source}"))]
    Intent {
        /// Why.
        source: intent::Error,
    },
    /// The plan was not confirmed.
    #[snafu(display("{source}"))]
    Confirm {
        /// Why.
        source: accept::Error,
    },
    /// A host could not be set up.
    #[snafu(display("{source}"))]
    Host {
        /// Why.
        source: rattanmast_host::host::Error,
    },
}

/// Time between a host's readiness going off and its refusing; there is no balancer to wait for.
const LAME_DUCK: Duration = Duration::from_millis(200);

/// A platform, leafs and hosts that run in this process.
pub struct Installation {
    /// Names, addresses and records.
    pub data: Data,
    /// The platform's objects.
    pub store: Store,
    /// The platform's address.
    pub platform: std::net::SocketAddr,
    /// The leafs.
    pub fleet: Fleet,
    /// The entry hosts.
    pub hosts: Vec<Host>,
    traces: config::Traces,
}

impl Installation {
    /// Starts an installation of the sizes `preset`, without a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if ports cannot be bound.
    pub async fn start(preset: Preset, seed: u64, traces: &config::Traces) -> Result<Self> {
        let mut data = Data::new(preset);
        let sockets = leaf_sockets(&mut data).await.context(PortSnafu)?;
        let fleet = Fleet::new(&data, Settings::default(), Wall::System, seed);
        for (listener, leaf) in sockets.into_iter().zip(&data.leafs.leafs) {
            tokio::spawn(leafs::serve(listener, fleet.leaf(&leaf.name).clone()));
        }
        let listeners = host_sockets(&mut data).await?;

        let store = Store::new(seed);
        let objects = data.objects().into_iter();
        for (name, value) in objects.filter(|(name, _)| !name.starts_with("config/")) {
            store.put(&name, &value);
        }
        let listener = TcpListener::bind(local(0)).await.context(PortSnafu)?;
        let platform = listener.local_addr().context(PortSnafu)?;
        let objects = store.clone();
        tokio::spawn(serve::forever(listener, move |request| {
            let objects = objects.clone();
            async move { platform::answer(&objects, request).await }
        }));

        let mut installation = Self {
            hosts: Vec::new(),
            data,
            store,
            platform,
            fleet,
            traces: traces.clone(),
        };
        for (index, listeners) in listeners.into_iter().enumerate() {
            let host = Host::start(installation.config(index), listeners).context(HostSnafu)?;
            installation.hosts.push(host);
        }
        Ok(installation)
    }

    /// Returns the settings of the host at `index`.
    fn config(&self, index: usize) -> config::Config {
        let hosts = &self.data.hosts;
        config::Config {
            host: hosts[index].clone(),
            platform: self.platform,
            seeds: hosts.iter().map(|host| host.exchange).collect(),
            lame_duck: LAME_DUCK,
            longest_stop: Duration::from_secs(10),
            traces: self.traces.clone(),
            seed: index as u64,
        }
    }

    /// Stops the host at `index` gracefully, starts it anew and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error if its ports cannot be bound again.
    pub async fn restart(&mut self, index: usize) -> Result<()> {
        self.hosts.remove(index).stop().await;
        let bound = Listeners::bind(&self.data.hosts[index]).await;
        let started = Host::start(self.config(index), bound.context(HostSnafu)?);
        let mut host = started.context(HostSnafu)?;
        host.ready().await;
        self.hosts.insert(index, host);
        Ok(())
    }

    /// Returns the plan that puts the installation's intent in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the intent is refused or the platform does not answer.
    pub async fn plan(&self) -> Result<Plan> {
        let text = render(&self.data.config());
        let intent = intent::parse("intent.toml", &text).context(IntentSnafu)?;
        let platform = store::Client::new(self.platform);
        let current = accept::current(&platform).await.context(ConfirmSnafu)?;
        Ok(plan::make(&current.record.config, &intent))
    }

    /// Confirms `plan` as the operator `by`.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan does not take effect.
    pub async fn confirm(&self, plan: &Plan, by: &str) -> Result<Done> {
        let platform = store::Client::new(self.platform);
        let now_ms = Wall::System.now_ms();
        let done = accept::confirm(&platform, plan, by, now_ms).await;
        done.context(ConfirmSnafu)
    }

    /// Waits until all hosts serve.
    pub async fn ready(&mut self) {
        for host in &mut self.hosts {
            host.ready().await;
        }
    }

    /// Stops all hosts gracefully.
    pub async fn stop(self) {
        let stops: Vec<_> = self
            .hosts
            .into_iter()
            .map(|h| tokio::spawn(h.stop()))
            .collect();
        for stop in stops {
            if let Err(error) = stop.await {
                log::error!("a host did not stop: {error}");
            }
        }
    }
}

/// Binds a port for each leaf and notes it in `data`.
async fn leaf_sockets(data: &mut Data) -> io::Result<Vec<TcpListener>> {
    let mut sockets = Vec::with_capacity(data.leafs.leafs.len());
    for leaf in &mut data.leafs.leafs {
        let listener = TcpListener::bind(local(0)).await?;
        leaf.addr = listener.local_addr()?;
        sockets.push(listener);
    }
    Ok(sockets)
}

/// Binds the ports of each host and notes them in `data`.
async fn host_sockets(data: &mut Data) -> Result<Vec<Listeners>> {
    let mut sockets = Vec::with_capacity(data.hosts.len());
    for host in &mut data.hosts {
        (host.http, host.hop, host.exchange) = (local(0), local(0), local(0));
        let listeners = Listeners::bind(host).await.context(HostSnafu)?;
        [host.http, host.hop, host.exchange] = listeners.addresses().context(PortSnafu)?;
        sockets.push(listeners);
    }
    Ok(sockets)
}
