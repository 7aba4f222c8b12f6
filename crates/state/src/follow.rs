//! Selects the source of the platform's objects: the platform itself or another host.
//!
//! A few hosts of each failure domain, the readers, read the platform, and the others follow
//! them. A host reads the platform itself if its readers don't answer, can't reach the platform, or
//! don't keep the state current (see [`crate::staleness`]).

use std::{convert::Infallible, future::Future, net::SocketAddr, time::Duration};

use futures::StreamExt as _;
use rand::Rng as _;
use rattanmast_model::{
    feed::{Subscriber, Update},
    hash::Map,
    host::{self, Host},
    roster,
};
use tokio::{
    sync::{mpsc, watch},
    time::{self, Instant},
};

use crate::{feed::Feed, staleness::Limits};

/// Time for which a reader is skipped after it did not answer or did not keep the state current.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the first query to a seed, and interval between queries, while nothing is known or
/// the platform does not answer.
const SEED_QUERY_INTERVAL: Duration = Duration::from_millis(700);

/// Time within which a seed has to send what it knows.
const SEED_QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time within which hosts that start together have registered.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a starting host without data waits for its readers, which may be starting too.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay between attempts to reach the readers during startup.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time without an update after which a host without a state leaves the host that it follows.
const FIRST_STATE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay after the first probe of the platform that failed.
const INITIAL_PROBE_BACKOFF: Duration = Duration::from_millis(100);

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
    /// Limits on the age of the objects.
    pub limits: Limits,
    /// Receives the updates.
    pub sink: mpsc::Sender<Update>,
}

/// Where a follower gets updates from: the platform itself or another host.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Source {
    Platform,
    Peer(host::Name, SocketAddr),
}

/// The result of following another host.
type Result<T> = std::result::Result<T, End>;

/// Why another host is no longer followed.
enum End {
    /// Another source is preferred, or nothing receives the updates.
    Superseded,
    /// The host can't be followed, for this reason.
    Lost(String),
}

/// A running follower.
struct Task<D, P> {
    follower: Follower<D, P>,
    started: Instant,
    suspected_until: Map<host::Name, Instant>,
}

impl<D: PlatformReader, P: Subscriber> Follower<D, P> {
    /// Follows the best source until the receiver of the updates is dropped.
    pub async fn run(self) {
        let task = Task {
            follower: self,
            started: Instant::now(),
            suspected_until: Map::default(),
        };
        task.run().await;
    }

    /// Returns whether this host is a reader of its failure domain, the first one or one that
    /// replaces it.
    fn is_reader(&self) -> bool {
        let hosts = self.roster.borrow();
        let readers = roster::readers(&hosts, &self.domain);
        // Before the roster is loaded, it contains this host at most.
        hosts.len() > 1 && readers.iter().any(|reader| reader.name == self.own_name)
    }

    /// Returns the first reader that is not suspected, or the platform if that is this host or none.
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

    /// Returns whether this host prefers to follow another host, as all but the first reader of its
    /// failure domain do.
    fn is_follower(&self) -> bool {
        self.choose_source(&Map::default()) != Source::Platform
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

    /// Returns whether this host knows a whole state, however old.
    fn has_state(&self) -> bool {
        self.feed.current().is_some()
    }

    /// Returns when the state is so old that the platform has to be asked; `None` without a state.
    fn direct_time(&self) -> Option<Instant> {
        let current = self.feed.current()?;
        Some(current + self.limits.direct)
    }

    /// Returns the age at which this host leaves the host that it follows.
    fn max_age(&self) -> Duration {
        match self.is_reader() {
            true => self.limits.reader,
            false => self.limits.follower,
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

impl<D: PlatformReader, P: Subscriber> Task<D, P> {
    async fn run(mut self) {
        self.follower.load_roster().await;
        let startup_deadline = Instant::now() + STARTUP_TIMEOUT;
        while !self.follower.sink.is_closed() {
            let may_wait = !self.follower.has_state()
                && Instant::now() < startup_deadline
                && self.follower.is_follower();
            match self.choose_source() {
                Source::Platform if may_wait => {
                    time::sleep(STARTUP_RETRY_DELAY).await;
                    self.suspected_until.clear();
                }
                Source::Platform => {
                    log::info!("event=source source=platform");
                    self.read_platform().await;
                }
                Source::Peer(name, addr) => {
                    log::info!("event=source source={name}");
                    if let End::Lost(reason) = self.follow_peer(addr).await {
                        log::info!("event=source_lost host={name} why=\"{reason}\"");
                        let until = Instant::now() + SUSPICION_TIMEOUT;
                        self.suspected_until.insert(name, until);
                    }
                }
            }
        }
    }

    /// Returns the preferred source; the platform if the state is so old that it has to be asked.
    fn choose_source(&self) -> Source {
        match self.follower.direct_time() {
            Some(at) if at <= Instant::now() => Source::Platform,
            _ => self.follower.choose_source(&self.suspected_until),
        }
    }

    /// Reads the platform until another source is preferred.
    async fn read_platform(&self) {
        let (sender, updates) = mpsc::channel(8);
        let direct = &self.follower.direct;
        let reading = async {
            // During an outage of the platform, and after it, only the readers read it; the others
            // ask now and then whether it answers them.
            if !self.follower.is_reader() {
                probe(direct, self.follower.limits.call, &sender).await;
            }
            direct.read(sender).await;
        };
        tokio::select! {
            () = reading => {}
            () = self.apply_updates(updates) => {}
            () = self.watch_preference() => {}
            () = self.query_seeds() => {}
        }
    }

    /// Applies the platform's updates until another source is preferred, which is possible again once
    /// the state is current.
    async fn apply_updates(&self, mut updates: mpsc::Receiver<Update>) {
        while let Some(update) = updates.recv().await {
            let is_current = matches!(update, Update::Current(_));
            let has_receiver = self.follower.apply(update).await;
            if !has_receiver || (is_current && self.choose_source() != Source::Platform) {
                return;
            }
        }
    }

    /// Waits until a change of the roster or the end of a suspicion makes another source preferred.
    async fn watch_preference(&self) {
        let mut roster = self.follower.roster.clone();
        roster.mark_unchanged();
        while self.choose_source() == Source::Platform {
            let now = Instant::now();
            let ends = self.suspected_until.values().copied();
            let next_end = ends.filter(|end| *end > now).min();
            tokio::select! {
                Ok(()) = roster.changed() => {}
                () = sleep_until_some(next_end) => {}
            }
        }
    }

    /// Queries seeds while nothing is known or the platform does not answer.
    ///
    /// If nothing is known, the host that last followed this one is queried first, because it may
    /// have a state. Hosts with a state keep querying seeds while the platform does not answer, which
    /// makes them known to seeds without one.
    async fn query_seeds(&self) {
        let mut seeds = self.follower.seeds.iter().copied().cycle();
        loop {
            time::sleep(SEED_QUERY_INTERVAL).await;
            let feed = &self.follower.feed;
            if self.follower.has_state() && feed.is_platform_reachable() {
                continue;
            }
            let asker = feed.take_follower();
            let asker = asker.filter(|_| !self.follower.has_state());
            if let Some(addr) = asker.or_else(|| seeds.next()) {
                self.query_seed(addr).await;
            }
        }
    }

    /// Queries the host at `seed`, and takes over its state unless this host has one by then.
    async fn query_seed(&self, seed: SocketAddr) {
        let follower = &self.follower;
        let state = Feed::new();
        let query = async {
            let Ok(mut updates) = follower.peers.follow(seed, follower.own_addr).await else {
                return;
            };
            while let Some(Ok(update)) = updates.next().await {
                // `PlatformReachable` marks the end of the seed's current objects.
                let is_end = matches!(update, Update::PlatformReachable(_));
                if is_end || follower.has_state() {
                    return;
                }
                state.apply(update);
            }
        };
        // A seed that does not answer is asked again later.
        let _queried = time::timeout(SEED_QUERY_TIMEOUT, query).await;
        let is_useful = !follower.has_state() && follower.feed.is_covered_by(&state);
        let updates = match is_useful {
            true => state.state(),
            false => Vec::new(),
        };
        let known = !updates.is_empty();
        log::info!("event=seed_asked addr={seed} known={known}");
        for update in updates {
            if !follower.apply(update).await {
                return;
            }
        }
    }

    /// Follows the host at `addr`; returns why it is no longer followed.
    async fn follow_peer(&mut self, addr: SocketAddr) -> End {
        let joined = Instant::now();
        let follower = &self.follower;
        let subscribed = tokio::select! {
            subscribed = follower.peers.follow(addr, follower.own_addr) => subscribed,
            () = sleep_until_some(follower.direct_time()) => return self.describe_age(),
        };
        let mut updates = match subscribed {
            Ok(updates) => updates,
            Err(error) => return End::Lost(error.to_string()),
        };
        let Err(end) = self.follow_updates(&mut updates, addr, joined).await;
        end
    }

    /// Follows the updates of a host that was joined at `joined`, until there is a reason to leave it.
    async fn follow_updates(
        &mut self,
        updates: &mut P::Updates,
        addr: SocketAddr,
        joined: Instant,
    ) -> Result<Infallible> {
        if self.follower.has_state() {
            self.take_over(updates, addr, joined).await?;
        }
        loop {
            let leave_time = match self.follower.feed.current() {
                Some(current) => self.leave_time(joined, Some(current)),
                None => self.first_state_time(joined),
            };
            let update = self.next_update(updates, addr, leave_time).await?;
            self.take(update).await?;
        }
    }

    /// Takes over the state of another host once it has every change that the own state has.
    async fn take_over(
        &mut self,
        updates: &mut P::Updates,
        addr: SocketAddr,
        joined: Instant,
    ) -> Result<()> {
        let state = Feed::new();
        while !self.follower.feed.is_covered_by(&state) {
            let leave_time = self.leave_time(joined, state.current());
            state.apply(self.next_update(updates, addr, leave_time).await?);
        }
        for update in state.state() {
            self.take(update).await?;
        }
        match state.is_platform_reachable() {
            true => self.take(Update::PlatformReachable(true)).await,
            false => Ok(()),
        }
    }

    /// Returns when a host that was joined at `joined` and whose state is current as of `current` is
    /// left if that does not get newer.
    ///
    /// Such a host has some time to get a newer state itself, if there is time left.
    fn leave_time(&self, joined: Instant, current: Option<Instant>) -> Instant {
        let joining = joined + self.follower.limits.join;
        let stale = current.map(|at| at + self.follower.max_age());
        let leave_time = stale.map_or(joining, |stale| stale.max(joining));
        let direct = self.follower.direct_time();
        direct.map_or(leave_time, |direct| direct.min(leave_time))
    }

    /// Returns when a host that was joined at `joined` is left if nothing new comes from it, and this
    /// host has no state.
    fn first_state_time(&self, joined: Instant) -> Instant {
        let limits = self.follower.limits;
        let patient = Instant::now() + FIRST_STATE_TIMEOUT;
        patient.min((self.started + limits.direct).max(joined + limits.join))
    }

    /// Returns the next update of the host at `addr`, unless there is a reason to leave it, as there
    /// is at `leave_time`.
    async fn next_update(
        &mut self,
        updates: &mut P::Updates,
        addr: SocketAddr,
        leave_time: Instant,
    ) -> Result<Update> {
        loop {
            let update = tokio::select! {
                update = updates.next() => update,
                Ok(()) = self.follower.roster.changed() => match self.choose_source() {
                    Source::Peer(_, best) if best == addr => continue,
                    _ => return Err(End::Superseded),
                },
                () = time::sleep_until(leave_time) => return Err(self.describe_age()),
            };
            return match update {
                Some(Ok(Update::PlatformReachable(false))) => {
                    Err(End::Lost("it does not reach the platform".to_owned()))
                }
                Some(Ok(update)) => Ok(update),
                Some(Err(error)) => Err(End::Lost(error.to_string())),
                None => Err(End::Lost("it ended the stream".to_owned())),
            };
        }
    }

    /// Returns the end of following a host that does not keep the state current.
    fn describe_age(&self) -> End {
        let current = self.follower.feed.current();
        End::Lost(match current.map(|current| current.elapsed().as_millis()) {
            Some(age_ms) => format!("it did not keep the state current, which is {age_ms} ms old"),
            None => "it sends no state".to_owned(),
        })
    }

    /// Applies an update from another host.
    async fn take(&self, update: Update) -> Result<()> {
        match self.follower.apply(update).await {
            true => Ok(()),
            false => Err(End::Superseded),
        }
    }
}

/// Reads the list of hosts until the platform answers, and reports whether it does.
async fn probe<D: PlatformReader>(direct: &D, call_timeout: Duration, sink: &mpsc::Sender<Update>) {
    let mut call_timeout = call_timeout;
    let mut backoff = INITIAL_PROBE_BACKOFF;
    let hosts = loop {
        if let Ok(Some(hosts)) = time::timeout(call_timeout, direct.hosts()).await {
            break hosts;
        }
        if backoff == INITIAL_PROBE_BACKOFF {
            // The receiver is gone only if this future is dropped too.
            let _closed = sink.send(Update::PlatformReachable(false)).await;
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_PROBE_BACKOFF);
        // The platform may be slow.
        call_timeout *= 2;
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
