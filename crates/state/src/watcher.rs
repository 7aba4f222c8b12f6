//! The controllers that read and watch the platform's objects on behalf of other hosts.

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

use crate::{gossip, node::Node, record};

/// Number of watchers that watch each object other than the configuration.
///
/// With 9 watches of the configuration and 3 of each of 6 other objects, there are 27 open calls.
const WATCHERS_PER_OBJECT: usize = 3;

/// Interval at which the objects assigned to this host are recomputed.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Initial and maximum backoff between failed watch calls.
const WATCH_BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));

/// Initial and maximum backoff between platform reads of a seed host without a configuration.
const SEED_READ_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_secs(30));

/// Initial and maximum backoff between platform reads of other hosts without a configuration.
///
/// They receive it from the seeds unless all seeds have failed. With a shorter backoff, a fleet of
/// 2,200 hosts that starts at once would overload the platform.
const NON_SEED_READ_BACKOFF: (Duration, Duration) =
    (Duration::from_secs(4), Duration::from_secs(30));

/// Time that a watch call may take beyond its wait time before it is aborted.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// Returns a backoff with jitter that doubles with each failure.
fn backoff<S: Store, X: Exchange>(
    node: &Node<S, X>,
    bounds: (Duration, Duration),
    failures: u32,
) -> Duration {
    let wait = bounds.0 * 2_u32.saturating_pow(failures.min(16));
    let jitter = node.lock().rng.random_range(0.5..1.0);
    wait.min(bounds.1).mul_f64(jitter)
}

/// Polls the configuration version as a watcher, or while there is no configuration.
pub(crate) async fn poll_version<S: Store, X: Exchange>(node: &Node<S, X>) {
    let mut attempts = 0;
    let settings = &node.shared.settings;
    let is_seed = settings.seeds.contains(&node.shared.me.exchange);
    let backoff_bounds = if is_seed {
        SEED_READ_BACKOFF
    } else {
        NON_SEED_READ_BACKOFF
    };
    loop {
        let (is_watcher, unconfigured) = {
            let state = node.lock();
            (state.is_watcher(), state.config().version.0 == 0)
        };
        if unconfigured {
            // Peers are queried first, so that a starting fleet does not overload the platform.
            if attempts > 0 || !settings.seeds.is_empty() {
                let wait = sleep(backoff(node, backoff_bounds, attempts));
                let mut view = node.view();
                tokio::select! {
                    biased;
                    () = wait => {}
                    _ = view.changed() => {}
                }
            }
            attempts += 1;
            if node.lock().config().version.0 == 0 {
                read_version(node).await;
            }
            continue;
        }
        attempts = 0;
        if !is_watcher {
            node.lock().platform_down = false;
            sleep(ASSIGNMENT_INTERVAL).await;
            continue;
        }
        let jitter = node.lock().rng.random_range(0.95..1.0);
        let pause = sleep(settings.version_interval.mul_f64(jitter));
        let down = node.lock().platform_down;
        let querying = async {
            if down {
                query_watchers(node).await;
            }
        };
        let reading = async {
            let reached = read_version(node).await;
            node.lock().platform_down = !reached;
            if !reached && !down {
                query_watchers(node).await;
            }
        };
        tokio::join!(pause, reading, querying);
    }
}

/// Reads the version, and the configuration if it is newer.
///
/// Returns whether the platform answered.
async fn read_version<S: Store, X: Exchange>(node: &Node<S, X>) -> bool {
    let started_at = Instant::now();
    let held = node.lock().held_version();
    let call = node
        .shared
        .store
        .watch(record::CURRENT_CONFIG, held, Duration::ZERO);
    match timeout(node.shared.settings.platform_timeout, call).await {
        Ok(Ok(None)) => {
            node.lock().record_platform_proof(held, started_at);
            true
        }
        Ok(Ok(Some(object))) => {
            let version = object.version;
            let is_valid = apply_object(node, object);
            // An unreadable configuration was never accepted, so the one held stays in force.
            let mut state = node.lock();
            let version = if is_valid {
                version
            } else {
                state.held_version()
            };
            state.record_platform_proof(version, started_at);
            true
        }
        Ok(Err(store::Error::NotFound { .. })) => true,
        Ok(Err(e)) => {
            log::debug!("failed to read the configuration version: {e}");
            false
        }
        Err(_) => false,
    }
}

/// Applies an object; returns whether it is valid.
fn apply_object<S: Store, X: Exchange>(node: &Node<S, X>, object: Object) -> bool {
    let result = node.lock().offer(object, Instant::now());
    match result {
        Ok(true) => {
            node.publish();
            node.push_if(true);
            true
        }
        Ok(false) => true,
        Err(e) => {
            log::error!("{e}");
            false
        }
    }
}

/// Queries the versions of other watchers while the platform does not answer.
///
/// The next watchers in order that suffice for a majority are queried first, and the others only
/// if a majority has not replied after half of the reply timeout. Querying all of them takes
/// 4.8 KB/s per watcher in a fleet of 200 hosts.
async fn query_watchers<S: Store, X: Exchange>(node: &Node<S, X>) {
    let (mut first, needed) = {
        let state = node.lock();
        let watchers = &state.position.watchers;
        let own_index = watchers
            .iter()
            .position(|n| *n == state.me)
            .unwrap_or_default();
        let order = watchers
            .iter()
            .cycle()
            .skip(own_index + 1)
            .take(watchers.len());
        let known = order.filter_map(|n| Some((n.clone(), *state.addrs.get(n)?)));
        let mut order: Vec<(Name, SocketAddr)> = known.collect();
        order.sort_by_key(|(name, _)| !state.members.usable(name));
        (order, watchers.len() / 2)
    };
    let rest = first.split_off(needed.min(first.len()));
    let started_at = Instant::now();
    let exchange = |(name, addr)| gossip::exchange_with(node, Some(name), addr, false);
    let query_rest = async {
        sleep(node.shared.settings.reply_timeout / 2).await;
        if !record_majority_proof(node, started_at) {
            future::join_all(rest.into_iter().map(exchange)).await;
        }
    };
    let first = async {
        future::join_all(first.into_iter().map(exchange)).await;
        record_majority_proof(node, started_at);
    };
    tokio::join!(first, query_rest);
    record_majority_proof(node, started_at);
}

/// Records a proof from the watchers' replies.
///
/// Returns whether the resulting proof is not older than `started_at`.
fn record_majority_proof<S: Store, X: Exchange>(node: &Node<S, X>, started_at: Instant) -> bool {
    let now = Instant::now();
    let mut state = node.lock();
    state.record_majority_proof(now);
    let proof = state.ledger.proof(now);
    proof
        .age
        .is_some_and(|age| age <= now.duration_since(started_at))
}

/// Runs a watch for each object assigned to this host.
pub(crate) async fn run_watches<S: Store, X: Exchange>(node: &Node<S, X>) {
    let mut tasks = JoinSet::new();
    let mut running: BTreeMap<String, AbortHandle> = BTreeMap::new();
    loop {
        let assigned_objects = assigned_objects(node);
        running.retain(|name, task| {
            let keep = assigned_objects.contains(name) && !task.is_finished();
            if !keep {
                task.abort();
            }
            keep
        });
        for name in assigned_objects {
            let entry = running.entry(name);
            entry.or_insert_with_key(|name| {
                let (node, name) = (node.clone(), name.clone());
                tasks.spawn(async move { watch_object(&node, &name).await })
            });
        }
        while tasks.try_join_next().is_some() {}
        sleep(ASSIGNMENT_INTERVAL).await;
    }
}

/// Returns the objects that this host has to watch.
fn assigned_objects<S: Store, X: Exchange>(node: &Node<S, X>) -> Vec<String> {
    let state = node.lock();
    if !state.is_watcher() {
        return Vec::new();
    }
    let catalogs = state.config().collections.iter();
    let catalogs = catalogs.map(|c| format!("{}{}", record::CATALOG, c.name));
    let shared = [record::HOSTS.to_owned(), record::LEAFS.to_owned()];
    let shared = shared.into_iter().chain(catalogs);
    let assigned = |object: &String| {
        let weight = |n: &Name| hash::stable([object.as_bytes(), n.as_bytes()]);
        let reaching = state.position.watchers.iter();
        let mut reaching: Vec<&Name> = reaching
            .filter(|n| **n == state.me || state.members.reaches_platform(n))
            .collect();
        reaching.sort_unstable_by_key(|n| weight(n));
        reaching
            .iter()
            .take(WATCHERS_PER_OBJECT)
            .any(|n| **n == state.me)
    };
    let config = [record::CURRENT_CONFIG.to_owned()];
    config.into_iter().chain(shared.filter(assigned)).collect()
}

/// Watches one object until the task is aborted.
async fn watch_object<S: Store, X: Exchange>(node: &Node<S, X>, name: &str) {
    let wait = node.shared.settings.watch_wait;
    let mut failures = 0;
    loop {
        let held = node.lock().table.version(name);
        let call = node.shared.store.watch(name, held, wait);
        let started_at = Instant::now();
        let success = match timeout(wait + WATCH_TIMEOUT_MARGIN, call).await {
            Ok(Ok(Some(object))) => {
                apply_object(node, object) && node.lock().table.version(name) > held
            }
            // An early answer counts as a failure. Otherwise, a platform that ignores the wait
            // time would be called in a tight loop.
            Ok(Ok(None)) => started_at.elapsed() >= wait / 2,
            Ok(Err(e)) => {
                log::debug!("failed to watch object {name}: {e}");
                false
            }
            Err(_) => false,
        };
        failures = if success { 0 } else { failures + 1 };
        if !success {
            sleep(backoff(node, WATCH_BACKOFF, failures)).await;
        }
    }
}
