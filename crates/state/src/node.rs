//! What one host knows, and its answers to other hosts.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rattanmast_model::{
    exchange::{Exchange, Handler, Message, Reply},
    host::{Host, Incarnation, Name},
    leaf,
    store::Store,
};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use crate::{
    gossip::{self, Work},
    proof::Proof,
    settings::Settings,
    state::State,
    status::Status,
    view::View,
    watcher,
};

/// Pieces of work that wait, at most; what does not fit is made up for by later exchanges.
const MAX_QUEUED_WORK: usize = 64;

/// One host's part in propagating the state; cheap to clone.
#[derive(Debug)]
pub struct Node<S, X> {
    pub(crate) shared: Arc<Shared<S, X>>,
}

impl<S, X> Clone for Node<S, X> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

#[derive(Debug)]
pub(crate) struct Shared<S, X> {
    pub me: Host,
    pub store: S,
    pub exchange: X,
    pub settings: Settings,
    pub work: mpsc::Sender<Work>,
    state: Mutex<State>,
    view: watch::Sender<Arc<View>>,
    publish_lock: Mutex<()>,
    work_receiver: Mutex<Option<mpsc::Receiver<Work>>>,
}

impl<S: Store, X: Exchange> Node<S, X> {
    /// Returns the node of the process run `incarnation` of `me`; it does nothing before
    /// [`Node::run`] but answer.
    pub fn new(
        me: Host,
        incarnation: Incarnation,
        store: S,
        exchange: X,
        settings: Settings,
        seed: u64,
    ) -> Self {
        let state = State::new(&me, incarnation, seed, Instant::now());
        let (work, work_receiver) = mpsc::channel(MAX_QUEUED_WORK);
        let (view, _) = watch::channel(Arc::default());
        Self {
            shared: Arc::new(Shared {
                me,
                store,
                exchange,
                settings,
                work,
                state: Mutex::new(state),
                view,
                publish_lock: Mutex::new(()),
                work_receiver: Mutex::new(Some(work_receiver)),
            }),
        }
    }

    /// Returns what this host knows, now and whenever it changes.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.shared.view.subscribe()
    }

    /// Returns what can be proven about the configuration now.
    pub fn proof(&self) -> Proof {
        self.lock().ledger.proof(Instant::now())
    }

    /// Runs all controllers until `stop`.
    pub async fn run(&self, stop: CancellationToken) {
        let work_receiver = self.shared.work_receiver.lock();
        let work_receiver = work_receiver.unwrap_or_else(PoisonError::into_inner).take();
        let Some(work_receiver) = work_receiver else {
            log::error!("controllers for state are running already; start them once");
            return;
        };
        let controllers = async {
            tokio::join!(
                gossip::run_work(self, work_receiver),
                gossip::run_exchanges(self),
                watcher::poll_version(self),
                watcher::run_watches(self),
            );
        };
        tokio::select! {
            biased;
            () = stop.cancelled() => {}
            () = controllers => {}
        }
    }

    /// Answers a message of another host.
    pub async fn handle(&self, message: Message) -> Reply {
        let now = Instant::now();
        match message {
            Message::Exchange(digest) => {
                let mut state = self.lock();
                let changed = state.merge_gossip(&digest, now);
                let mut fetch = state.table.fetch_newer(&digest.objects);
                let config = [(crate::record::CURRENT.into(), digest.object)];
                if !fetch.wants.iter().any(|(n, _)| n == crate::record::CURRENT) {
                    fetch.wants.extend(state.table.fetch_newer(&config).wants);
                }
                let sender_addr = state.addrs.get(&digest.host).copied();
                let differs = digest.summary != state.table.summary();
                let reply = state.digest(Some(&digest.host), now, true, differs);
                drop(state);
                if let Some(addr) = sender_addr.filter(|_| !fetch.wants.is_empty()) {
                    self.queue_work(Work::Pull(addr, fetch));
                }
                self.push_if(changed);
                Reply::Digest(reply)
            }
            Message::Fetch(fetch) => Reply::Updates(self.lock().table.updates(&fetch)),
            Message::Leave(rumor) => {
                let changed = self.lock().members.merge_rumor(&rumor, now);
                self.push_if(changed);
                Reply::Noted
            }
        }
    }

    /// Tells whether a host is believed to be alive and not leaving.
    pub fn usable(&self, host: &Name) -> bool {
        self.lock().members.usable(host)
    }

    /// Returns the process run of a host; one that was not heard of is asked at the next exchange.
    pub fn incarnation(&self, host: &Name) -> Option<Incarnation> {
        let mut state = self.lock();
        let known = state.members.incarnation(host);
        if known.is_none() {
            state.request_incarnation(host);
        }
        known
    }

    /// Notes that a host answered a call of another kind.
    pub fn answered(&self, host: &Name, incarnation: Incarnation) {
        let now = Instant::now();
        self.lock().members.record_answer(host, incarnation, now);
    }

    /// Notes that a call of another kind to a host failed.
    pub fn failed(&self, host: &Name) {
        let changed = self.lock().members.record_failure(host);
        self.push_if(changed);
    }

    /// Tells other hosts that this one is stopping.
    pub async fn leave(&self) {
        let rumor = self.lock().members.leave();
        gossip::send_leave_notices(self, rumor).await;
    }

    /// Returns the leafs that peers or this host heard to be leaving.
    pub fn leaving_leafs(&self) -> Vec<leaf::Name> {
        self.lock().drains.list(Instant::now())
    }

    /// Notes that leafs said that they are leaving, and tells the peers.
    pub fn heard_leaving<'a>(&self, leafs: impl IntoIterator<Item = &'a leaf::Name>) {
        let now = Instant::now();
        let mut changed = false;
        let mut state = self.lock();
        for leaf in leafs {
            changed |= state.drains.record(leaf, now, now);
        }
        drop(state);
        self.push_if(changed);
    }

    /// Returns what this host has and believes.
    pub fn status(&self) -> Status {
        let now = Instant::now();
        let state = self.lock();
        let proof = state.ledger.proof(now);
        let version = state.config().version;
        let heard = state.members.heard_versions();
        let behind = heard.iter().filter(|(_, v)| *v < version);
        Status {
            host: state.me.clone(),
            incarnation: state.incarnation,
            version,
            serving: proof.serving(),
            proof_age_ms: proof
                .age
                .map(|a| u64::try_from(a.as_millis()).unwrap_or(u64::MAX)),
            source: proof.source,
            watcher: state.is_watcher(),
            platform_down: state.platform_down && state.is_watcher(),
            watchers: state.position.watchers.clone(),
            behind: behind.map(|(n, _)| n.clone()).collect(),
            heard,
            unusable: state.members.unusable(),
            leaving_leafs: state.drains.list(now),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        // Every change leaves the state whole, so a panic elsewhere does not spoil it.
        let lock = self.shared.state.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    /// Shows what is known now to those who look at [`Node::view`].
    pub(crate) fn publish(&self) {
        // Without this lock, a thread that took an older view could replace a newer one. It is
        // not the state's lock, which readers may take while they borrow the view.
        let publish_guard = self.shared.publish_lock.lock();
        let publish_guard = publish_guard.unwrap_or_else(PoisonError::into_inner);
        let view = Arc::new(self.lock().table.view().clone());
        self.shared.view.send_replace(view);
        drop(publish_guard);
    }

    pub(crate) fn queue_work(&self, work: Work) {
        // A full queue loses nothing for good: the next exchange finds the difference again.
        self.shared.work.try_send(work).ok();
    }

    pub(crate) fn push_if(&self, changed: bool) {
        if changed {
            self.queue_work(Work::Push);
        }
    }
}

impl<S: Store, X: Exchange> Handler for Node<S, X> {
    async fn handle(&self, message: Message) -> Reply {
        Self::handle(self, message).await
    }
}
