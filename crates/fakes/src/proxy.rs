//! A TCP proxy that injects faults.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use hyper::{Method, Request, Response, StatusCode, body::Body};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_model::hash::{self, Map};
use rattanmast_wire::http::{self, FullBody};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    config, exit,
    serve::{self, MAX_ADMIN_BODY_BYTES, problem},
};

/// The size of the read buffer; a typical request or reply fits into one chunk.
const CHUNK_BYTES: usize = 64 << 10;

/// The timeout for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Faults that can be injected into a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether open connections are closed and new ones rejected.
    pub cut: bool,
    /// The minimum delay of each chunk in each direction, in milliseconds.
    pub delay_ms: u64,
    /// The maximum random delay on top of `delay_ms`, in milliseconds.
    pub jitter_ms: u64,
    /// Whether data to the target is dropped. A connection that has dropped some drops all further
    /// data to the target until it closes, even after the fault has ended.
    pub drop_to_target: bool,
    /// Whether data to the client is dropped. A connection that has dropped some drops all further
    /// data to the client until it closes, even after the fault has ended.
    pub drop_to_client: bool,
    /// Whether new connections are silent from the start.
    pub silent_new: bool,
    /// The share of requests after which the connection is closed, from 0 to 1.
    pub close_after_request: f64,
    /// The share of replies that are lost, with the connection closed, from 0 to 1.
    pub lose_reply: f64,
    /// The share of replies before which the previous one on the connection is sent once more, from 0 to 1.
    pub repeat_reply: f64,
}

/// Connections with a number below this one are silent permanently.
type SilencedBelow = u64;

#[derive(Debug)]
struct State {
    faults: Faults,
    rng: SmallRng,
    /// The number of accepted connections; also the number of the next one.
    accepted: u64,
    /// The number of open connections.
    open: u64,
    /// The client of each open connection, by the address from which the target is connected to.
    clients: Map<SocketAddr, SocketAddr>,
}

/// A route from a listen address to a target address; clones share its state.
#[derive(Clone, Debug)]
pub struct Route {
    listen: SocketAddr,
    target: SocketAddr,
    hold: Duration,
    state: Arc<Mutex<State>>,
    cut: watch::Sender<bool>,
    silenced_below: watch::Sender<SilencedBelow>,
}

/// The state of a route in the responses of the admin paths.
#[derive(Debug, Serialize)]
struct View {
    listen: SocketAddr,
    target: SocketAddr,
    faults: Faults,
    accepted: u64,
    open: u64,
}

#[derive(Debug, Serialize)]
struct Listening {
    admin: SocketAddr,
    routes: Vec<View>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

/// The action on a chunk.
enum Action {
    Forward(Duration),
    /// Forwards the previous chunk once more before this one.
    Repeat,
    Drop,
    ForwardAndClose,
    Close,
}

/// Serves the routes and the admin paths forever.
///
/// # Errors
///
/// Fails if an address is already in use.
pub async fn run(config: config::Faults) -> serve::Result<()> {
    let (listener, admin) = serve::listen(config.admin).await?;
    let mut routes = Vec::new();
    for (index, (listen, target)) in (0_u64..).zip(config.routes) {
        let seed = hash::mix(config.seed ^ hash::mix(index));
        routes.push(Route::start(listen, target, config.hold, seed).await?);
    }
    exit::announce(&Listening {
        admin,
        routes: routes.iter().map(Route::view).collect(),
    });
    let routes = Arc::new(routes);
    serve::serve_connections(listener, move |request| {
        let routes = Arc::clone(&routes);
        async move { Ok(answer_admin(&routes, request).await) }
    })
    .await;
    Ok(())
}

/// Answers one request to the admin paths.
///
/// - `GET /routes` returns the state of all routes.
/// - `POST /routes/<index>/faults` replaces the faults of a route.
/// - `POST /routes/<index>/silence` makes its open connections silent permanently.
///
/// The index `*` selects all routes.
pub async fn answer_admin<B>(routes: &[Route], request: Request<B>) -> Response<FullBody>
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (head, body) = request.into_parts();
    let path = head.uri.path().strip_prefix("/routes").unwrap_or_default();
    let (index, action) = path
        .trim_start_matches('/')
        .split_once('/')
        .unwrap_or(("*", ""));
    let selected: Vec<&Route> = match index.parse::<usize>() {
        Ok(index) => routes.get(index).into_iter().collect(),
        Err(_) if index == "*" => routes.iter().collect(),
        Err(_) => Vec::new(),
    };
    let faults = http::read_body(body, MAX_ADMIN_BODY_BYTES).await;
    let faults = faults.and_then(|body| http::parse::<Faults>(&body));
    match (head.method, action, faults) {
        (Method::GET, "", _) => {}
        (Method::POST, "silence", _) => selected
            .iter()
            .for_each(|route| route.silence_connections()),
        (Method::POST, "faults", Ok(faults)) => {
            selected.iter().for_each(|route| route.set_faults(faults));
        }
        (Method::POST, "faults", Err(error)) => {
            return problem(StatusCode::BAD_REQUEST, &error.to_string());
        }
        _ => {
            let error = "no such path; use /routes/<index>/faults or /routes/<index>/silence";
            return problem(StatusCode::NOT_FOUND, error);
        }
    }
    let views: Vec<View> = selected.iter().map(|route| route.view()).collect();
    http::json(StatusCode::OK, &views)
}

impl Route {
    /// Listens on `listen` and forwards connections to `target` forever.
    ///
    /// The target side of a silent connection stays open for `hold` after its client has closed.
    ///
    /// # Errors
    ///
    /// Fails if the address is already in use.
    pub async fn start(
        listen: SocketAddr,
        target: SocketAddr,
        hold: Duration,
        seed: u64,
    ) -> serve::Result<Self> {
        let (listener, listen) = serve::listen(listen).await?;
        let route = Self {
            listen,
            target,
            hold,
            state: Arc::new(Mutex::new(State {
                faults: Faults::default(),
                rng: SmallRng::seed_from_u64(seed),
                accepted: 0,
                open: 0,
                clients: Map::default(),
            })),
            cut: watch::Sender::new(false),
            silenced_below: watch::Sender::new(0),
        };
        tokio::spawn(route.clone().accept_connections(listener));
        Ok(route)
    }

    /// Returns the address on which the route listens.
    pub const fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        log::info!("set faults of {} to {faults:?}", self.listen);
        self.lock().faults = faults;
        self.cut.send_replace(faults.cut);
    }

    /// Makes all open connections silent permanently; new connections are not affected.
    pub fn silence_connections(&self) {
        log::info!("silencing open connections of {}", self.listen);
        let accepted = self.lock().accepted;
        self.silenced_below.send_replace(accepted);
    }

    /// Returns the client of an open connection that reaches the target from `source`.
    pub fn client(&self, source: SocketAddr) -> Option<SocketAddr> {
        self.lock().clients.get(&source).copied()
    }

    fn view(&self) -> View {
        let state = self.lock();
        View {
            listen: self.listen,
            target: self.target,
            faults: state.faults,
            accepted: state.accepted,
            open: state.open,
        }
    }

    async fn accept_connections(self, listener: TcpListener) {
        loop {
            let client = serve::accept(&listener).await;
            let (number, silent) = {
                let mut state = self.lock();
                if state.faults.cut {
                    continue;
                }
                state.accepted += 1;
                state.open += 1;
                (state.accepted - 1, state.faults.silent_new)
            };
            let route = self.clone();
            tokio::spawn(async move {
                route.forward(client, number, silent).await;
                route.lock().open -= 1;
            });
        }
    }

    async fn forward(&self, client: TcpStream, number: u64, silent: bool) {
        let target = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.target)).await {
            Ok(Ok(target)) => target,
            Ok(Err(error)) => return log::debug!("cannot connect to {}: {error}", self.target),
            Err(_) => return log::debug!("timed out connecting to {}", self.target),
        };
        if let Err(error) = target.set_nodelay(true) {
            log::debug!(
                "connection to {} ended before TCP_NODELAY was set: {error}",
                self.target
            );
        }
        let source = target.local_addr();
        if let (Ok(source), Ok(client)) = (&source, client.peer_addr()) {
            self.lock().clients.insert(*source, client);
        }
        self.forward_streams(client, target, number, silent).await;
        if let Ok(source) = source {
            self.lock().clients.remove(&source);
        }
    }

    async fn forward_streams(
        &self,
        client: TcpStream,
        target: TcpStream,
        number: u64,
        silent: bool,
    ) {
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_target, mut to_target) = target.into_split();
        let mut cut = self.cut.subscribe();
        let mut silenced_below = self.silenced_below.subscribe();
        let upstream = self.forward_bytes(&mut from_client, &mut to_target, Direction::ToTarget);
        let downstream = self.forward_bytes(&mut from_target, &mut to_client, Direction::ToClient);
        tokio::select! {
            biased;
            _ = cut.wait_for(|cut| *cut) => return,
            _ = silenced_below.wait_for(|below| silent || number < *below) => {}
            () = async { tokio::select! { () = upstream => {}, () = downstream => {} } } => return,
        }
        // From here on, neither data nor the close of one side reaches the other side.
        // Discarding what the client sends keeps its socket writable until the client closes it.
        let mut buffer = vec![0; CHUNK_BYTES];
        let client = async { while from_client.read(&mut buffer).await.is_ok_and(|n| n > 0) {} };
        let client_closed = tokio::select! {
            _ = cut.wait_for(|cut| *cut) => false,
            () = client => true,
        };
        if client_closed {
            drop((from_client, to_client));
            sleep(self.hold).await;
        }
    }

    /// Forwards bytes in one direction until one side closes or a fault closes the connection.
    async fn forward_bytes(
        &self,
        from: &mut OwnedReadHalf,
        to: &mut OwnedWriteHalf,
        direction: Direction,
    ) {
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut is_dropping = false;
        let mut previous = Vec::new();
        while let Ok(length @ 1..) = from.read(&mut buffer).await {
            let action = self.draw_action(direction);
            is_dropping |= matches!(action, Action::Drop);
            match action {
                _ if is_dropping => continue,
                Action::Forward(delay) if !delay.is_zero() => sleep(delay).await,
                Action::Close => return,
                Action::Repeat if to.write_all(&previous).await.is_err() => return,
                Action::Forward(_) | Action::Repeat | Action::Drop | Action::ForwardAndClose => {}
            }
            let written = to.write_all(&buffer[..length]).await;
            if written.is_err() || matches!(action, Action::ForwardAndClose) {
                return;
            }
            previous.clear();
            previous.extend_from_slice(&buffer[..length]);
        }
    }

    fn draw_action(&self, direction: Direction) -> Action {
        let mut state = self.lock();
        let faults = state.faults;
        let draw_bool = |rng: &mut SmallRng, probability: f64| {
            probability > 0.0 && rng.random_bool(probability.min(1.0))
        };
        match direction {
            Direction::ToTarget if faults.drop_to_target => Action::Drop,
            Direction::ToClient if faults.drop_to_client => Action::Drop,
            Direction::ToTarget if draw_bool(&mut state.rng, faults.close_after_request) => {
                Action::ForwardAndClose
            }
            Direction::ToClient if draw_bool(&mut state.rng, faults.lose_reply) => Action::Close,
            Direction::ToClient if draw_bool(&mut state.rng, faults.repeat_reply) => Action::Repeat,
            Direction::ToTarget | Direction::ToClient => {
                let jitter = state.rng.random_range(0..=faults.jitter_ms);
                Action::Forward(Duration::from_millis(
                    faults.delay_ms.saturating_add(jitter),
                ))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let lock = self.state.lock();
        lock.expect("no code panics while it holds the lock")
    }
}
