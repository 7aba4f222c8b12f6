//! Simulated in-memory network between hosts, on tokio's clock.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_dispatch::Dispatcher;
use rattanmast_fakes::clock;
use rattanmast_model::{
    hash::Map,
    host::{self, Host},
    leaf::{Connector, Searcher},
    outcome::Outcome,
    peer::{Error, Order, Peers, Result, Subquery, Subreply},
};
use smol_str::SmolStr;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::policy::Suite;

/// One-way latency between hosts of a failure domain; same value as in the leaf model.
const INTRA_DOMAIN_LATENCY: Duration = Duration::from_micros(200);

/// One-way latency between failure domains.
const INTER_DOMAIN_LATENCY: Duration = Duration::from_micros(1_500);

/// One-way latency between regions.
const INTER_REGION_LATENCY: Duration = Duration::from_millis(12);

/// Time from the loss of a host until the other hosts consider it unusable.
///
/// Hosts exchange with a random peer every 500 ms, and an exchange fails after another 500 ms.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(1);

/// A sub-query in transit to a host.
struct Request {
    message: Subquery,
    reply: oneshot::Sender<Subreply>,
    /// One-way latency of the reply; also delays a cancellation.
    return_latency: Duration,
}

/// All hosts and the latency between them.
struct Network {
    indices: Map<host::Name, usize>,
    nodes: Vec<Node>,
    zero_latency: bool,
    rng: Mutex<SmallRng>,
}

/// The network's state of one host.
struct Node {
    domain: host::Domain,
    region: usize,
    incarnation: host::Incarnation,
    inbox: mpsc::UnboundedSender<Request>,
    lost: CancellationToken,
    lost_at: Mutex<Option<Instant>>,
}

/// The receiving end of a host's messages.
pub struct Inbox(mpsc::UnboundedReceiver<Request>);

/// A host's endpoint, through which it reaches the other hosts.
#[derive(Clone)]
pub struct Endpoint {
    network: Arc<Network>,
    index: usize,
}

/// Returns the endpoint and the inbox of each host.
///
/// Failure domains are assigned to `regions` round-robin in order of first appearance.
/// Without regions, messages have zero latency.
pub fn connect(
    hosts: &[Host],
    regions: Option<usize>,
    incarnation: host::Incarnation,
    seed: u64,
) -> (Vec<Endpoint>, Vec<Inbox>) {
    let mut domains: Vec<&host::Domain> = Vec::new();
    let mut inboxes = Vec::new();
    let mut nodes = Vec::new();
    for host in hosts {
        let known = domains.iter().position(|d| **d == host.domain);
        let domain = known.unwrap_or_else(|| {
            domains.push(&host.domain);
            domains.len() - 1
        });
        let (inbox, receiver) = mpsc::unbounded_channel();
        inboxes.push(Inbox(receiver));
        nodes.push(Node {
            domain: host.domain.clone(),
            region: domain % regions.unwrap_or(1).max(1),
            incarnation,
            inbox,
            lost: CancellationToken::new(),
            lost_at: Mutex::default(),
        });
    }
    let network = Arc::new(Network {
        indices: hosts.iter().map(|h| h.name.clone()).zip(0..).collect(),
        nodes,
        zero_latency: regions.is_none(),
        rng: Mutex::new(SmallRng::seed_from_u64(seed)),
    });
    let peers = (0..hosts.len()).map(|index| Endpoint {
        network: Arc::clone(&network),
        index,
    });
    (peers.collect(), inboxes)
}

impl Network {
    /// Draws the one-way latency between two hosts, rounded at random to whole milliseconds so
    /// that the mean is preserved.
    fn delay(&self, from: usize, to: usize) -> Duration {
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        let latency = match () {
            () if self.zero_latency || from == to => return Duration::ZERO,
            () if a.region != b.region => INTER_REGION_LATENCY,
            () if a.domain != b.domain => INTER_DOMAIN_LATENCY,
            () => INTRA_DOMAIN_LATENCY,
        };
        let mut rng = self.rng.lock().expect("no holder panics");
        clock::round_to_millis(latency, rng.random())
    }
}

impl Endpoint {
    /// Marks this host as lost: it no longer replies to any other host.
    pub fn mark_lost(&self) {
        let node = &self.network.nodes[self.index];
        *node.lost_at.lock().expect("no holder panics") = Some(Instant::now());
        node.lost.cancel();
    }

    /// Returns whether this host is lost.
    pub fn is_lost(&self) -> bool {
        self.network.nodes[self.index].lost.is_cancelled()
    }

    /// Completes when the run marks this host as lost.
    pub async fn lost(&self) {
        self.network.nodes[self.index].lost.cancelled().await;
    }

    async fn deliver(&self, to: usize, message: Subquery) -> Option<Subreply> {
        let target = &self.network.nodes[to];
        let (outbound, return_latency) = (
            self.network.delay(self.index, to),
            self.network.delay(to, self.index),
        );
        wait_latency(outbound).await;
        if target.lost.is_cancelled() {
            std::future::pending::<()>().await;
        }
        let (reply, receiver) = oneshot::channel();
        let request = Request {
            message,
            reply,
            return_latency,
        };
        target.inbox.send(request).ok()?;
        let reply = receiver.await.ok()?;
        wait_latency(return_latency).await;
        if target.lost.is_cancelled() {
            std::future::pending::<()>().await;
        }
        Some(reply)
    }
}

async fn wait_latency(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}

impl Inbox {
    /// Passes each message to `dispatcher` in a task of its own, which ends early if the sender
    /// cancels.
    pub async fn serve<S: Suite, C: Connector<Connection: Searcher>>(
        mut self,
        dispatcher: Dispatcher<C, S::Dispatch>,
    ) {
        while let Some(request) = self.0.recv().await {
            let dispatcher = dispatcher.clone();
            tokio::spawn(async move {
                let Request {
                    message,
                    mut reply,
                    return_latency,
                } = request;
                let cancelled = async {
                    reply.closed().await;
                    wait_latency(return_latency).await;
                };
                let result = tokio::select! {
                    biased;
                    result = dispatcher.subquery(message) => Some(result),
                    () = cancelled => None,
                };
                if let Some(result) = result {
                    // The sender may have cancelled in the meantime.
                    let _gone = reply.send(result);
                }
            });
        }
    }
}

impl Peers for Endpoint {
    async fn subquery(
        &self,
        host: &host::Name,
        message: Subquery,
        time: Duration,
    ) -> Result<Subreply> {
        let Some(&to) = self.network.indices.get(host) else {
            return Err(Error::Connect { host: host.clone() });
        };
        let connection_error = |why| Error::Broken {
            host: host.clone(),
            why: SmolStr::new_static(why),
        };
        match timeout(time, self.deliver(to, message)).await {
            Ok(Some(reply)) => Ok(reply),
            Ok(None) => Err(connection_error("host stopped")),
            Err(_) => Err(connection_error("no reply in time")),
        }
    }

    async fn order(&self, host: &host::Name, _: Order, _: Duration) -> Result<Outcome> {
        Err(Error::Connect { host: host.clone() })
    }

    async fn outcome(&self, host: &host::Name, _: &str, _: &str) -> Result<Option<Outcome>> {
        Err(Error::Connect { host: host.clone() })
    }

    fn incarnation(&self, host: &host::Name) -> Option<host::Incarnation> {
        let index = self.network.indices.get(host)?;
        Some(self.network.nodes[*index].incarnation)
    }

    fn is_usable(&self, host: &host::Name) -> bool {
        self.network.indices.get(host).is_some_and(|index| {
            let lost_at = self.network.nodes[*index].lost_at.lock();
            let lost_at = *lost_at.expect("no holder panics");
            lost_at.is_none_or(|at| at.elapsed() < SUSPICION_TIMEOUT)
        })
    }
}
