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
const TOLD: usize = 3;

/// News that come within this time are told together.
const TOGETHER: Duration = Duration::from_millis(5);

/// Rounds of news that may follow each other at once, and that come back each second.
const PUSHES: Budget = Budget::of(20.0, 4.0);

/// The age of a proof from which a host asks more often.
const OLD: Duration = Duration::from_millis(1500);

/// Time between a host's questions when its proof is old.
const HASTE: Duration = Duration::from_millis(100);

/// Hasty rounds that may follow each other, and that come back each second.
const HASTY: Budget = Budget::of(15.0, 2.0);

/// Hosts that are told directly that this one is stopping, at most.
const FAREWELLS: usize = 16;

/// Farewells that are on their way at a time.
const AT_ONCE: usize = 8;

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
struct Budget {
    most: f64,
    rate: f64,
    left: f64,
    at: Option<Instant>,
}

impl Budget {
    const fn of(most: f64, rate: f64) -> Self {
        Self {
            most,
            rate,
            left: most,
            at: None,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let since = self
            .at
            .map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.at = Some(now);
        self.left = (self.left + since * self.rate).min(self.most);
        let enough = self.left >= 1.0;
        if enough {
            self.left -= 1.0;
        }
        enough
    }
}

/// Does what answers to peers bring about.
pub(crate) async fn work<S: Store, X: Exchange>(
    node: &Node<S, X>,
    mut inbox: mpsc::Receiver<Work>,
) {
    let mut tasks = JoinSet::new();
    let mut budget = PUSHES;
    let mut due: Option<Instant> = None;
    loop {
        let wait = async {
            match due {
                Some(at) => tokio::time::sleep_until(at).await,
                None => future::pending().await,
            }
        };
        tokio::select! {
            biased;
            Some(work) = inbox.recv() => match work {
                Work::Push => due = due.or_else(|| Some(Instant::now() + TOGETHER)),
                Work::Pull(addr, fetch) => {
                    let node = node.clone();
                    tasks.spawn(async move { pull(&node, addr, fetch).await });
                }
            },
            () = wait => {
                due = None;
                if budget.take(Instant::now()) {
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
        for _ in 0..TOLD * 2 {
            let fresh = state
                .random()
                .filter(|p| peers.len() < TOLD && !peers.contains(p));
            peers.extend(fresh);
        }
        peers
    };
    let calls = peers
        .into_iter()
        .map(|(name, addr)| meet(node, Some(name), addr, true));
    future::join_all(calls).await;
}

/// Exchanges state regularly.
pub(crate) async fn exchange<S: Store, X: Exchange>(node: &Node<S, X>) {
    let mut hasty = HASTY;
    loop {
        let every = node.shared.settings.exchange;
        let (old, jitter) = {
            let mut state = node.lock();
            let proof = state.ledger.proof(Instant::now());
            let old = proof.age.is_none_or(|a| a > OLD) || state.ledger.behind();
            (old, state.rng.random_range(0.9..1.1))
        };
        let haste = old && hasty.take(Instant::now());
        let pause = if haste { HASTE } else { every };
        tokio::join!(round(node, haste), sleep(pause.mul_f64(jitter)));
    }
}

/// Exchanges state with a random host, the layer above, and hosts that are sought.
async fn round<S: Store, X: Exchange>(node: &Node<S, X>, haste: bool) {
    let calls: Vec<(Option<Name>, SocketAddr)> = {
        let mut state = node.lock();
        let mut peers: Vec<(Name, SocketAddr)> = state.take_sought();
        if !haste {
            peers.extend(state.random());
        }
        peers.extend(state.above(haste));
        peers.dedup();
        let mut calls: Vec<_> = peers.into_iter().map(|(n, a)| (Some(n), a)).collect();
        if state.others.is_empty() {
            calls.extend(seed(node, &mut state.rng).map(|a| (None, a)));
        }
        calls
    };
    let calls = calls
        .into_iter()
        .map(|(name, addr)| meet(node, name, addr, false));
    future::join_all(calls).await;
}

fn seed<S, X>(node: &Node<S, X>, rng: &mut impl rand::Rng) -> Option<SocketAddr> {
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
pub(crate) async fn meet<S: Store, X: Exchange>(
    node: &Node<S, X>,
    name: Option<Name>,
    addr: SocketAddr,
    list: bool,
) {
    let Some((reply, sent)) = ask(node, name.as_ref(), addr, list).await else {
        if let Some(name) = name {
            node.failed(&name);
        }
        return;
    };
    let (fetch, lacks, news) = {
        let mut state = node.lock();
        let news = state.hear(&reply, Instant::now());
        state.trust(&reply, sent);
        let mut theirs = reply.objects.clone();
        if theirs.is_empty() {
            theirs.push((SmolStr::new_static(crate::record::CURRENT), reply.object));
        }
        let differs = reply.summary != state.table.summary();
        let lacks = differs && !list && state.table.exceeds(&reply.objects);
        (state.table.wants(&theirs), lacks, news)
    };
    node.news(news);
    if !fetch.wants.is_empty() {
        // Not waited for: a lost reply would keep this host from its next exchange for 2 s.
        node.queue(Work::Pull(addr, fetch));
    }
    if lacks {
        // The host lists its objects where summaries differ, so that it learns what it lacks.
        ask(node, name.as_ref(), addr, true).await;
    }
}

/// Sends a digest, twice if there is no reply; returns the reply and when the digest was sent.
///
/// A second try keeps a single lost message from raising a suspicion.
async fn ask<S: Store, X: Exchange>(
    node: &Node<S, X>,
    name: Option<&Name>,
    addr: SocketAddr,
    list: bool,
) -> Option<(Digest, Instant)> {
    for _ in 0..2 {
        let sent = Instant::now();
        let digest = node.lock().digest(name, sent, false, list);
        let limit = node.shared.settings.reply;
        let call = node
            .shared
            .exchange
            .call(addr, Message::Exchange(digest), limit);
        match timeout(limit, call).await {
            Ok(Ok(Reply::Digest(reply))) => return Some((reply, sent)),
            Ok(Ok(_)) => log::warn!("host at {addr} gave an unrelated reply; upgrade it"),
            Ok(Err(e)) => log::debug!("{e}"),
            Err(_) => log::debug!("host at {addr} did not reply within {limit:?}"),
        }
    }
    None
}

/// Fetches objects, each from one host at a time.
async fn pull<S: Store, X: Exchange>(node: &Node<S, X>, addr: SocketAddr, fetch: Fetch) {
    let mut wants = fetch.wants;
    if wants.is_empty() {
        return;
    }
    let now = Instant::now();
    // A lost request must not keep the object from being fetched from another host.
    let limit = node.shared.settings.reply;
    node.lock().claim(&mut wants, now, limit);
    if wants.is_empty() {
        return;
    }
    let claimed = Claimed {
        node,
        names: wants.iter().map(|w| w.0.clone()).collect(),
        at: now,
    };
    let whole = receive(node, addr, wants).await;
    if !whole.is_empty() {
        receive(node, addr, whole).await;
    }
    drop(claimed);
}

/// Objects that are being fetched; released on drop, so that a dropped fetch can be repeated.
struct Claimed<'a, S: Store, X: Exchange> {
    node: &'a Node<S, X>,
    names: Vec<SmolStr>,
    at: Instant,
}

impl<S: Store, X: Exchange> Drop for Claimed<'_, S, X> {
    fn drop(&mut self) {
        self.node.lock().release(&self.names, self.at);
    }
}

/// Fetches objects once; returns those whose change did not fit, to be fetched whole.
async fn receive<S: Store, X: Exchange>(
    node: &Node<S, X>,
    addr: SocketAddr,
    wants: Vec<(SmolStr, Version)>,
) -> Vec<(SmolStr, Version)> {
    let limit = node.shared.settings.fetch;
    let message = Message::Fetch(Fetch { wants });
    let call = node.shared.exchange.call(addr, message, limit);
    let Ok(Ok(Reply::Updates(updates))) = timeout(limit, call).await else {
        log::debug!("host at {addr} did not send objects; another exchange fetches them");
        return Vec::new();
    };
    let mut news = false;
    let mut whole = Vec::new();
    for update in updates {
        let name = update.name.clone();
        match node.lock().receive(update, Instant::now()) {
            Ok(new) => news |= new,
            Err(table::Error::Unfit { name }) => whole.push((name, Version(0))),
            Err(e) => log::error!("object {name} from {addr} is not taken over: {e}"),
        }
    }
    if news {
        node.publish();
    }
    node.news(news);
    whole
}

/// Tells hosts that this one is stopping.
pub(crate) async fn leave<S: Store, X: Exchange>(node: &Node<S, X>, rumor: Rumor) {
    let addrs: Vec<SocketAddr> = {
        let mut state = node.lock();
        let mut others = state.others.clone();
        let count = others.len().min(FAREWELLS);
        let (chosen, _) =
            rand::seq::SliceRandom::partial_shuffle(&mut *others, &mut state.rng, count);
        chosen.iter().map(|(_, addr)| *addr).collect()
    };
    let limit = node.shared.settings.reply;
    let tell = |addr| {
        let rumor = rumor.clone();
        async move {
            for _ in 0..2 {
                let message = Message::Leave(rumor.clone());
                let call = node.shared.exchange.call(addr, message, limit);
                if matches!(timeout(limit, call).await, Ok(Ok(_))) {
                    return;
                }
            }
            log::debug!("host at {addr} was not told that this host leaves; rumors tell it");
        }
    };
    stream::iter(addrs).for_each_concurrent(AT_ONCE, tell).await;
}
