//! Exchanging state with other hosts.

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

/// Hosts that are told of news at once.
const PUSH_PEERS: usize = 3;

/// News that come within this time are told together.
const PUSH_DELAY: Duration = Duration::from_millis(5);

/// Rounds of news that may follow each other at once, and that come back each second.
const PUSH_BUCKET: Bucket = Bucket::new(20.0, 4.0);

/// The age of a proof from which a host asks more often.
const FRESH_PROOF_MAX_AGE: Duration = Duration::from_millis(1500);

/// Time between a host's questions when its proof is old.
const FAST_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Hasty rounds that may follow each other, and that come back each second.
const FAST_EXCHANGE_BUCKET: Bucket = Bucket::new(15.0, 2.0);

/// Hosts that are told directly that this one is stopping, at most.
const MAX_LEAVE_NOTICES: usize = 16;

/// Farewells that are on their way at a time.
const MAX_CONCURRENT_LEAVE_NOTICES: usize = 8;

/// Work that an answer to a peer brings about.
#[derive(Debug)]
pub(crate) enum Work {
    /// Tell random hosts what is new here.
    Push,
    /// Fetch objects from a host.
    Pull(SocketAddr, Fetch),
}

/// Allows bursts of work, and a rate in the long run.
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

/// Does what answers to peers bring about.
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

/// Tells random hosts what is new here.
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

/// Exchanges state regularly.
pub(crate) async fn run_exchanges<S: Store, X: Exchange>(node: &Node<S, X>) {
    let mut fast_bucket = FAST_EXCHANGE_BUCKET;
    loop {
        let interval = node.shared.settings.exchange_interval;
        let (stale, jitter) = {
            let mut state = node.lock();
            let proof = state.ledger.proof(Instant::now());
            let stale =
                proof.age.is_none_or(|a| a > FRESH_PROOF_MAX_AGE) || state.ledger.is_behind();
            (stale, state.rng.random_range(0.9..1.1))
        };
        let fast = stale && fast_bucket.acquire(Instant::now());
        let delay = if fast {
            FAST_EXCHANGE_INTERVAL
        } else {
            interval
        };
        tokio::join!(exchange_round(node, fast), sleep(delay.mul_f64(jitter)));
    }
}

/// Exchanges state with a random host, the layer above, and hosts that are sought.
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

/// Exchanges state with one host.
pub(crate) async fn exchange_with<S: Store, X: Exchange>(
    node: &Node<S, X>,
    name: Option<Name>,
    addr: SocketAddr,
    list_objects: bool,
) {
    let Some((reply, sent)) = send_digest(node, name.as_ref(), addr, list_objects).await else {
        if let Some(name) = name {
            node.failed(&name);
        }
        return;
    };
    let (fetch, peer_lacks, changed) = {
        let mut state = node.lock();
        let changed = state.merge_gossip(&reply, Instant::now());
        state.merge_proof(&reply, sent);
        let mut theirs = reply.objects.clone();
        if theirs.is_empty() {
            theirs.push((SmolStr::new_static(crate::record::CURRENT), reply.object));
        }
        let differs = reply.summary != state.table.summary();
        let peer_lacks = differs && !list_objects && state.table.has_newer(&reply.objects);
        (state.table.fetch_newer(&theirs), peer_lacks, changed)
    };
    node.push_if(changed);
    if !fetch.wants.is_empty() {
        // Not waited for: a lost reply would keep this host from its next exchange for 2 s.
        node.queue_work(Work::Pull(addr, fetch));
    }
    if peer_lacks {
        // The host lists its objects where summaries differ, so that it learns what it lacks.
        send_digest(node, name.as_ref(), addr, true).await;
    }
}

/// Sends a digest, twice if there is no reply; returns the reply and when the digest was sent.
///
/// A second try keeps a single lost message from raising a suspicion.
async fn send_digest<S: Store, X: Exchange>(
    node: &Node<S, X>,
    name: Option<&Name>,
    addr: SocketAddr,
    list_objects: bool,
) -> Option<(Digest, Instant)> {
    for _ in 0..2 {
        let sent = Instant::now();
        let digest = node.lock().digest(name, sent, false, list_objects);
        let timeout_after = node.shared.settings.reply_timeout;
        let call = node
            .shared
            .exchange
            .call(addr, Message::Exchange(digest), timeout_after);
        match timeout(timeout_after, call).await {
            Ok(Ok(Reply::Digest(reply))) => return Some((reply, sent)),
            Ok(Ok(_)) => log::warn!("host at {addr} gave an unrelated reply; upgrade it"),
            Ok(Err(e)) => log::debug!("{e}"),
            Err(_) => log::debug!("host at {addr} did not reply within {timeout_after:?}"),
        }
    }
    None
}

/// Fetches objects, each from one host at a time.
async fn fetch_objects<S: Store, X: Exchange>(node: &Node<S, X>, addr: SocketAddr, fetch: Fetch) {
    let mut wants = fetch.wants;
    if wants.is_empty() {
        return;
    }
    let now = Instant::now();
    // A lost request must not keep the object from being fetched from another host.
    let timeout_after = node.shared.settings.reply_timeout;
    node.lock().reserve(&mut wants, now, timeout_after);
    if wants.is_empty() {
        return;
    }
    let reservation = Reservation {
        node,
        names: wants.iter().map(|w| w.0.clone()).collect(),
        at: now,
    };
    let refetch = fetch_once(node, addr, wants).await;
    if !refetch.is_empty() {
        fetch_once(node, addr, refetch).await;
    }
    drop(reservation);
}

/// Objects that are being fetched; released on drop, so that a dropped fetch can be repeated.
struct Reservation<'a, S: Store, X: Exchange> {
    node: &'a Node<S, X>,
    names: Vec<SmolStr>,
    at: Instant,
}

impl<S: Store, X: Exchange> Drop for Reservation<'_, S, X> {
    fn drop(&mut self) {
        self.node.lock().release(&self.names, self.at);
    }
}

/// Fetches objects once; returns those whose change did not fit, to be fetched whole.
async fn fetch_once<S: Store, X: Exchange>(
    node: &Node<S, X>,
    addr: SocketAddr,
    wants: Vec<(SmolStr, Version)>,
) -> Vec<(SmolStr, Version)> {
    let timeout_after = node.shared.settings.fetch_timeout;
    let message = Message::Fetch(Fetch { wants });
    let call = node.shared.exchange.call(addr, message, timeout_after);
    let Ok(Ok(Reply::Updates(updates))) = timeout(timeout_after, call).await else {
        log::debug!("host at {addr} did not send objects; another exchange fetches them");
        return Vec::new();
    };
    let mut changed = false;
    let mut refetch = Vec::new();
    for update in updates {
        let name = update.name.clone();
        match node.lock().receive(update, Instant::now()) {
            Ok(new) => changed |= new,
            Err(table::Error::DeltaMismatch { name }) => refetch.push((name, Version(0))),
            Err(e) => log::error!("object {name} from {addr} is not taken over: {e}"),
        }
    }
    if changed {
        node.publish();
    }
    node.push_if(changed);
    refetch
}

/// Tells hosts that this one is stopping.
pub(crate) async fn send_leave_notices<S: Store, X: Exchange>(node: &Node<S, X>, rumor: Rumor) {
    let addrs: Vec<SocketAddr> = {
        let mut state = node.lock();
        let mut others = state.peers.clone();
        let count = others.len().min(MAX_LEAVE_NOTICES);
        let (chosen, _) =
            rand::seq::SliceRandom::partial_shuffle(&mut *others, &mut state.rng, count);
        chosen.iter().map(|(_, addr)| *addr).collect()
    };
    let timeout_after = node.shared.settings.reply_timeout;
    let notify = |addr| {
        let rumor = rumor.clone();
        async move {
            for _ in 0..2 {
                let message = Message::Leave(rumor.clone());
                let call = node.shared.exchange.call(addr, message, timeout_after);
                if matches!(timeout(timeout_after, call).await, Ok(Ok(_))) {
                    return;
                }
            }
            log::debug!("host at {addr} was not told that this host leaves; rumors tell it");
        }
    };
    stream::iter(addrs)
        .for_each_concurrent(MAX_CONCURRENT_LEAVE_NOTICES, notify)
        .await;
}
