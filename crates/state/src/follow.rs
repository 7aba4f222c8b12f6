//! Who reads the platform: a few hosts of each failure domain, the others follow them.
//!
//! A host whose readers are silent, or do not reach the platform, reads it itself.

use std::{future::Future, net::SocketAddr, time::Duration};

use futures::StreamExt as _;
use rattanmast_model::{
    feed::{Followed, Published as _, Update},
    hash::Map,
    host::{self, Host},
    roster,
};
use tokio::{
    sync::{mpsc, watch},
    time::{self, Instant},
};

use crate::feed::Feed;

/// Time for which a reader that was silent, or does not reach the platform, is passed over.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without any knowledge after which the seeds are asked, and between two of them.
const SEED_INTERVAL: Duration = Duration::from_millis(700);

/// Time in which hosts that start together have entered.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a host that knows nothing waits for its readers: they may be starting too.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause between two tries to reach them meanwhile.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Reads the platform itself.
pub trait Direct: Clone + Send + Sync + 'static {
    /// Sends what it learns to `sink`, until the future is dropped.
    fn read(&self, sink: mpsc::Sender<Update>) -> impl Future<Output = ()> + Send;

    /// Reads only which hosts there are; `None` if the platform does not answer.
    fn hosts(&self) -> impl Future<Output = Option<Update>> + Send;
}

/// A host that follows the platform's objects by the cheapest way that works.
pub struct Follower<D, P> {
    /// The own host's name.
    pub me: host::Name,
    /// The own host's failure domain.
    pub domain: host::Domain,
    /// Where the own host can be followed.
    pub own: SocketAddr,
    /// Addresses of hosts to ask while nothing is known.
    pub seeds: Vec<SocketAddr>,
    /// Reads the platform.
    pub direct: D,
    /// Reaches other hosts.
    pub peers: P,
    /// The hosts, as they become known.
    pub roster: watch::Receiver<Vec<Host>>,
    /// What is known, for the hosts that follow this one.
    pub feed: Feed,
    /// Takes what is learned.
    pub sink: mpsc::Sender<Update>,
}

/// Where to learn from.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Source {
    Platform,
    Peer(host::Name, SocketAddr),
}

impl<D: Direct, P: Followed> Follower<D, P> {
    /// Follows until nobody takes the updates any more.
    pub async fn run(mut self) {
        let mut suspected_until: Map<host::Name, Instant> = Map::default();
        let mut known = false;
        self.load_roster().await;
        let startup_deadline = Instant::now() + STARTUP_TIMEOUT;
        while !self.sink.is_closed() {
            let source = self.choose_source(&suspected_until);
            let may_wait = !known && Instant::now() < startup_deadline && self.is_follower();
            match source {
                Source::Platform if may_wait => {
                    time::sleep(STARTUP_RETRY_DELAY).await;
                    suspected_until.clear();
                }
                Source::Platform => {
                    log::info!("event=source source=platform");
                    known |= self.read_platform(&suspected_until, known).await;
                }
                Source::Peer(name, addr) => {
                    log::info!("event=source source={name}");
                    if let Some(reason) = self.follow_peer(addr, &suspected_until, &mut known).await
                    {
                        log::info!("event=source_lost host={name} why=\"{reason}\"");
                        suspected_until.insert(name, Instant::now() + SUSPICION_TIMEOUT);
                    }
                }
            }
        }
    }

    /// Tells whether other hosts of the domain read the platform for this one.
    fn is_follower(&self) -> bool {
        self.choose_source(&Map::default()) != Source::Platform
    }

    /// Learns which hosts there are, so that only readers read more than that.
    ///
    /// Hosts that start together enter together; a host that sees no other waits for them once.
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
            // The list is the same if the host is alone; then there is nothing to wait for.
            let _unchanged = time::timeout(REGISTRATION_TIMEOUT, self.roster.changed()).await;
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
            if reader.name == self.me {
                return Source::Platform;
            }
            if !is_suspected {
                return Source::Peer(reader.name.clone(), reader.hop);
            }
        }
        Source::Platform
    }

    /// Reads the platform until another source is better; returns whether anything is known.
    async fn read_platform(
        &mut self,
        suspected_until: &Map<host::Name, Instant>,
        known: bool,
    ) -> bool {
        let (sender, mut updates) = mpsc::channel(8);
        let direct = self.direct.clone();
        let mut reading = std::pin::pin!(direct.read(sender));
        let mut known = known;
        let mut seeds = self.seeds.clone().into_iter().cycle();
        let mut next_query = Instant::now() + SEED_INTERVAL;
        loop {
            let next_recheck = suspected_until
                .values()
                .copied()
                .filter(|at| *at > Instant::now())
                .min();
            tokio::select! {
                () = &mut reading => return known,
                Some(update) = updates.recv() => {
                    known |= !matches!(update, Update::Current(_));
                    if !self.apply(update).await {
                        return known;
                    }
                }
                Ok(()) = self.roster.changed() => {
                    if self.choose_source(suspected_until) != Source::Platform {
                        return known;
                    }
                }
                () = sleep_until_some(next_recheck) => {
                    if self.choose_source(suspected_until) != Source::Platform {
                        return known;
                    }
                }
                () = time::sleep_until(next_query), if !known || !self.feed.is_current() => {
                    next_query = Instant::now() + SEED_INTERVAL;
                    // A seed that knows nothing may have been followed by a host that does, and
                    // follows it in turn: hosts that know go on asking while the platform is away.
                    let follower = self.feed.take_follower().filter(|_| !known);
                    if let Some(addr) = follower.or_else(|| seeds.next()) {
                        known |= self.query_seed(addr, known).await;
                    }
                }
            }
        }
    }

    /// Takes what the host at `seed` knows at the moment, unless enough is `known`.
    ///
    /// Returns whether that host knows anything.
    async fn query_seed(&self, seed: SocketAddr, already_known: bool) -> bool {
        let Ok(mut updates) = self.peers.follow(seed, self.own).await else {
            return false;
        };
        let mut known = false;
        while let Some(Ok(update)) = updates.next().await {
            // The first sign of life follows all that is known.
            if already_known || matches!(update, Update::Current(_)) || !self.apply(update).await {
                break;
            }
            known = true;
        }
        log::info!("event=seed_asked addr={seed} known={known}");
        known
    }

    /// Follows the host at `addr` until another source is better, or returns what failed.
    async fn follow_peer(
        &mut self,
        addr: SocketAddr,
        suspected_until: &Map<host::Name, Instant>,
        known: &mut bool,
    ) -> Option<String> {
        let mut updates = match self.peers.follow(addr, self.own).await {
            Ok(updates) => updates,
            Err(error) => return Some(error.to_string()),
        };
        loop {
            tokio::select! {
                update = updates.next() => {
                    let update = match update {
                        Some(Ok(update)) => update,
                        Some(Err(error)) => return Some(error.to_string()),
                        None => return Some("it ended".to_owned()),
                    };
                    if update == Update::Current(false) {
                        return Some("it does not reach the platform".to_owned());
                    }
                    *known |= !matches!(update, Update::Current(_));
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

    /// Takes in an update; returns whether anybody still takes what is new in it.
    async fn apply(&self, update: Update) -> bool {
        match self.feed.apply(update) {
            Some(changes) => self.sink.send(changes).await.is_ok(),
            None => !self.sink.is_closed(),
        }
    }
}

async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
