//! A running host: its listeners, roles and controllers.

use std::{future::Future, io, net::SocketAddr, time::Duration};

use rattanmast_dispatch::Dispatcher;
use rattanmast_gather::Gatherer;
use rattanmast_model::host::{self, Incarnation};
use rattanmast_order::Orders;
use rattanmast_state::node::Node;
use rattanmast_wire::{exchange, hop::proto::hop_server::HopServer, leaf, store};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::JoinHandle,
    time,
};
use tokio_util::sync::CancellationToken;
use tonic::transport::{Server, server::TcpIncoming};

use crate::{
    api::{Api, World},
    clock,
    config::Config,
    controllers, hop,
    local::{self, Roles},
    metrics::Metrics,
    peers::Peers,
    scrape::Scrape,
    server::{self, Phase, Service},
    spans::{self, Connector, Tracer},
};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a host cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be bound.
    #[snafu(display("--{flag} {addr} cannot be bound ({source}); give a free address"))]
    Bind {
        /// The flag.
        flag: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system returned.
        source: io::Error,
    },
    /// Spans cannot be exported.
    #[snafu(display("{source}"))]
    Traces {
        /// Why.
        source: spans::Error,
    },
}

/// The bound sockets of a host.
#[derive(Debug)]
pub struct Listeners {
    http: TcpListener,
    hop: TcpListener,
    exchange: TcpListener,
}

impl Listeners {
    /// Binds the addresses of `host`.
    ///
    /// # Errors
    ///
    /// Names the flag whose address cannot be bound.
    pub async fn bind(host: &host::Host) -> Result<Self> {
        let bind = async |flag, addr: SocketAddr| {
            let bound = TcpListener::bind(addr).await;
            bound.context(BindSnafu { flag, addr })
        };
        Ok(Self {
            http: bind("http", host.http).await?,
            hop: bind("hop", host.hop).await?,
            exchange: bind("exchange", host.exchange).await?,
        })
    }

    /// Returns the bound addresses: HTTP, hop, exchange.
    ///
    /// # Errors
    ///
    /// Passes on what the system returned.
    pub fn addresses(&self) -> io::Result<[SocketAddr; 3]> {
        Ok([
            self.http.local_addr()?,
            self.hop.local_addr()?,
            self.exchange.local_addr()?,
        ])
    }
}

/// A running host.
pub struct Host {
    config: Config,
    node: Node<store::Client, exchange::Client>,
    roles: Roles,
    gatherer: Gatherer<Peers>,
    tracer: Tracer,
    phase: watch::Sender<Phase>,
    world: watch::Receiver<World>,
    /// Ends the servers; what is in hand is finished.
    closing: CancellationToken,
    /// Ends the controllers.
    ending: CancellationToken,
    servers: Vec<JoinHandle<()>>,
    controllers: Vec<JoinHandle<()>>,
}

impl Host {
    /// Starts all roles of a host on `listeners`.
    ///
    /// # Errors
    ///
    /// Returns an error if spans cannot be exported.
    pub fn start(config: Config, listeners: Listeners) -> Result<Self> {
        let me = config.host.name.clone();
        let incarnation = Incarnation(clock::unix_ns());
        let seed = config.seed;
        let tracer = Tracer::new(&me, &config.traces).context(TracesSnafu)?;
        let platform = store::Client::new(config.platform);
        let node = Node::new(
            config.host.clone(),
            incarnation,
            platform.clone(),
            exchange::Client::default(),
            controllers::state_settings(&config),
            seed,
        );
        let (calls, inbox) = local::queue();
        let peers = Peers::new(me.clone(), node.clone(), calls);
        let connector = Connector::new(leaf::Connector, tracer.clone());
        let roles = Roles {
            dispatcher: Dispatcher::new(
                me.clone(),
                incarnation,
                connector,
                Default::default(),
                seed,
            ),
            orders: Orders::new(
                me.clone(),
                incarnation,
                platform,
                peers.clone(),
                Default::default(),
                seed,
            ),
            tracer: tracer.clone(),
        };
        let gatherer = Gatherer::new(me, incarnation, peers.clone(), Default::default(), seed);
        let (phase, phases) = watch::channel(Phase::Ready);
        let (worlds, world) = watch::channel(World::default());
        let metrics = Metrics::default();
        let api = Api {
            gatherer: gatherer.clone(),
            orders: roles.orders.clone(),
            tracer: tracer.clone(),
            metrics: metrics.clone(),
            world: world.clone(),
            phase: phases,
        };
        let (closing, ending) = (CancellationToken::new(), CancellationToken::new());
        let service = Service {
            api,
            node: node.clone(),
            scrape: Scrape {
                metrics,
                roles: roles.clone(),
                gatherer: gatherer.clone(),
                node: node.clone(),
            },
        };
        let follow = controllers::Follow {
            node: node.clone(),
            roles: roles.clone(),
            gatherer: gatherer.clone(),
            peers,
            worlds,
        };
        let servers = vec![
            tokio::spawn(server::serve(listeners.http, service, closing.clone())),
            tokio::spawn(serve_hop(listeners.hop, roles.clone(), closing.clone())),
        ];
        let exchanges = exchange::serve(listeners.exchange, node.clone(), ending.clone());
        let controllers = vec![
            tokio::spawn(exchanges),
            tokio::spawn(until(ending.clone(), roles.clone().serve(inbox))),
            tokio::spawn(until(ending.clone(), follow.run())),
            tokio::spawn({
                let (node, ending) = (node.clone(), ending.clone());
                async move { node.run(ending).await }
            }),
        ];
        log::info!(
            "host {} serves http={} hop={} exchange={}",
            config.host.name,
            config.host.http,
            config.host.hop,
            config.host.exchange,
        );
        Ok(Self {
            config,
            node,
            roles,
            gatherer,
            tracer,
            phase,
            world,
            closing,
            ending,
            servers,
            controllers,
        })
    }

    /// Waits until the host serves.
    pub async fn ready(&mut self) {
        // The sender lives as long as the controllers; an error means that the host stopped.
        let _ = self.world.wait_for(|world| world.serving).await;
    }

    /// Runs until SIGTERM or SIGINT, then stops gracefully; a second signal ends the wait.
    pub async fn run_until_signal(self) {
        let signals = signal(SignalKind::terminate())
            .and_then(|term| Ok((term, signal(SignalKind::interrupt())?)));
        let (mut term, mut int) = match signals {
            Ok(signals) => signals,
            Err(error) => {
                log::error!("signals cannot be received ({error}); the host stops");
                return self.stop().await;
            }
        };
        let mut signalled = async || {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        };
        signalled().await;
        log::info!("stop requested; readiness is off");
        let stop = self.stop();
        tokio::select! {
            () = stop => {}
            () = signalled() => log::warn!("second signal: work in hand is not waited for"),
        }
    }

    /// Stops gracefully: no request that was accepted is cut off.
    pub async fn stop(self) {
        let longest = self.config.longest_stop;
        let tracer = self.tracer.clone();
        let controllers: Vec<_> = self
            .controllers
            .iter()
            .map(JoinHandle::abort_handle)
            .collect();
        if time::timeout(longest, self.drain()).await.is_err() {
            log::warn!(
                "work in hand was not finished in {} ms",
                longest.as_millis()
            );
        }
        controllers.iter().for_each(tokio::task::AbortHandle::abort);
        tracer.flush();
    }

    async fn drain(mut self) {
        self.phase.send_replace(Phase::LameDuck);
        self.node.leave().await;
        time::sleep(self.config.lame_duck).await;
        self.phase.send_replace(Phase::Draining);
        self.gatherer.drain().await;
        self.roles.orders.drain().await;
        self.roles.dispatcher.drain().await;
        self.closing.cancel();
        for server in self.servers.drain(..) {
            if let Err(error) = server.await {
                log::error!("a server ended early: {error}");
            }
        }
        self.ending.cancel();
        for controller in self.controllers.drain(..) {
            if let Err(error) = controller.await {
                log::error!("a controller ended early: {error}");
            }
        }
        log::info!("host {} stopped", self.config.host.name);
    }
}

/// Runs `work` until `stop`.
async fn until(stop: CancellationToken, work: impl Future<Output = ()>) {
    tokio::select! {
        () = work => {}
        () = stop.cancelled() => {}
    }
}

/// Interval of pings on connections with open calls, to find silent ones.
const KEEP_ALIVE: Duration = Duration::from_millis(500);

async fn serve_hop(listener: TcpListener, roles: Roles, stop: CancellationToken) {
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let served = Server::builder()
        .http2_keepalive_interval(Some(KEEP_ALIVE))
        .add_service(HopServer::new(hop::Server::new(roles)))
        .serve_with_incoming_shutdown(incoming, stop.cancelled_owned())
        .await;
    if let Err(error) = served {
        log::error!("hop server ended early: {error}");
    }
}
