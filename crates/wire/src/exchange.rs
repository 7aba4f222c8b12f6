//! The exchange of state between hosts over tarpc.

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
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// The largest message, in bytes: [`exchange::REPLY_LIMIT`] and what encoding adds.
///
/// The codec has one limit for both directions.
const FRAME_LIMIT: usize = exchange::REPLY_LIMIT + (1 << 20);

/// Time after which a connection without calls is closed by its server.
///
/// Calls to the layer above come every 500 ms and keep theirs open; with 2,200 hosts, each host
/// is met by two random ones a second, which then hold about 30 connections.
const IDLE: Duration = Duration::from_secs(15);

/// Connections that a client keeps; hosts meet random hosts, so most are used once.
const KEPT: usize = 32;

/// Connections that a server accepts at a time.
const ACCEPTED: usize = 512;

/// The calls between hosts.
#[tarpc::service]
pub trait Exchange {
    /// Compares what both hosts have.
    async fn exchange(digest: Digest) -> Digest;
    /// Returns objects.
    async fn fetch(fetch: Fetch) -> Vec<Update>;
    /// Says that the caller is stopping.
    async fn leave(rumor: Rumor);
}

/// Answers calls by a [`Handler`].
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

/// Answers calls on `listener` until `stop`.
pub async fn serve<H: Handler>(listener: TcpListener, handler: H, stop: CancellationToken) {
    let room = Arc::new(Semaphore::new(ACCEPTED));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("no exchange connection was accepted ({e}); check the open file limit");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&room).try_acquire_owned() else {
            log::warn!("{ACCEPTED} exchange connections are open; another one is closed");
            continue;
        };
        let (handler, stop) = (handler.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = answer(stream, handler) => {}
            }
            drop(permit);
        });
    }
}

/// Answers calls on one connection.
async fn answer<H: Handler>(stream: TcpStream, handler: H) {
    stream.set_nodelay(true).ok();
    let framed = codec().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    let mut requests = Box::pin(BaseChannel::with_defaults(transport).requests());
    while let Ok(Some(Ok(request))) = timeout(IDLE, requests.next()).await {
        request.execute(Server(handler.clone()).serve()).await;
    }
}

fn codec() -> tarpc::tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(FRAME_LIMIT);
    builder
}

/// Calls other hosts; clones share the connections.
#[derive(Clone, Debug, Default)]
pub struct Client {
    connections: Arc<Mutex<Map<SocketAddr, (ExchangeClient, Instant)>>>,
}

impl Client {
    /// Returns a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, (ExchangeClient, Instant)>> {
        let lock = self.connections.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the connection to `addr`, opened if there is none that was used lately.
    async fn connection(&self, addr: SocketAddr) -> io::Result<ExchangeClient> {
        if let Some(entry) = self.lock().get_mut(&addr) {
            // The server closes idle connections, and a path may lose their state.
            if entry.1.elapsed() < IDLE / 2 {
                entry.1 = Instant::now();
                return Ok(entry.0.clone());
            }
        }
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let framed = codec().new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let client = ExchangeClient::new(client::Config::default(), transport).spawn();
        let mut connections = self.lock();
        connections.insert(addr, (client.clone(), Instant::now()));
        if connections.len() > KEPT {
            let oldest = connections.iter().min_by_key(|(_, c)| c.1);
            if let Some(addr) = oldest.map(|(a, _)| *a) {
                connections.remove(&addr);
            }
        }
        Ok(client)
    }

    async fn try_call(&self, addr: SocketAddr, message: Message, limit: Duration) -> Result {
        let client = self.connection(addr).await.map_err(Failure::Connect)?;
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
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
        limit: Duration,
    ) -> peer::Result<Reply> {
        let host = format_smolstr!("at {addr}");
        let why: SmolStr = match timeout(limit, self.try_call(addr, message, limit)).await {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(Failure::Connect(e))) => {
                log::debug!("host {host} is not reachable: {e}");
                return Err(peer::Error::Connect { host });
            }
            Ok(Err(Failure::Call(e))) => e.to_smolstr(),
            Err(elapsed) => elapsed.to_smolstr(),
        };
        // A connection that failed once, or went silent, is not used again.
        self.lock().remove(&addr);
        Err(peer::Error::Broken { host, why })
    }
}
