//! gRPC client for other hosts.

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use rattanmast_model::{
    config::Config,
    hash::Map,
    host,
    outcome::Outcome,
    peer::{self, Error, Order, Result, Subquery, Subreply},
};
use rattanmast_state::node::Node;
use rattanmast_wire::{
    exchange,
    hop::{
        call_error,
        proto::{Key, hop_client::HopClient},
    },
    store,
};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::{mpsc, oneshot};
use tonic::{
    Status,
    transport::{Channel, Endpoint},
};

use crate::local::Call;

/// Timeout for connecting to another host and for lookups of outcomes; regions are 12 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of HTTP/2 pings on connections with open calls, and timeout of their replies.
///
/// A connection that does not reply in time is replaced.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum size of a reply.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Client for all hosts; calls to this host go to its own roles through a queue.
#[derive(Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

struct Inner {
    me: host::Name,
    node: Node<store::Client, exchange::Client>,
    local_calls: mpsc::Sender<Call>,
    clients: RwLock<Map<host::Name, (SocketAddr, HopClient<Channel>)>>,
}

impl Peers {
    /// Creates the client of the host `me`.
    pub fn new(
        me: host::Name,
        node: Node<store::Client, exchange::Client>,
        local_calls: mpsc::Sender<Call>,
    ) -> Self {
        let clients = RwLock::default();
        Self {
            inner: Arc::new(Inner {
                me,
                node,
                local_calls,
                clients,
            }),
        }
    }

    /// Applies the roster of `config`; connections to hosts whose address is unchanged are kept.
    pub fn apply(&self, config: &Config) {
        let mut clients = self
            .inner
            .clients
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        clients.retain(|name, (addr, _)| {
            let is_listed = |h: &host::Host| h.name == *name && h.hop == *addr;
            config.hosts.iter().any(is_listed)
        });
        for host in &config.hosts {
            if host.name == self.inner.me || clients.contains_key(&host.name) {
                continue;
            }
            match new_client(host.hop) {
                Ok(client) => {
                    clients.insert(host.name.clone(), (host.hop, client));
                }
                Err(error) => log::error!(
                    "hop address of host {} is invalid ({error}); correct it in the intent",
                    host.name
                ),
            }
        }
    }

    fn client(&self, host: &host::Name) -> Result<HopClient<Channel>> {
        let clients = self
            .inner
            .clients
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let client = clients.get(host).map(|(_, client)| client.clone());
        client.ok_or_else(|| Error::Connect { host: host.clone() })
    }

    /// Reports to the membership that a host cannot be connected to.
    fn report_unreachable<T>(&self, result: Result<T>) -> Result<T> {
        if let Err(Error::Connect { host }) = &result {
            self.inner.node.record_failure(host);
        }
        result
    }

    /// Queues a call for the roles of this host and waits for the reply.
    async fn call_local<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> Result<T> {
        let host = &self.inner.me;
        let (sender, receiver) = oneshot::channel();
        let sent = self.inner.local_calls.send(call(sender)).await;
        sent.map_err(|_| Error::Connect { host: host.clone() })?;
        receiver.await.map_err(|_| Error::Broken {
            host: host.clone(),
            why: "the host is stopping".into(),
        })
    }
}

fn new_client(
    addr: SocketAddr,
) -> std::result::Result<HopClient<Channel>, tonic::transport::Error> {
    let channel = Endpoint::from_shared(format!("http://{addr}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
        .connect_lazy();
    Ok(HopClient::new(channel).max_decoding_message_size(MAX_REPLY_BYTES))
}

fn broken(host: &host::Name, error: &impl std::fmt::Display) -> Error {
    Error::Broken {
        host: host.clone(),
        why: format_smolstr!("{error}"),
    }
}

fn request_with_timeout<T>(message: T, timeout: Duration) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    request.set_timeout(timeout);
    request
}

/// Waits at most `timeout` for the response of `call`.
async fn call_with_timeout<T>(
    host: &host::Name,
    timeout: Duration,
    call: impl Future<Output = std::result::Result<tonic::Response<T>, Status>>,
) -> Result<T> {
    match tokio::time::timeout(timeout, call).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) => Err(call_error(host, &status)),
        Err(elapsed) => Err(broken(host, &elapsed)),
    }
}

impl peer::Peers for Peers {
    async fn subquery(
        &self,
        host: &host::Name,
        message: Subquery,
        timeout: Duration,
    ) -> Result<Subreply> {
        if *host == self.inner.me {
            return self
                .call_local(|reply| Call::Subquery(message, reply))
                .await;
        }
        let mut client = self.client(host)?;
        let call = client.search(request_with_timeout(message.into(), timeout));
        let reply = self.report_unreachable(call_with_timeout(host, timeout, call).await)?;
        let reply = Subreply::try_from(reply).map_err(|error| broken(host, &error))?;
        self.inner.node.record_answer(host, reply.incarnation);
        Ok(reply)
    }

    async fn order(&self, host: &host::Name, message: Order, timeout: Duration) -> Result<Outcome> {
        if *host == self.inner.me {
            return self.call_local(|reply| Call::Order(message, reply)).await;
        }
        let mut client = self.client(host)?;
        let call = client.submit(request_with_timeout(message.into(), timeout));
        let outcome = self.report_unreachable(call_with_timeout(host, timeout, call).await)?;
        Outcome::try_from(outcome).map_err(|error| broken(host, &error))
    }

    async fn outcome(&self, host: &host::Name, caller: &str, key: &str) -> Result<Option<Outcome>> {
        let (caller, key) = (SmolStr::new(caller), SmolStr::new(key));
        if *host == self.inner.me {
            return self
                .call_local(|reply| Call::Recall(caller, key, reply))
                .await;
        }
        let mut client = self.client(host)?;
        let message = Key {
            caller: caller.into(),
            key: key.into(),
        };
        let call = client.recall(request_with_timeout(message, CONNECT_TIMEOUT));
        let recalled = call_with_timeout(host, CONNECT_TIMEOUT, call).await?;
        let outcome = recalled.outcome.map(Outcome::try_from).transpose();
        outcome.map_err(|error| broken(host, &error))
    }

    fn incarnation(&self, host: &host::Name) -> Option<host::Incarnation> {
        self.inner.node.incarnation(host)
    }

    fn is_usable(&self, host: &host::Name) -> bool {
        self.inner.node.is_usable(host)
    }
}
