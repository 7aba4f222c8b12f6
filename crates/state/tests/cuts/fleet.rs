//! Hosts that read the store or follow each other, and what they know.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::{Stream, StreamExt as _, stream};
use rattanmast_model::{
    feed::{Origin as _, Publisher as _, Subscriber, Update},
    host::Host,
    peer,
};
use rattanmast_state::{feed::Feed, follow::Follower, reader::Reader, staleness::Limits};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use super::origin::{Access, Cut, Link, Store, number};

/// Time by which each host must have a change, and how long a host and its link must have worked.
pub const BOUND: Duration = Duration::from_secs(3);
pub const STABLE_TIME: Duration = Duration::from_secs(5);

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Latency between hosts of a failure domain, one way.
const LATENCY: Duration = Duration::from_millis(1);
/// Time after which a follower gives up on a host that does not reply, and on a stream that is cut.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_millis(500);
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// What one host knows: the numbers of the configuration and of the leafs.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    config: u64,
    leafs: u64,
}

/// A host of the fleet.
#[derive(Clone)]
pub struct Member {
    pub host: Host,
    feed: Feed,
    pub store: Link,
    /// Whether other hosts and this one can't reach each other.
    pub cut_off: watch::Sender<bool>,
    known: Arc<Mutex<Known>>,
    /// Descriptions of returns to an older state.
    reversions: Arc<Mutex<Vec<String>>>,
}

/// The hosts of a fleet, and the store that they read.
#[derive(Clone)]
pub struct Fleet {
    pub store: Store,
    pub members: Arc<Vec<Member>>,
    started: Instant,
    /// The tasks of the hosts, which end with the fleet.
    _tasks: Arc<JoinSet<()>>,
}

/// The other hosts as one host reaches them.
#[derive(Clone)]
struct Peers {
    own: usize,
    members: Arc<Vec<Member>>,
}

type Updates = Pin<Box<dyn Stream<Item = peer::Result<Update>> + Send>>;

impl Subscriber for Peers {
    type Updates = Updates;

    async fn follow(&self, addr: SocketAddr, _own: SocketAddr) -> peer::Result<Updates> {
        let source = self.members.iter().find(|member| member.host.hop == addr);
        let Some(source) = source.cloned() else {
            return Err(broken());
        };
        let own = self.members[self.own].clone();
        let reached = async {
            sleep(LATENCY).await;
            pass(&own, &source).await;
            sleep(LATENCY).await;
        };
        timeout(SUBSCRIBE_TIMEOUT, reached)
            .await
            .map_err(|_| broken())?;
        let (initial, changes) = source.feed.subscribe();
        let updates = stream::iter(initial).chain(changes).then(move |update| {
            let (own, source) = (own.clone(), source.clone());
            async move {
                let passed = timeout(KEEPALIVE_TIMEOUT, pass(&own, &source));
                passed.await.map(|()| update).map_err(|_| broken())
            }
        });
        Ok(Box::pin(updates))
    }
}

fn broken() -> peer::Error {
    peer::Error::Broken {
        host: "peer".into(),
        why: "cut off".into(),
    }
}

/// Waits until neither of two hosts is cut off from the others.
async fn pass(one: &Member, other: &Member) {
    for member in [one, other] {
        let mut cut_off = member.cut_off.subscribe();
        // The member holds the sender.
        let _healed = cut_off.wait_for(|cut_off| !*cut_off).await;
    }
}

impl Fleet {
    /// Starts `count` hosts in each of `domains` failure domains.
    pub fn start(domains: usize, count: usize) -> Self {
        let store = Store::new();
        store.advance(Access::CONFIG);
        store.advance(Access::LEAFS);
        let hosts: Vec<Host> = (0..domains * count).map(|n| host(n, n / count)).collect();
        let member = |host: &Host| Member {
            host: host.clone(),
            feed: Feed::new(),
            store: Link::new(),
            cut_off: watch::Sender::new(false),
            known: Arc::default(),
            reversions: Arc::default(),
        };
        let members: Arc<Vec<Member>> = Arc::new(hosts.iter().map(member).collect());
        let mut tasks = JoinSet::new();
        for own in 0..members.len() {
            start_member(&mut tasks, &store, &members, own, &hosts);
        }
        Self {
            store,
            members,
            started: Instant::now(),
            _tasks: Arc::new(tasks),
        }
    }

    /// Returns the descriptions of returns to an older state.
    pub fn reversions(&self) -> Vec<String> {
        let members = self.members.iter();
        members
            .flat_map(|member| member.reversions.lock().unwrap().clone())
            .collect()
    }

    /// Returns descriptions of changes that are not in force in time, in `time` from now on.
    pub async fn watch_for_late_changes(&self, time: Duration) -> Vec<String> {
        let (end, mut late) = (Instant::now() + time, Vec::new());
        while Instant::now() < end {
            sleep(CHECK_INTERVAL).await;
            if self.started.elapsed() >= STABLE_TIME {
                late.extend(self.members.iter().filter_map(|m| self.lateness(m)));
            }
        }
        late
    }

    /// Describes what a host lacks, if the store and its link to it have worked and the bound is over.
    fn lateness(&self, member: &Member) -> Option<String> {
        if !member.store.has_worked_for(STABLE_TIME) || !self.store.is_stable_for(STABLE_TIME) {
            return None;
        }
        let at = self.started.elapsed();
        let due = Instant::now() - BOUND;
        let known = *member.known.lock().unwrap();
        let behind = [(Access::CONFIG, known.config), (Access::LEAFS, known.leafs)]
            .into_iter()
            .find(|(kind, known)| *known < self.store.newest_at(kind, due));
        let (kind, known) = behind?;
        let newest = self.store.newest_at(kind, due);
        let host = &member.host.name;
        Some(format!(
            "{at:?}: {host} has {kind} {known}, {newest} is due"
        ))
    }

    /// Returns the readers of a failure domain, the preferred one first.
    pub fn readers(&self, domain: &str) -> Vec<&Member> {
        let hosts: Vec<Host> = self.members.iter().map(|m| m.host.clone()).collect();
        let readers = rattanmast_model::roster::readers(&hosts, domain);
        let member = |reader: &&Host| self.members.iter().find(|m| m.host.name == reader.name);
        readers.iter().filter_map(member).collect()
    }

    /// Cuts the links of some hosts to the store for a while.
    pub async fn cut_store(&self, members: &[usize], cut: Cut, time: Duration) {
        members.iter().for_each(|m| self.members[*m].store.set(cut));
        sleep(time).await;
        members
            .iter()
            .for_each(|m| self.members[*m].store.set(Cut::None));
    }
}

fn start_member(
    tasks: &mut JoinSet<()>,
    store: &Store,
    members: &Arc<Vec<Member>>,
    own: usize,
    hosts: &[Host],
) {
    let member = &members[own];
    let (sink, updates) = mpsc::channel(64);
    let (roster, roster_rx) = watch::channel(hosts.to_vec());
    let follower = Follower {
        own_name: member.host.name.clone(),
        domain: member.host.domain.clone(),
        own_addr: member.host.hop,
        seeds: Vec::new(),
        direct: Reader {
            origin: Access {
                store: store.clone(),
                link: member.store.clone(),
            },
            limits: Limits::new(BOUND),
        },
        peers: Peers {
            own,
            members: Arc::clone(members),
        },
        roster: roster_rx,
        feed: member.feed.clone(),
        limits: Limits::new(BOUND),
        sink,
    };
    tasks.spawn(follower.run());
    tasks.spawn(apply(member.clone(), updates, roster));
}

/// Applies a host's updates; the roster stays as it is.
async fn apply(
    member: Member,
    mut updates: mpsc::Receiver<Update>,
    _roster: watch::Sender<Vec<Host>>,
) {
    while let Some(update) = updates.recv().await {
        let (kind, objects) = match update {
            Update::All { kind, objects, .. } => (kind, objects),
            Update::Changes { kind, put, .. } => (kind, put),
            Update::PlatformReachable(_) | Update::Current(_) => continue,
        };
        let Some(number) = objects.first().map(number) else {
            continue;
        };
        let mut known = member.known.lock().unwrap();
        match kind.as_str() {
            Access::CONFIG => known.config = known.config.max(number),
            Access::LEAFS => {
                if number < known.leafs {
                    let (name, before) = (&member.host.name, known.leafs);
                    let what = format!("{name} went back from leafs {before} to {number}");
                    member.reversions.lock().unwrap().push(what);
                }
                known.leafs = number;
            }
            _ => {}
        }
    }
}

fn host(number: usize, domain: usize) -> Host {
    let addr = SocketAddr::from(([127, 0, 0, 1], u16::try_from(1 + number).unwrap()));
    Host {
        name: format!("h{number}").into(),
        domain: format!("d{domain}").into(),
        http: addr,
        hop: addr,
        exchange: addr,
        link_mbps: 0,
        cpu_millis: 0,
    }
}
