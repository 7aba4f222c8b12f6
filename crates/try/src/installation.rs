//! An installation that runs in this process on loopback ports.

use std::{io, time::Duration};

use rattanmast_fakes::{
    behavior::Settings,
    clock::Wall,
    data::{Data, loopback},
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

/// An error of starting or configuring an installation.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A loopback port could not be bound.
    #[snafu(display("no loopback port can be bound ({source}); raise the file limit"))]
    Port {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The intent was refused.
    #[snafu(display("{source}"))]
    Intent {
        /// Why the intent was refused.
        source: intent::Error,
    },
    /// The plan was not confirmed.
    #[snafu(display("{source}"))]
    Confirm {
        /// Why the plan was not confirmed.
        source: accept::Error,
    },
    /// A host could not be started.
    #[snafu(display("{source}"))]
    Host {
        /// Why the host could not be started.
        source: rattanmast_host::host::Error,
    },
}

/// Time between a host reporting not ready and refusing requests; short because no load balancer
/// has to notice.
const LAME_DUCK_DURATION: Duration = Duration::from_millis(200);

/// A platform, leafs and entry hosts that run in this process.
pub struct Installation {
    /// The names, addresses and records of the installation.
    pub data: Data,
    /// The objects that the platform stores.
    pub store: Store,
    /// The address of the platform.
    pub platform: std::net::SocketAddr,
    /// The leafs.
    pub fleet: Fleet,
    /// The entry hosts.
    pub hosts: Vec<Host>,
    traces: config::Traces,
}

impl Installation {
    /// Starts an installation with the sizes of `preset` and no configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound or a host cannot be started.
    pub async fn start(preset: Preset, seed: u64, traces: &config::Traces) -> Result<Self> {
        let mut data = Data::new(preset);
        let leaf_listeners = bind_leafs(&mut data).await.context(PortSnafu)?;
        let fleet = Fleet::new(&data, Settings::default(), Wall::System, seed);
        for (listener, leaf) in leaf_listeners.into_iter().zip(&data.leafs.leafs) {
            tokio::spawn(leafs::serve(listener, fleet.leaf(&leaf.name).clone()));
        }
        let host_listeners = bind_hosts(&mut data).await?;

        let store = Store::new(seed);
        let objects = data.objects().into_iter();
        for (name, value) in objects.filter(|(name, _)| !name.starts_with("config/")) {
            store.write_now(&name, &value);
        }
        let listener = TcpListener::bind(loopback(0)).await.context(PortSnafu)?;
        let platform = listener.local_addr().context(PortSnafu)?;
        let objects = store.clone();
        tokio::spawn(serve::serve_connections(listener, move |request| {
            let objects = objects.clone();
            async move { platform::handle(&objects, request).await }
        }));

        let mut installation = Self {
            hosts: Vec::new(),
            data,
            store,
            platform,
            fleet,
            traces: traces.clone(),
        };
        for (index, listeners) in host_listeners.into_iter().enumerate() {
            let host =
                Host::start(installation.host_config(index), listeners).context(HostSnafu)?;
            installation.hosts.push(host);
        }
        Ok(installation)
    }

    /// Returns the configuration of the host at `index`.
    fn host_config(&self, index: usize) -> config::Config {
        let hosts = &self.data.hosts;
        config::Config {
            host: hosts[index].clone(),
            platform: self.platform,
            seeds: hosts.iter().map(|host| host.exchange).collect(),
            lame_duck: LAME_DUCK_DURATION,
            max_stop: Duration::from_secs(10),
            traces: self.traces.clone(),
            seed: index as u64,
        }
    }

    /// Stops the host at `index` gracefully, starts it again and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if its ports cannot be bound again or the host cannot be started.
    pub async fn restart(&mut self, index: usize) -> Result<()> {
        self.hosts.remove(index).stop().await;
        let bound = Listeners::bind(&self.data.hosts[index]).await;
        let started = Host::start(self.host_config(index), bound.context(HostSnafu)?);
        let mut host = started.context(HostSnafu)?;
        host.ready().await;
        self.hosts.insert(index, host);
        Ok(())
    }

    /// Returns the plan that puts the intent of the installation in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the intent is refused or the platform does not respond.
    pub async fn plan(&self) -> Result<Plan> {
        let text = render(&self.data.config());
        let intent = intent::parse("intent.toml", &text).context(IntentSnafu)?;
        let platform = store::Client::new(self.platform);
        let current = accept::current(&platform).await.context(ConfirmSnafu)?;
        Ok(plan::make(&current.record.config, &intent))
    }

    /// Confirms `plan` on behalf of `operator`.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan does not take effect.
    pub async fn confirm(&self, plan: &Plan, operator: &str) -> Result<Done> {
        let platform = store::Client::new(self.platform);
        let now_ms = Wall::System.now_ms();
        let done = accept::confirm(&platform, plan, operator, now_ms).await;
        done.context(ConfirmSnafu)
    }

    /// Waits until all hosts are ready.
    pub async fn wait_until_ready(&mut self) {
        for host in &mut self.hosts {
            host.ready().await;
        }
    }

    /// Stops all hosts gracefully.
    pub async fn stop(self) {
        let tasks: Vec<_> = self
            .hosts
            .into_iter()
            .map(|host| tokio::spawn(host.stop()))
            .collect();
        for task in tasks {
            if let Err(error) = task.await {
                log::error!("task that stops a host failed: {error}");
            }
        }
    }
}

/// Binds a port for each leaf and records its address in `data`.
async fn bind_leafs(data: &mut Data) -> io::Result<Vec<TcpListener>> {
    let mut listeners = Vec::with_capacity(data.leafs.leafs.len());
    for leaf in &mut data.leafs.leafs {
        let listener = TcpListener::bind(loopback(0)).await?;
        leaf.addr = listener.local_addr()?;
        listeners.push(listener);
    }
    Ok(listeners)
}

/// Binds the ports of each host and records their addresses in `data`.
async fn bind_hosts(data: &mut Data) -> Result<Vec<Listeners>> {
    let mut host_listeners = Vec::with_capacity(data.hosts.len());
    for host in &mut data.hosts {
        (host.http, host.hop, host.exchange) = (loopback(0), loopback(0), loopback(0));
        let listeners = Listeners::bind(host).await.context(HostSnafu)?;
        [host.http, host.hop, host.exchange] = listeners.addresses().context(PortSnafu)?;
        host_listeners.push(listeners);
    }
    Ok(host_listeners)
}
