//! Gossip: exchanges digests with other hosts, and fetches newer objects from them.

use std::{net::SocketAddr, time::Duration};

use futures::{future, stream, stream::StreamExt as _};
use rand::Rng as _;
use rattanmast_model::{
    exchange::{Digest, Exchange, Fetch, Message, Reply, Rumor},
    host::Name,
    store::{Store, Version},
};
use smol_str::SmolStr;
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{node::Node, table};

/// Number of random hosts to which a change is pushed.
const PUSH_PEERS: usize = 3;

/// Delay before a push, to combine changes that arrive close together.
const PUSH_DELAY: Duration = Duration::from_millis(5);

/// Burst of pushes, and their sustained rate per second.
const PUSH_BUCKET: Bucket = Bucket::new(20.0, 4.0);

/// Age of the proof above which a host exchanges at [`FAST_EXCHANGE_INTERVAL`].
const FRESH_PROOF_MAX_AGE: Duration = Duration::from_millis(1500);

/// Interval between exchanges while the proof is older than [`FRESH_PROOF_MAX_AGE`].
const FAST_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Burst of fast exchange rounds, and their sustained rate per second.
const FAST_EXCHANGE_BUCKET: Bucket = Bucket::new(15.0, 2.0);

/// Maximum number of hosts that receive a leave notice; rumors reach the others.
const MAX_LEAVE_NOTICES: usize = 16;

/// Maximum number of leave notices in flight.
const MAX_CONCURRENT_LEAVE_NOTICES: usize = 8;

/// Background work of the node.
#[derive(Debug)]
pub(crate) enum Work {
    /// Push recent changes to random hosts.
    Push,
    /// Fetch objects from a host.
    Pull(SocketAddr, Fetch),
}

/// A token bucket, which is initially full.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    capacity: f64,
    refill_per_sec: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl Bucket {
    const fn new(capacity: f64, refill_per_sec: f64) -> Self {
        Self {
            capacity,
            refill_per_sec,
            tokens: capacity,
            refilled_at: None,
        }
    }

    /// Takes a token; returns whether one was available.
    fn acquire(&mut self, now: Instant) -> bool {
        let since = self
            .refilled_at
            .map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + since * self.refill_per_sec).min(self.capacity);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

/// Performs queued work until the queue is closed.
pub(crate) async fn run_work<S: Store, X: Exchange>(
    node: &Node<S, X>,
    mut receiver: mpsc::Receiver<Work>,
) {
    let mut tasks = JoinSet::new();
    let mut bucket = PUSH_BUCKET;
    let mut push_at: Option<Instant> = None;
    loop {
        let wait = async {
            match push_at {
                Some(at) => tokio::time::sleep_until(at).await,
                None => future::pending().await,
            }
        };
        tokio::select! {
            biased;
            Some(work) = receiver.recv() => match work {
                Work::Push => push_at = push_at.or_else(|| Some(Instant::now() + PUSH_DELAY)),
                Work::Pull(addr, fetch) => {
                    let node = node.clone();
                    tasks.spawn(async move { fetch_objects(&node, addr, fetch).await });
                }
            },
            () = wait => {
                push_at = None;
                if bucket.acquire(Instant::now()) {
                    let node = node.clone();
                    tasks.spawn(async move { push(&node).await });
                }
            }
            Some(_) = tasks.join_next() => {}
            else => return,
        }
    }
}

/// Pushes recent changes to random hosts.
async fn push<S: Store, X: Exchange>(node: &Node<S, X>) {
    let peers: Vec<_> = {
        let mut state = node.lock();
        let mut peers: Vec<(Name, SocketAddr)> = Vec::new();
        for _ in 0..PUSH_PEERS * 2 {
            let candidate = state
                .random_peer()
                .filter(|p| peers.len() < PUSH_PEERS && !peers.contains(p));
            peers.extend(candidate);
        }
        peers
    };
    let calls = peers
        .into_iter()
        .map(|(name, addr)| exchange_with(node, Some(name), addr, true));
    future::join_all(calls).await;
}

/// Runs exchange rounds periodically.
pub(crate) async fn run_exchanges<S: Store, X: Exchange>(node: &Node<S, X>) {
    let mut fast_bucket = FAST_EXCHANGE_BUCKET;
    loop {
        let interval = node.shared.settings.exchange_interval;
        let (stale_proof, jitter) = {
            let mut state = node.lock();
            let proof = state.ledger.proof(Instant::now());
            let stale_proof =
                proof.age.is_none_or(|a| a > FRESH_PROOF_MAX_AGE) || state.ledger.is_behind();
            (stale_proof, state.rng.random_range(0.9..1.1))
        };
        let fast = stale_proof && fast_bucket.acquire(Instant::now());
        let delay = if fast {
            FAST_EXCHANGE_INTERVAL
        } else {
            interval
        };
        tokio::join!(exchange_round(node, fast), sleep(delay.mul_f64(jitter)));
    }
}

/// Exchanges state with a random host, a host of the layer above, and hosts whose incarnation is
/// unknown. A `fast` round skips the random host.
async fn exchange_round<S: Store, X: Exchange>(node: &Node<S, X>, fast: bool) {
    let calls: Vec<(Option<Name>, SocketAddr)> = {
        let mut state = node.lock();
        let mut peers: Vec<(Name, SocketAddr)> = state.take_incarnation_queries();
        if !fast {
            peers.extend(state.random_peer());
        }
        peers.extend(state.upstream_peer(fast));
        peers.dedup();
        let mut calls: Vec<_> = peers.into_iter().map(|(n, a)| (Some(n), a)).collect();
        if state.peers.is_empty() {
            calls.extend(random_seed(node, &mut state.rng).map(|a| (None, a)));
        }
        calls
    };
    let calls = calls
        .into_iter()
        .map(|(name, addr)| exchange_with(node, name, addr, false));
    future::join_all(calls).await;
}

fn random_seed<S, X>(node: &Node<S, X>, rng: &mut impl rand::Rng) -> Option<SocketAddr> {
    let shared = &node.shared;
    let seeds: Vec<_> = shared
        .settings
        .seeds
        .iter()
        .filter(|a| **a != shared.me.exchange)
        .collect();
    (!seeds.is_empty()).then(|| *seeds[rng.random_range(0..seeds.len())])
}

/// Exchanges state with one host; `list_objects` includes the object list in the request.
pub(crate) async fn exchange_with<S: Store, X: Exchange>(
    node: &Node<S, X>,
    name: Option<Name>,
    addr: SocketAddr,
    list_objects: bool,
) {
    let Some((reply, sent_at)) = send_digest(node, name.as_ref(), addr, list_objects).await else {
        if let Some(name) = name {
            node.record_failure(&name);
        }
        return;
    };
    let (fetch, peer_lacks, changed) = {
        let mut state = node.lock();
        let changed = state.merge_gossip(&reply, Instant::now());
        state.merge_proof(&reply, sent_at);
        let mut theirs = reply.objects.clone();
        if theirs.is_empty() {
            theirs.push((
                SmolStr::new_static(crate::record::CURRENT_CONFIG),
                reply.object,
            ));
        }
        let differs = reply.summary != state.table.summary();
        let peer_lacks = differs && !list_objects && state.table.has_newer(&reply.objects);
        (state.table.fetch_newer(&theirs), peer_lacks, changed)
    };
    node.push_if(changed);
    if !fetch.wants.is_empty() {
        // Runs in the background, because a lost reply would delay the next exchange by the
        // fetch timeout of 2 s.
        node.queue_work(Work::Pull(addr, fetch));
    }
    if peer_lacks {
        // The peer lists its objects because the summaries differ. This request lists ours, so
        // that the peer can fetch what it lacks.
        send_digest(node, name.as_ref(), addr, true).await;
    }
}

/// Sends a digest and returns the reply with the time of the request.
///
/// It retries once, so that a single lost message does not raise a suspicion.
async fn send_digest<S: Store, X: Exchange>(
    node: &Node<S, X>,
    name: Option<&Name>,
    addr: SocketAddr,
    list_objects: bool,
) -> Option<(Digest, Instant)> {
    for _ in 0..2 {
        let sent_at = Instant::now();
        let digest = node.lock().digest(name, sent_at, false, list_objects);
        let reply_timeout = node.shared.settings.reply_timeout;
        let call = node
            .shared
            .exchange
            .call(addr, Message::Exchange(digest), reply_timeout);
        match timeout(reply_timeout, call).await {
            Ok(Ok(Reply::Digest(reply))) => return Some((reply, sent_at)),
            Ok(Ok(_)) => log::warn!("host at {addr} sent an unexpected reply; upgrade it"),
            Ok(Err(e)) => log::debug!("{e}"),
            Err(_) => log::debug!("host at {addr} did not reply within {reply_timeout:?}"),
        }
    }
    None
}

/// Fetches objects from a host, except those that are being fetched from another host.
async fn fetch_objects<S: Store, X: Exchange>(node: &Node<S, X>, addr: SocketAddr, fetch: Fetch) {
    let mut wants = fetch.wants;
    if wants.is_empty() {
        return;
    }
    let now = Instant::now();
    // The reservation expires after the reply timeout, so that a lost request does not prevent
    // fetching the object from another host.
    let reply_timeout = node.shared.settings.reply_timeout;
    node.lock().reserve(&mut wants, now, reply_timeout);
    if wants.is_empty() {
        return;
    }
    let reservation = Reservation {
        node,
        names: wants.iter().map(|w| w.0.clone()).collect(),
        reserved_at: now,
    };
    let refetch = fetch_once(node, addr, wants).await;
    if !refetch.is_empty() {
        fetch_once(node, addr, refetch).await;
    }
    drop(reservation);
}

/// Objects reserved for a fetch; released on drop, so that a cancelled fetch can be retried.
struct Reservation<'a, S: Store, X: Exchange> {
    node: &'a Node<S, X>,
    names: Vec<SmolStr>,
    reserved_at: Instant,
}

impl<S: Store, X: Exchange> Drop for Reservation<'_, S, X> {
    fn drop(&mut self) {
        self.node.lock().release(&self.names, self.reserved_at);
    }
}

/// Fetches objects once; returns those whose differences did not apply, to be fetched whole.
async fn fetch_once<S: Store, X: Exchange>(
    node: &Node<S, X>,
    addr: SocketAddr,
    wants: Vec<(SmolStr, Version)>,
) -> Vec<(SmolStr, Version)> {
    let fetch_timeout = node.shared.settings.fetch_timeout;
    let message = Message::Fetch(Fetch { wants });
    let call = node.shared.exchange.call(addr, message, fetch_timeout);
    let Ok(Ok(Reply::Updates(updates))) = timeout(fetch_timeout, call).await else {
        log::debug!(
            "host at {addr} did not send the requested objects; a later exchange fetches them"
        );
        return Vec::new();
    };
    let mut changed = false;
    let mut refetch = Vec::new();
    for update in updates {
        let name = update.name.clone();
        match node.lock().receive(update, Instant::now()) {
            Ok(new) => changed |= new,
            Err(table::Error::DeltaMismatch { name }) => refetch.push((name, Version(0))),
            Err(e) => log::error!("object {name} from host at {addr} is rejected: {e}"),
        }
    }
    if changed {
        node.publish();
    }
    node.push_if(changed);
    refetch
}

/// Notifies other hosts that this one is stopping.
pub(crate) async fn send_leave_notices<S: Store, X: Exchange>(node: &Node<S, X>, rumor: Rumor) {
    let addrs: Vec<SocketAddr> = {
        let mut state = node.lock();
        let mut others = state.peers.clone();
        let count = others.len().min(MAX_LEAVE_NOTICES);
        let (chosen, _) =
            rand::seq::SliceRandom::partial_shuffle(&mut *others, &mut state.rng, count);
        chosen.iter().map(|(_, addr)| *addr).collect()
    };
    let reply_timeout = node.shared.settings.reply_timeout;
    let notify = |addr| {
        let rumor = rumor.clone();
        async move {
            for _ in 0..2 {
                let message = Message::Leave(rumor.clone());
                let call = node.shared.exchange.call(addr, message, reply_timeout);
                if matches!(timeout(reply_timeout, call).await, Ok(Ok(_))) {
                    return;
                }
            }
            log::debug!(
                "host at {addr} did not acknowledge the leave notice; rumors will reach it"
            );
        }
    };
    stream::iter(addrs)
        .for_each_concurrent(MAX_CONCURRENT_LEAVE_NOTICES, notify)
        .await;
}
