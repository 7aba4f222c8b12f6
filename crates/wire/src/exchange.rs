//! Server and client for the exchange of state between hosts, over tarpc.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::StreamExt as _;
use rattanmast_model::{
    exchange::{self, Digest, Fetch, Handler, Message, Reply, Rumor, Update},
    hash::Map,
    peer,
};
use smol_str::{SmolStr, ToSmolStr as _, format_smolstr};
use tarpc::{
    client::{self, RpcError},
    context::{self, Context},
    serde_transport,
    server::{BaseChannel, Channel as _},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};
use tokio_util::sync::CancellationToken;

/// Maximum frame size: [`exchange::MAX_REPLY_BYTES`] plus the encoding overhead.
///
/// The codec applies one limit to both directions.
const MAX_FRAME_BYTES: usize = exchange::MAX_REPLY_BYTES + (1 << 20);

/// Time after which a server closes a connection without calls.
///
/// Calls to the layer above arrive every 500 ms, which keeps their connections open. With 2,200
/// hosts, two random hosts a second call each host, so about 30 of their connections are open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of connections that a client caches; hosts call random hosts, so most are used
/// once.
const MAX_CACHED_CONNECTIONS: usize = 32;

/// Maximum number of connections that a server has open.
const MAX_SERVER_CONNECTIONS: usize = 512;

/// Remote procedure calls between hosts.
#[tarpc::service]
pub trait Exchange {
    /// Exchanges digests of the state of both hosts.
    async fn exchange(digest: Digest) -> Digest;
    /// Returns the objects that the caller found missing or outdated by comparing digests.
    async fn fetch(fetch: Fetch) -> Vec<Update>;
    /// Delivers the leave notice of a host that is stopping.
    async fn leave(rumor: Rumor);
}

/// Adapts a [`Handler`] to the service trait.
#[derive(Clone, Debug)]
struct Server<H>(H);

impl<H: Handler> Exchange for Server<H> {
    async fn exchange(self, _: Context, digest: Digest) -> Digest {
        match self.0.handle(Message::Exchange(digest)).await {
            Reply::Digest(digest) => digest,
            Reply::Updates(_) | Reply::Noted => Digest::default(),
        }
    }

    async fn fetch(self, _: Context, fetch: Fetch) -> Vec<Update> {
        match self.0.handle(Message::Fetch(fetch)).await {
            Reply::Updates(updates) => updates,
            Reply::Digest(_) | Reply::Noted => Vec::new(),
        }
    }

    async fn leave(self, _: Context, rumor: Rumor) {
        self.0.handle(Message::Leave(rumor)).await;
    }
}

/// Serves calls on `listener` until `stop` is cancelled.
pub async fn serve<H: Handler>(listener: TcpListener, handler: H, stop: CancellationToken) {
    let slots = Arc::new(Semaphore::new(MAX_SERVER_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(
                    "failed to accept an exchange connection ({error}); check the open file limit"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&slots).try_acquire_owned() else {
            log::warn!(
                "closing a new exchange connection, because {MAX_SERVER_CONNECTIONS} are open; check \
                 which hosts hold them"
            );
            continue;
        };
        let (handler, stop) = (handler.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = serve_connection(stream, handler) => {}
            }
            drop(permit);
        });
    }
}

/// Serves calls on one connection until it fails or is idle for [`IDLE_TIMEOUT`].
async fn serve_connection<H: Handler>(stream: TcpStream, handler: H) {
    stream.set_nodelay(true).ok();
    let framed = frame_codec().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    let mut requests = Box::pin(BaseChannel::with_defaults(transport).requests());
    while let Ok(Some(Ok(request))) = time::timeout(IDLE_TIMEOUT, requests.next()).await {
        request.execute(Server(handler.clone()).serve()).await;
    }
}

fn frame_codec() -> tarpc::tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}

/// Calls other hosts; clones share a cache of connections.
#[derive(Clone, Debug, Default)]
pub struct Client {
    connections: Arc<Mutex<Map<SocketAddr, (ExchangeClient, Instant)>>>,
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, (ExchangeClient, Instant)>> {
        let lock = self.connections.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the cached connection to `addr` if it was used recently, or opens a new one.
    async fn connection(&self, addr: SocketAddr) -> io::Result<ExchangeClient> {
        if let Some(entry) = self.lock().get_mut(&addr) {
            // The server closes idle connections, and middleboxes may drop their state.
            if entry.1.elapsed() < IDLE_TIMEOUT / 2 {
                entry.1 = Instant::now();
                return Ok(entry.0.clone());
            }
        }
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let framed = frame_codec().new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let client = ExchangeClient::new(client::Config::default(), transport).spawn();
        let mut connections = self.lock();
        connections.insert(addr, (client.clone(), Instant::now()));
        if connections.len() > MAX_CACHED_CONNECTIONS {
            let least_recent = connections
                .iter()
                .min_by_key(|(_, connection)| connection.1);
            if let Some(addr) = least_recent.map(|(addr, _)| *addr) {
                connections.remove(&addr);
            }
        }
        Ok(client)
    }

    async fn try_call(&self, addr: SocketAddr, message: Message, timeout: Duration) -> Result {
        let client = self.connection(addr).await.map_err(Failure::Connect)?;
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let reply = match message {
            Message::Exchange(digest) => client.exchange(context, digest).await.map(Reply::Digest),
            Message::Fetch(fetch) => client.fetch(context, fetch).await.map(Reply::Updates),
            Message::Leave(rumor) => client.leave(context, rumor).await.map(|()| Reply::Noted),
        };
        reply.map_err(Failure::Call)
    }
}

type Result = std::result::Result<Reply, Failure>;

enum Failure {
    Connect(io::Error),
    Call(RpcError),
}

impl exchange::Exchange for Client {
    async fn call(
        &self,
        addr: SocketAddr,
        message: Message,
        timeout: Duration,
    ) -> peer::Result<Reply> {
        let host = format_smolstr!("at {addr}");
        let why: SmolStr = match time::timeout(timeout, self.try_call(addr, message, timeout)).await
        {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(Failure::Connect(error))) => {
                log::debug!("failed to connect to host {host}: {error}");
                return Err(peer::Error::Connect { host });
            }
            Ok(Err(Failure::Call(error))) => error.to_smolstr(),
            Err(elapsed) => elapsed.to_smolstr(),
        };
        // Do not reuse a connection that failed or timed out.
        self.lock().remove(&addr);
        Err(peer::Error::Broken { host, why })
    }
}
