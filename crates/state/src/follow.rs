//! Selects the source of the platform's objects: the platform itself or another host.
//!
//! A few hosts of each failure domain, the readers, read the platform, and the others follow
//! them. A host reads the platform itself if its readers don't answer or can't reach the platform.

use std::{future::Future, net::SocketAddr, time::Duration};

use futures::StreamExt as _;
use rand::Rng as _;
use rattanmast_model::{
    feed::{Publisher as _, Subscriber, Update},
    hash::Map,
    host::{self, Host},
    roster,
};
use tokio::{
    sync::{mpsc, watch},
    time::{self, Instant},
};

use crate::feed::Feed;

/// Time for which a reader is skipped after it did not answer or could not reach the platform.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the first query to a seed, and interval between queries, while nothing is known or
/// the platform does not answer.
const SEED_QUERY_INTERVAL: Duration = Duration::from_millis(700);

/// Time within which hosts that start together have registered.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a starting host without data waits for its readers, which may be starting too.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay between attempts to reach the readers during startup.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Delay after the first probe of the platform that failed.
const INITIAL_PROBE_BACKOFF: Duration = Duration::from_millis(250);

/// Upper bound of the delay between probes of the platform.
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(2);

/// Time for a list of hosts to take effect, after which another source may be preferred.
const ROSTER_APPLY_TIME: Duration = Duration::from_millis(100);

/// Direct access to the platform.
pub trait PlatformReader: Clone + Send + Sync + 'static {
    /// Reads the platform and sends updates to `sink` until the future is dropped.
    fn read(&self, sink: mpsc::Sender<Update>) -> impl Future<Output = ()> + Send;

    /// Reads only the list of hosts, which is cheap; returns `None` if the platform does not answer.
    fn hosts(&self) -> impl Future<Output = Option<Update>> + Send;
}

/// Follows the platform's objects from the preferred source that works.
pub struct Follower<D, P> {
    /// The name of this host.
    pub own_name: host::Name,
    /// The failure domain of this host.
    pub domain: host::Domain,
    /// The address at which other hosts can follow this one.
    pub own_addr: SocketAddr,
    /// Addresses of the hosts to query while nothing is known.
    pub seeds: Vec<SocketAddr>,
    /// Direct access to the platform.
    pub direct: D,
    /// Access to other hosts.
    pub peers: P,
    /// The roster as known so far.
    pub roster: watch::Receiver<Vec<Host>>,
    /// The objects known so far, for the hosts that follow this one.
    pub feed: Feed,
    /// Receives the updates.
    pub sink: mpsc::Sender<Update>,
}

/// Where a follower gets updates from: the platform itself or another host.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Source {
    Platform,
    Peer(host::Name, SocketAddr),
}

impl<D: PlatformReader, P: Subscriber> Follower<D, P> {
    /// Follows the best source until the receiver of the updates is dropped.
    pub async fn run(mut self) {
        let mut suspected_until: Map<host::Name, Instant> = Map::default();
        let mut has_data = false;
        self.load_roster().await;
        let startup_deadline = Instant::now() + STARTUP_TIMEOUT;
        while !self.sink.is_closed() {
            let source = self.choose_source(&suspected_until);
            let may_wait = !has_data && Instant::now() < startup_deadline && self.is_follower();
            match source {
                Source::Platform if may_wait => {
                    time::sleep(STARTUP_RETRY_DELAY).await;
                    suspected_until.clear();
                }
                Source::Platform => {
                    log::info!("event=source source=platform");
                    has_data |= self.read_platform(&suspected_until, has_data).await;
                }
                Source::Peer(name, addr) => {
                    log::info!("event=source source={name}");
                    if let Some(reason) = self
                        .follow_peer(addr, &suspected_until, &mut has_data)
                        .await
                    {
                        log::info!("event=source_lost host={name} why=\"{reason}\"");
                        suspected_until.insert(name, Instant::now() + SUSPICION_TIMEOUT);
                    }
                }
            }
        }
    }

    /// Returns whether this host prefers to follow another host, as all but the first reader of its
    /// failure domain do.
    fn is_follower(&self) -> bool {
        self.choose_source(&Map::default()) != Source::Platform
    }

    /// Returns whether this host is a reader of its failure domain, the first one or one that
    /// replaces it.
    fn is_reader(&self) -> bool {
        let hosts = self.roster.borrow();
        let readers = roster::readers(&hosts, &self.domain);
        // Before the roster is loaded, it contains this host at most.
        hosts.len() > 1 && readers.iter().any(|reader| reader.name == self.own_name)
    }

    /// Reads the list of hosts, so that only readers read other objects from the platform.
    ///
    /// Hosts that start together register at about the same time, so a host that finds no other
    /// host in its failure domain waits and reads the list once more.
    async fn load_roster(&mut self) {
        for pause in [Duration::ZERO, REGISTRATION_TIMEOUT] {
            time::sleep(pause).await;
            let Some(update) = self.direct.hosts().await else {
                return;
            };
            self.roster.mark_unchanged();
            if !self.apply(update).await {
                return;
            }
            // This times out if the list has not changed, for example if the host is alone.
            let _changed = time::timeout(REGISTRATION_TIMEOUT, self.roster.changed()).await;
            let hosts = self.roster.borrow();
            if hosts.iter().filter(|h| h.domain == self.domain).count() > 1 {
                return;
            }
        }
    }

    fn choose_source(&self, suspected_until: &Map<host::Name, Instant>) -> Source {
        let (hosts, now) = (self.roster.borrow(), Instant::now());
        for reader in roster::readers(&hosts, &self.domain) {
            let is_suspected = suspected_until
                .get(&reader.name)
                .is_some_and(|until| now < *until);
            if reader.name == self.own_name {
                return Source::Platform;
            }
            if !is_suspected {
                return Source::Peer(reader.name.clone(), reader.hop);
            }
        }
        Source::Platform
    }

    /// Reads the platform until another source is preferred; returns whether anything is known.
    async fn read_platform(
        &mut self,
        suspected_until: &Map<host::Name, Instant>,
        has_data: bool,
    ) -> bool {
        let (sender, mut updates) = mpsc::channel(8);
        let (direct, must_probe) = (self.direct.clone(), !self.is_reader());
        let mut reading = std::pin::pin!(async {
            // During an outage of the platform, and after it, only the readers read it; the others
            // ask now and then whether it answers them.
            if must_probe {
                probe(&direct, &sender).await;
            }
            direct.read(sender).await;
        });
        let mut has_data = has_data;
        let mut seeds = self.seeds.clone().into_iter().cycle();
        let mut next_query = Instant::now() + SEED_QUERY_INTERVAL;
        loop {
            let next_recheck = suspected_until
                .values()
                .copied()
                .filter(|at| *at > Instant::now())
                .min();
            tokio::select! {
                () = &mut reading => return has_data,
                Some(update) = updates.recv() => {
                    has_data |= !matches!(update, Update::PlatformReachable(_));
                    if !self.apply(update).await {
                        return has_data;
                    }
                }
                Ok(()) = self.roster.changed() => {
                    if self.choose_source(suspected_until) != Source::Platform {
                        return has_data;
                    }
                }
                () = sleep_until_some(next_recheck) => {
                    if self.choose_source(suspected_until) != Source::Platform {
                        return has_data;
                    }
                }
                () = time::sleep_until(next_query),
                    if !has_data || !self.feed.is_platform_reachable() => {
                    next_query = Instant::now() + SEED_QUERY_INTERVAL;
                    // If nothing is known, the host that last followed this one is queried first,
                    // because it may have data. Hosts with data keep querying seeds while the
                    // platform does not answer, which makes them known to seeds without data.
                    let follower = self.feed.take_follower().filter(|_| !has_data);
                    if let Some(addr) = follower.or_else(|| seeds.next()) {
                        has_data |= self.query_seed(addr, has_data).await;
                    }
                }
            }
        }
    }

    /// Queries the host at `seed`, and applies its current objects unless this host `has_data`.
    ///
    /// Returns whether any update was applied.
    async fn query_seed(&self, seed: SocketAddr, has_data: bool) -> bool {
        let Ok(mut updates) = self.peers.follow(seed, self.own_addr).await else {
            return false;
        };
        let mut received = false;
        while let Some(Ok(update)) = updates.next().await {
            // The first `PlatformReachable` update marks the end of the seed's current objects.
            if has_data
                || matches!(update, Update::PlatformReachable(_))
                || !self.apply(update).await
            {
                break;
            }
            received = true;
        }
        log::info!("event=seed_asked addr={seed} known={received}");
        received
    }

    /// Follows the host at `addr` until another source is preferred.
    ///
    /// Returns why the host can't be followed; `None` if another source is preferred or the
    /// receiver of the updates was dropped.
    async fn follow_peer(
        &mut self,
        addr: SocketAddr,
        suspected_until: &Map<host::Name, Instant>,
        has_data: &mut bool,
    ) -> Option<String> {
        let mut updates = match self.peers.follow(addr, self.own_addr).await {
            Ok(updates) => updates,
            Err(error) => return Some(error.to_string()),
        };
        loop {
            tokio::select! {
                update = updates.next() => {
                    let update = match update {
                        Some(Ok(update)) => update,
                        Some(Err(error)) => return Some(error.to_string()),
                        None => return Some("it ended the stream".to_owned()),
                    };
                    if update == Update::PlatformReachable(false) {
                        return Some("it does not reach the platform".to_owned());
                    }
                    *has_data |= !matches!(update, Update::PlatformReachable(_));
                    if !self.apply(update).await {
                        return None;
                    }
                }
                Ok(()) = self.roster.changed() => match self.choose_source(suspected_until) {
                    Source::Peer(_, best) if best == addr => {}
                    _ => return None,
                }
            }
        }
    }

    /// Applies an update and forwards the changes; returns whether the receiver still exists.
    async fn apply(&self, update: Update) -> bool {
        match self.feed.apply(update) {
            Some(changes) => self.sink.send(changes).await.is_ok(),
            None => !self.sink.is_closed(),
        }
    }
}

/// Reads the list of hosts until the platform answers, and reports whether it does.
async fn probe<D: PlatformReader>(direct: &D, sink: &mpsc::Sender<Update>) {
    let mut backoff = INITIAL_PROBE_BACKOFF;
    let hosts = loop {
        if let Some(hosts) = direct.hosts().await {
            break hosts;
        }
        if backoff == INITIAL_PROBE_BACKOFF {
            // The receiver is gone only if this future is dropped too.
            let _closed = sink.send(Update::PlatformReachable(false)).await;
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_PROBE_BACKOFF);
    };
    let _closed = sink.send(hosts).await;
    time::sleep(ROSTER_APPLY_TIME).await;
}

async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
