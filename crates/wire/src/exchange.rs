//! Exchange of state between hosts over tarpc.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use futures::StreamExt;
use rattanmast_model::{
    exchange::{self, Handler, Message, Reply},
    hash::Map,
    host,
    peer::{Error, Result},
};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;
use tarpc::{
    client, context, serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Connections that a client keeps; hosts exchange with random others, so most are used once.
const KEPT: usize = 32;

/// The largest message, in bytes; an object of the platform is at most 1 MB.
const MESSAGE_LIMIT: usize = 4 << 20;

/// Time to wait before accepting again after the system refused to.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The tarpc service.
mod service {
    use rattanmast_model::exchange::{Message, Reply};

    #[tarpc::service]
    pub trait Exchange {
        /// Answers `message`.
        async fn call(message: Message) -> Reply;
    }
}

use service::{Exchange, ExchangeClient};

#[derive(Clone)]
struct Server<H>(H);

impl<H: Handler> Exchange for Server<H> {
    async fn call(self, _: context::Context, message: Message) -> Reply {
        self.0.handle(message).await
    }
}

/// A tarpc transport over TCP: length-delimited frames of bincode.
type Frames<In, Out> = serde_transport::Transport<TcpStream, In, Out, Bincode<In, Out>>;

fn framed<In, Out>(stream: TcpStream) -> Frames<In, Out>
where
    In: for<'a> Deserialize<'a>,
    Out: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_LIMIT)
        .new_codec();
    serde_transport::new(Framed::new(stream, codec), Bincode::default())
}

/// Serves other hosts until dropped.
pub async fn serve<H: Handler>(listener: TcpListener, handler: H) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("no exchange can be accepted now ({error}); raise the file limit");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let server = Server(handler.clone());
        let channel = BaseChannel::with_defaults(framed(stream));
        tokio::spawn(channel.execute(server.serve()).for_each(|answer| async {
            tokio::spawn(answer);
        }));
    }
}

/// Calls other hosts.
#[derive(Clone, Default)]
pub struct Client {
    open: Arc<Mutex<Map<SocketAddr, ExchangeClient>>>,
}

impl Client {
    fn lock(&self) -> std::sync::MutexGuard<'_, Map<SocketAddr, ExchangeClient>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn client(&self, addr: SocketAddr) -> io::Result<ExchangeClient> {
        if let Some(client) = self.lock().get(&addr) {
            return Ok(client.clone());
        }
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let client = ExchangeClient::new(client::Config::default(), framed(stream)).spawn();
        let mut open = self.lock();
        if open.len() >= KEPT {
            open.clear();
        }
        open.insert(addr, client.clone());
        Ok(client)
    }
}

impl exchange::Exchange for Client {
    async fn call(&self, addr: SocketAddr, message: Message, timeout: Duration) -> Result<Reply> {
        let host: host::Name = format_smolstr!("at {addr}");
        let connect = time::timeout(timeout, self.client(addr)).await;
        let Ok(Ok(client)) = connect else {
            return Err(Error::Connect { host });
        };
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        let reply = time::timeout(timeout, client.call(context, message)).await;
        let why = match reply {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(error)) => format_smolstr!("{error}"),
            Err(elapsed) => format_smolstr!("{elapsed}"),
        };
        // The connection may have gone silent; the next call opens a new one.
        self.lock().remove(&addr);
        Err(Error::Broken { host, why })
    }
}
