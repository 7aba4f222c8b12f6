//! Forwarded calls, and updates of the platform's objects, between hosts over tonic.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, PoisonError, RwLock},
    task::{Context, Poll},
    time::Duration,
};

use futures::{Stream, StreamExt as _, stream};
use rattanmast_model::{
    catalog::Service,
    feed::{Publisher, Subscriber, Update},
    forward::{self, Batch, Call, Forward, Options},
    hash::Map,
    host::{self, Host},
    peer::{self, Error},
    quarantine::{Level, Listener, Messenger, Report},
};
use smol_str::{SmolStr, format_smolstr};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;
use tonic::{
    Request, Response, Status, Streaming,
    transport::{Channel, Endpoint, server::TcpIncoming},
};

#[expect(
    missing_docs,
    clippy::all,
    clippy::allow_attributes,
    reason = "generated from proto/relay.proto, which has the comments"
)]
#[rustfmt::skip]
#[path = "gen/relay.rs"]
pub mod proto;

mod codec;

use codec::{decode_batch, decode_call, decode_update, encode_batch, encode_call, encode_update};
use proto::{relay_client::RelayClient, relay_server};

use crate::hop::call_error;

/// Timeout for opening a connection to another host; the latency between regions is 12 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of HTTP/2 pings on connections with calls in flight, to detect unresponsive peers;
/// a client also waits this long for the reply to a ping.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Maximum number of queued messages of one call.
const MAX_QUEUED_MESSAGES: usize = 16;

/// Handles the calls of other hosts.
#[derive(Clone)]
pub struct Server<F, P, Q> {
    forward: F,
    feed: P,
    quarantine: Q,
}

/// A stream of response messages, fed through a channel.
pub struct Responses<T>(mpsc::Receiver<Result<T, Status>>);

impl<T> Stream for Responses<T> {
    type Item = Result<T, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

#[tonic::async_trait]
impl<F: Forward, P: Publisher, Q: Listener> relay_server::Relay for Server<F, P, Q> {
    type SendStream = Responses<proto::Parts>;
    type FollowStream = Responses<proto::Update>;

    async fn send(
        &self,
        request: Request<Streaming<proto::Step>>,
    ) -> Result<Response<Self::SendStream>, Status> {
        let mut steps = request.into_inner();
        let call = steps.message().await?.and_then(|step| step.call);
        let Some((services, call, options)) = call.and_then(decode_call) else {
            let why = "the call is not readable; run one release on all hosts";
            return Err(Status::invalid_argument(why));
        };
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let forward = self.forward.clone();
        tokio::spawn(async move {
            // A sender that gives up before it confirms may send the call itself, so the call
            // must not start without the second step.
            let confirmation = time::timeout_at(options.deadline, steps.message());
            let Ok(Ok(Some(_))) = confirmation.await else {
                return;
            };
            let call = Arc::new(call);
            let mut parts = forward.forward_all(&services, &call, options);
            loop {
                let next = tokio::select! {
                    biased;
                    () = sender.closed(), if options.idempotent => return,
                    next = parts.next() => next,
                };
                let Some(batch) = next else {
                    return;
                };
                // A call that is not idempotent runs to its end even if the receiver is gone.
                let _result = sender.send(Ok(encode_batch(batch))).await;
            }
        });
        Ok(Response::new(Responses(receiver)))
    }

    async fn follow(
        &self,
        request: Request<proto::Interest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let subscribed = Instant::now();
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let feed = self.feed.clone();
        if let Ok(addr) = request.into_inner().addr.parse() {
            feed.set_follower_addr(addr);
        }
        tokio::spawn(async move {
            let (state, changes) = feed.subscribe();
            let mut updates = stream::iter(state).chain(changes);
            loop {
                let next = tokio::select! {
                    biased;
                    () = sender.closed() => return,
                    next = updates.next() => next,
                };
                let Some(update) = next else {
                    return;
                };
                if sender
                    .send(Ok(encode_update(update, subscribed)))
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
        Ok(Response::new(Responses(receiver)))
    }

    async fn tell(
        &self,
        request: Request<proto::Report>,
    ) -> Result<Response<proto::Heard>, Status> {
        let report = request.into_inner();
        let Ok(fingerprint) = report.fingerprint.parse() else {
            let why = "the fingerprint is not readable; run one release on all hosts";
            return Err(Status::invalid_argument(why));
        };
        let level = match report.quarantined {
            true => Level::Quarantined,
            false => Level::Suspected,
        };
        self.quarantine.hear(Report { fingerprint, level });
        Ok(Response::new(proto::Heard {}))
    }
}

/// Serves other hosts on `listener` until `stop` is cancelled.
pub async fn serve<F: Forward, P: Publisher, Q: Listener>(
    listener: TcpListener,
    forward: F,
    feed: P,
    quarantine: Q,
    stop: CancellationToken,
) {
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = relay_server::RelayServer::new(Server {
        forward,
        feed,
        quarantine,
    });
    let served = tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .add_service(server.max_decoding_message_size(MAX_MESSAGE_BYTES))
        .serve_with_incoming_shutdown(incoming, stop.cancelled_owned())
        .await;
    if let Err(error) = served {
        log::error!("event=relay_ended why=\"{error}\"");
    }
}

/// The address of another host, and a client connected to it.
type Peer = (SocketAddr, RelayClient<Channel>);

/// Calls other hosts.
#[derive(Clone, Default)]
pub struct Client {
    hosts: Arc<RwLock<Map<host::Name, Peer>>>,
}

impl Client {
    /// Applies a roster, and keeps the connections to hosts whose address is unchanged.
    pub fn apply(&self, roster: &[Host]) {
        let mut hosts = self.hosts.write().unwrap_or_else(PoisonError::into_inner);
        hosts.retain(|name, (addr, _)| {
            let is_unchanged = |host: &Host| host.name == *name && host.hop == *addr;
            roster.iter().any(is_unchanged)
        });
        for host in roster {
            if hosts.contains_key(&host.name) {
                continue;
            }
            if let Some(client) = connect(host.hop) {
                hosts.insert(host.name.clone(), (host.hop, client));
            }
        }
    }

    fn host(&self, name: &host::Name) -> peer::Result<RelayClient<Channel>> {
        let hosts = self.hosts.read().unwrap_or_else(PoisonError::into_inner);
        let client = hosts.get(name).map(|(_, client)| client.clone());
        client.ok_or_else(|| Error::Connect { host: name.clone() })
    }
}

fn connect(addr: SocketAddr) -> Option<RelayClient<Channel>> {
    let endpoint = Endpoint::from_shared(format!("http://{addr}"));
    let channel = endpoint
        .map_err(|error| log::error!("event=host_unusable addr={addr} why=\"{error}\""))
        .ok()?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
        .connect_lazy();
    Some(RelayClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES))
}

fn broken(host: &host::Name, why: &str) -> Error {
    Error::Broken {
        host: host.clone(),
        why: SmolStr::new(why),
    }
}

/// The request stream of a handover: the call, then the confirmation.
struct Steps(mpsc::Receiver<proto::Step>);

impl Stream for Steps {
    type Item = proto::Step;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// The stream of results that another host returns for a call.
pub struct Parts {
    host: host::Name,
    stream: Streaming<proto::Parts>,
    /// Keeps the request stream open while the result is wanted.
    _steps: mpsc::Sender<proto::Step>,
}

impl Stream for Parts {
    type Item = peer::Result<Batch>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.stream.poll_next_unpin(cx);
        next.map(|next| {
            next.map(|parts| match parts {
                Ok(parts) => {
                    decode_batch(parts).ok_or_else(|| broken(&self.host, "unreadable parts"))
                }
                Err(status) => Err(call_error(&self.host, &status)),
            })
        })
    }
}

impl forward::RelayClient for Client {
    type Parts = Parts;

    async fn relay(
        &self,
        host: &host::Name,
        services: Vec<Service>,
        call: &Call,
        options: Options,
    ) -> peer::Result<Parts> {
        let mut client = self.host(host)?;
        let (steps, receiver) = mpsc::channel(2);
        let handover = proto::Step {
            call: Some(encode_call(services, call, options)),
        };
        let not_sent = |_| Error::Connect { host: host.clone() };
        steps.send(handover).await.map_err(not_sent)?;
        let accepted = client.send(Steps(receiver)).await;
        let not_sent = |status: Status| {
            log::debug!("call {} was not accepted: {status}", call.id);
            Error::Connect { host: host.clone() }
        };
        let stream = accepted.map_err(not_sent)?.into_inner();
        let confirmation = proto::Step { call: None };
        let closed = |_| broken(host, "the connection ended");
        steps.send(confirmation).await.map_err(closed)?;
        Ok(Parts {
            host: host.clone(),
            stream,
            _steps: steps,
        })
    }
}

impl Messenger for Client {
    async fn tell(&self, host: &host::Name, report: Report) -> peer::Result<()> {
        let mut client = self.host(host)?;
        let report = proto::Report {
            fingerprint: report.fingerprint.to_string(),
            quarantined: report.level == Level::Quarantined,
        };
        let told = client.tell(report).await;
        told.map(drop).map_err(|status| call_error(host, &status))
    }
}

/// The updates of a followed host.
pub struct Updates {
    host: host::Name,
    stream: Streaming<proto::Update>,
    /// When the subscription was sent.
    subscribed: Instant,
}

impl Stream for Updates {
    type Item = peer::Result<Update>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.stream.poll_next_unpin(cx);
        next.map(|next| {
            next.map(|update| match update {
                Ok(update) => decode_update(update, self.subscribed)
                    .ok_or_else(|| broken(&self.host, "its state is current as of the future")),
                Err(status) => Err(call_error(&self.host, &status)),
            })
        })
    }
}

impl Subscriber for Client {
    type Updates = Updates;

    async fn follow(&self, addr: SocketAddr, own: SocketAddr) -> peer::Result<Updates> {
        let host: host::Name = format_smolstr!("{addr}");
        let mut client = connect(addr).ok_or_else(|| Error::Connect { host: host.clone() })?;
        let interest = proto::Interest {
            addr: own.to_string(),
        };
        let subscribed = Instant::now();
        let following = time::timeout(CONNECT_TIMEOUT * 2, client.follow(interest));
        let response = following
            .await
            .map_err(|_| broken(&host, "no reply to the subscription in time"))?;
        let stream = response
            .map_err(|status| call_error(&host, &status))?
            .into_inner();
        Ok(Updates {
            host,
            stream,
            subscribed,
        })
    }
}
