//! Starts and stops a host with its listeners, roles and controllers.

use std::{
    future::{self, Future},
    io,
    net::SocketAddr,
    time::Duration,
};

use rattanmast_dispatch::Dispatcher;
use rattanmast_gather::Gatherer;
use rattanmast_model::host::{self, Incarnation};
use rattanmast_observe::metrics::Metrics;
use rattanmast_order::Orders;
use rattanmast_state::{node::Node, stop::Limits};
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
    api::{Api, ServingConfig},
    clock,
    config::Config,
    controllers, hop,
    local::{self, Roles},
    peers::Peers,
    scrape::Scrape,
    server::{self, Service},
    spans::{self, Connector, Tracer},
    stop::{self, Driver, InFlight},
};

/// The result of starting a host.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure to start a host.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listen address cannot be bound.
    #[snafu(display("--{flag} {addr} cannot be bound ({source}); give a free address"))]
    Bind {
        /// The flag that sets the address, without dashes.
        flag: &'static str,
        /// The address to listen on.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The exporter of trace spans cannot be set up.
    #[snafu(display("{source}"))]
    Traces {
        /// Why the exporter cannot be set up.
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
    /// Returns an error that names the flag whose address cannot be bound.
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
    /// Returns the error of the operating system.
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
    tracer: Tracer,
    driver: Driver,
    serving_config: watch::Receiver<ServingConfig>,
    /// Stops the servers gracefully: requests in flight complete.
    server_stop: CancellationToken,
    /// Stops the controllers.
    controller_stop: CancellationToken,
    servers: Vec<JoinHandle<()>>,
    controllers: Vec<JoinHandle<()>>,
}

impl Host {
    /// Starts all roles of a host on `listeners`.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter of trace spans cannot be set up.
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
        let (calls, call_receiver) = local::queue();
        let peers = Peers::new(me.clone(), node.clone(), calls);
        let (driver, stop) = stop::channel();
        let in_flight = stop.in_flight.clone();
        let roles = new_roles(&config, incarnation, platform, &peers, &tracer, in_flight);
        let gatherer = Gatherer::new(
            me.clone(),
            incarnation,
            peers.clone(),
            Default::default(),
            seed,
        );
        let (serving_config_sender, serving_config) = watch::channel(ServingConfig::default());
        let service = new_service(&roles, &gatherer, &node, &serving_config, stop);
        let applier = controllers::StateApplier {
            me: me.clone(),
            node: node.clone(),
            roles: roles.clone(),
            gatherer,
            peers,
            serving_config: serving_config_sender,
        };
        let (server_stop, controller_stop) = (CancellationToken::new(), CancellationToken::new());
        let servers = vec![
            tokio::spawn(server::serve(listeners.http, service, server_stop.clone())),
            tokio::spawn(serve_hop(listeners.hop, roles.clone(), server_stop.clone())),
        ];
        let exchange_server =
            exchange::serve(listeners.exchange, node.clone(), controller_stop.clone());
        let controllers = vec![
            tokio::spawn(exchange_server),
            tokio::spawn(run_until(
                controller_stop.clone(),
                roles.serve(call_receiver),
            )),
            tokio::spawn(run_until(controller_stop.clone(), applier.run())),
            tokio::spawn(run_node(node.clone(), controller_stop.clone())),
        ];
        log::info!("host {me} listens for callers on {}", config.host.http);
        Ok(Self {
            config,
            node,
            tracer,
            driver,
            serving_config,
            server_stop,
            controller_stop,
            servers,
            controllers,
        })
    }

    /// Waits until the host serves.
    pub async fn ready(&mut self) {
        // The sender lives as long as the controllers; an error means that the host stopped.
        let _ = self
            .serving_config
            .wait_for(|current| current.serving)
            .await;
    }

    /// Runs until SIGTERM or SIGINT, then stops gracefully; a second signal ends the wait.
    pub async fn run_until_signal(self) {
        let signals = signal(SignalKind::terminate())
            .and_then(|term| Ok((term, signal(SignalKind::interrupt())?)));
        let (mut term, mut int) = match signals {
            Ok(signals) => signals,
            Err(error) => {
                log::error!("cannot install signal handlers ({error}); stopping");
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
        log::info!("signal received; stopping, the host reports not ready");
        self.stop_gracefully(signalled()).await;
    }

    /// Stops gracefully: accepted requests complete within the limit of the stop.
    pub async fn stop(self) {
        self.stop_gracefully(future::pending()).await;
    }

    /// Stops gracefully; on `second_signal`, requests in flight are answered as unknown.
    async fn stop_gracefully(mut self, second_signal: impl Future<Output = ()>) {
        let limits = Limits {
            lame_duck: self.config.lame_duck,
            max_duration: self.config.max_stop,
        };
        let node = self.node.clone();
        let leave_notice = tokio::spawn(async move { node.leave().await });
        self.driver.run(limits, second_signal).await;
        self.server_stop.cancel();
        let servers = self.servers.drain(..);
        join_or_abort("server", servers, CLOSE_TIMEOUT).await;
        leave_notice.abort();
        self.controller_stop.cancel();
        join_or_abort("controller", self.controllers.drain(..), CLOSE_TIMEOUT).await;
        self.tracer.flush();
        log::info!("host {} stopped", self.config.host.name);
    }
}

/// Waits for at most `wait` for each of `tasks`, then aborts it.
async fn join_or_abort(what: &str, tasks: impl Iterator<Item = JoinHandle<()>>, wait: Duration) {
    for mut task in tasks {
        match time::timeout(wait, &mut task).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::error!("{what} task failed: {error}"),
            Err(_) => task.abort(),
        }
    }
}

/// Creates the dispatcher and the claimer.
fn new_roles(
    config: &Config,
    incarnation: Incarnation,
    platform: store::Client,
    peers: &Peers,
    tracer: &Tracer,
    in_flight: InFlight,
) -> Roles {
    let me = &config.host.name;
    let connector = Connector::new(leaf::Connector::default(), tracer.clone());
    Roles {
        dispatcher: Dispatcher::new(
            me.clone(),
            incarnation,
            connector,
            Default::default(),
            config.seed,
        ),
        // Tickets must not be guessable, so their seed is not configurable.
        orders: Orders::new(
            me.clone(),
            incarnation,
            platform,
            peers.clone(),
            Default::default(),
            rand::random(),
        ),
        tracer: tracer.clone(),
        in_flight,
    }
}

/// Creates the HTTP request handler.
fn new_service(
    roles: &Roles,
    gatherer: &Gatherer<Peers>,
    node: &Node<store::Client, exchange::Client>,
    serving_config: &watch::Receiver<ServingConfig>,
    stop: stop::Handle,
) -> Service {
    let scrape = Scrape {
        metrics: Metrics::default(),
        roles: roles.clone(),
        gatherer: gatherer.clone(),
        node: node.clone(),
    };
    Service {
        api: Api {
            gatherer: gatherer.clone(),
            orders: roles.orders.clone(),
            tracer: roles.tracer.clone(),
            metrics: scrape.metrics.clone(),
            serving_config: serving_config.clone(),
            stop,
        },
        node: node.clone(),
        scrape,
    }
}

/// Runs the state node until `stop` is cancelled.
async fn run_node(node: Node<store::Client, exchange::Client>, stop: CancellationToken) {
    node.run(stop).await;
}

/// Runs `work` until it completes or `stop` is cancelled.
async fn run_until(stop: CancellationToken, work: impl Future<Output = ()>) {
    tokio::select! {
        () = work => {}
        () = stop.cancelled() => {}
    }
}

/// Timeout for sending the last responses after all requests have completed or been abandoned.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval of HTTP/2 pings on connections with open calls, to detect unresponsive peers.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

async fn serve_hop(listener: TcpListener, roles: Roles, stop: CancellationToken) {
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let served = Server::builder()
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .add_service(HopServer::new(hop::Server::new(roles)))
        .serve_with_incoming_shutdown(incoming, stop.cancelled_owned())
        .await;
    if let Err(error) = served {
        log::error!("hop server failed: {error}");
    }
}
