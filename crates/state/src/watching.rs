//! Reading the platform on behalf of other hosts.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use futures::future;
use rand::Rng as _;
use rattanmast_model::{
    exchange::Exchange,
    hash,
    host::Name,
    store::{self, Object, Store},
};
use tokio::{
    task::{AbortHandle, JoinSet},
    time::{Instant, sleep, timeout},
};

use crate::{node::Node, record, spread};

/// Watchers that watch an object other than the configuration.
///
/// 9 watches of the configuration and 3 of each of 6 other objects are 27 standing calls.
const EACH: usize = 3;

/// Time between looks at which objects are this host's to watch.
const LOOK: Duration = Duration::from_secs(1);

/// The waits after the first and after many failed calls.
const BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));

/// The waits between reads of the platform of a seed without configuration.
const SEED: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(30));

/// The same of other hosts, which learn from the seeds unless all of them are lost.
///
/// A fleet of 2,200 hosts that starts at once would otherwise read the platform all together.
const ALONE: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(30));

/// Time that a watch may take beyond its wait before it is taken to be silent.
const SILENT: Duration = Duration::from_secs(5);

/// Returns a wait that doubles with each failure, and differs between hosts.
fn backoff<S: Store, X: Exchange>(
    node: &Node<S, X>,
    bounds: (Duration, Duration),
    failures: u32,
) -> Duration {
    let wait = bounds.0 * 2_u32.saturating_pow(failures.min(16));
    let jitter = node.lock().rng.random_range(0.5..1.0);
    wait.min(bounds.1).mul_f64(jitter)
}

/// Reads the version each second, as a watcher or while there is no configuration.
pub(crate) async fn versions<S: Store, X: Exchange>(node: &Node<S, X>) {
    let mut alone = 0;
    let settings = &node.shared.settings;
    let seed = settings.seeds.contains(&node.shared.me.exchange);
    let waits = if seed { SEED } else { ALONE };
    loop {
        let (watcher, none) = {
            let state = node.lock();
            (state.watcher(), state.config().version.0 == 0)
        };
        if none {
            // Peers are asked first, so that a fleet that starts does not flood the platform.
            if alone > 0 || !settings.seeds.is_empty() {
                let wait = sleep(backoff(node, waits, alone));
                let mut view = node.view();
                tokio::select! {
                    biased;
                    () = wait => {}
                    _ = view.changed() => {}
                }
            }
            alone += 1;
            if node.lock().config().version.0 == 0 {
                read(node).await;
            }
            continue;
        }
        alone = 0;
        if !watcher {
            node.lock().down = false;
            sleep(LOOK).await;
            continue;
        }
        let jitter = node.lock().rng.random_range(0.95..1.0);
        let pause = sleep(settings.read.mul_f64(jitter));
        let down = node.lock().down;
        let asking = async {
            if down {
                probe(node).await;
            }
        };
        let reading = async {
            let reached = read(node).await;
            node.lock().down = !reached;
            if !reached && !down {
                probe(node).await;
            }
        };
        tokio::join!(pause, reading, asking);
    }
}

/// Reads the version, and the configuration if it is newer; returns whether the platform answered.
async fn read<S: Store, X: Exchange>(node: &Node<S, X>) -> bool {
    let began = Instant::now();
    let held = node.lock().held();
    let call = node
        .shared
        .store
        .watch(record::CURRENT, held, Duration::ZERO);
    match timeout(node.shared.settings.platform, call).await {
        Ok(Ok(None)) => {
            node.lock().confirm(held, began);
            true
        }
        Ok(Ok(Some(object))) => {
            let version = object.version;
            let good = take(node, object);
            // What cannot be read was never accepted, so the one held stays in force.
            let mut state = node.lock();
            let version = if good { version } else { state.held() };
            state.confirm(version, began);
            true
        }
        Ok(Err(store::Error::Missing { .. })) => true,
        Ok(Err(e)) => {
            log::debug!("version is not known: {e}");
            false
        }
        Err(_) => false,
    }
}

/// Takes over an object; returns whether it is good.
fn take<S: Store, X: Exchange>(node: &Node<S, X>, object: Object) -> bool {
    let taken = node.lock().offer(object, Instant::now());
    match taken {
        Ok(true) => {
            node.publish();
            node.news(true);
            true
        }
        Ok(false) => true,
        Err(e) => {
            log::error!("{e}");
            false
        }
    }
}

/// Asks other watchers which version they have, because the platform does not answer.
///
/// As many as make a majority are asked, the next ones in order, and the rest only if those do
/// not answer at once: asking all of them takes 4.8 KB/s of a watcher in a fleet of 200 hosts.
async fn probe<S: Store, X: Exchange>(node: &Node<S, X>) {
    let (mut first, held) = {
        let state = node.lock();
        let watchers = &state.place.watchers;
        let me = watchers
            .iter()
            .position(|n| *n == state.me)
            .unwrap_or_default();
        let order = watchers.iter().cycle().skip(me + 1).take(watchers.len());
        let reached = order.filter_map(|n| Some((n.clone(), *state.addrs.get(n)?)));
        let mut order: Vec<(Name, SocketAddr)> = reached.collect();
        order.sort_by_key(|(name, _)| !state.members.usable(name));
        (order, watchers.len() / 2)
    };
    let rest = first.split_off(held.min(first.len()));
    let began = Instant::now();
    let meet = |(name, addr)| spread::meet(node, Some(name), addr, false);
    let later = async {
        sleep(node.shared.settings.reply / 2).await;
        if !counted(node, began) {
            future::join_all(rest.into_iter().map(meet)).await;
        }
    };
    let first = async {
        future::join_all(first.into_iter().map(meet)).await;
        counted(node, began);
    };
    tokio::join!(first, later);
    counted(node, began);
}

/// Counts what the watchers said; returns whether a majority said it after `began`.
fn counted<S: Store, X: Exchange>(node: &Node<S, X>, began: Instant) -> bool {
    let now = Instant::now();
    let mut state = node.lock();
    state.count(now);
    let proof = state.ledger.proof(now);
    proof
        .age
        .is_some_and(|age| age <= now.duration_since(began))
}

/// Keeps the watches that are this host's.
pub(crate) async fn objects<S: Store, X: Exchange>(node: &Node<S, X>) {
    let mut tasks = JoinSet::new();
    let mut running: BTreeMap<String, AbortHandle> = BTreeMap::new();
    loop {
        let mine = mine(node);
        running.retain(|name, task| {
            let keep = mine.contains(name) && !task.is_finished();
            if !keep {
                task.abort();
            }
            keep
        });
        for name in mine {
            let entry = running.entry(name);
            entry.or_insert_with_key(|name| {
                let (node, name) = (node.clone(), name.clone());
                tasks.spawn(async move { watch(&node, &name).await })
            });
        }
        while tasks.try_join_next().is_some() {}
        sleep(LOOK).await;
    }
}

/// Returns the objects that this host watches.
fn mine<S: Store, X: Exchange>(node: &Node<S, X>) -> Vec<String> {
    let state = node.lock();
    if !state.watcher() {
        return Vec::new();
    }
    let catalogs = state.config().collections.iter();
    let catalogs = catalogs.map(|c| format!("{}{}", record::CATALOG, c.name));
    let shared = [record::HOSTS.to_owned(), record::LEAFS.to_owned()];
    let shared = shared.into_iter().chain(catalogs);
    let assigned = |object: &String| {
        let weight = |n: &Name| hash::stable([object.as_bytes(), n.as_bytes()]);
        let reaching = state.place.watchers.iter();
        let mut reaching: Vec<&Name> = reaching
            .filter(|n| **n == state.me || state.members.reaches(n))
            .collect();
        reaching.sort_unstable_by_key(|n| weight(n));
        reaching.iter().take(EACH).any(|n| **n == state.me)
    };
    let own = [record::CURRENT.to_owned()];
    own.into_iter().chain(shared.filter(assigned)).collect()
}

/// Watches one object.
async fn watch<S: Store, X: Exchange>(node: &Node<S, X>, name: &str) {
    let wait = node.shared.settings.watch;
    let mut failures = 0;
    loop {
        let held = node.lock().table.version(name);
        let call = node.shared.store.watch(name, held, wait);
        let began = Instant::now();
        let good = match timeout(wait + SILENT, call).await {
            Ok(Ok(Some(object))) => take(node, object) && node.lock().table.version(name) > held,
            // A platform that answers at once, whatever the wait, must not be asked without end.
            Ok(Ok(None)) => began.elapsed() >= wait / 2,
            Ok(Err(e)) => {
                log::debug!("object {name} is not watched: {e}");
                false
            }
            Err(_) => false,
        };
        failures = if good { 0 } else { failures + 1 };
        if !good {
            sleep(backoff(node, BACKOFF, failures)).await;
        }
    }
}
