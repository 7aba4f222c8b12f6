//! The state of one host, and its replies to other hosts.

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

/// Maximum number of queued work items; later exchanges make up for items that are dropped.
const MAX_QUEUED_WORK: usize = 64;

/// A participant in the propagation of state; cheap to clone.
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
    /// Creates the node for `incarnation` of the host `me`.
    ///
    /// Until [`Node::run`] is called, it only replies to messages.
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

    /// Subscribes to the state that this host knows.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.shared.view.subscribe()
    }

    /// Returns the current proof that the configuration is in force.
    pub fn proof(&self) -> Proof {
        self.lock().ledger.proof(Instant::now())
    }

    /// Runs all controllers until `stop` is cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        let work_receiver = self.shared.work_receiver.lock();
        let work_receiver = work_receiver.unwrap_or_else(PoisonError::into_inner).take();
        let Some(work_receiver) = work_receiver else {
            log::error!("state controllers are already running; call Node::run only once");
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

    /// Handles a message from another host and returns the reply.
    pub async fn handle(&self, message: Message) -> Reply {
        let now = Instant::now();
        match message {
            Message::Exchange(digest) => {
                let mut state = self.lock();
                let changed = state.merge_gossip(&digest, now);
                let mut fetch = state.table.fetch_newer(&digest.objects);
                let config = [(crate::record::CURRENT_CONFIG.into(), digest.object)];
                if !fetch
                    .wants
                    .iter()
                    .any(|(n, _)| n == crate::record::CURRENT_CONFIG)
                {
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

    /// Returns whether a host is considered alive and is not leaving.
    pub fn is_usable(&self, host: &Name) -> bool {
        self.lock().members.usable(host)
    }

    /// Returns the incarnation of a host.
    ///
    /// If it is unknown, the host is queried in the next exchange round.
    pub fn incarnation(&self, host: &Name) -> Option<Incarnation> {
        let mut state = self.lock();
        let known = state.members.incarnation(host);
        if known.is_none() {
            state.request_incarnation(host);
        }
        known
    }

    /// Records that a host replied to a call other than an exchange.
    pub fn record_answer(&self, host: &Name, incarnation: Incarnation) {
        let now = Instant::now();
        self.lock().members.record_answer(host, incarnation, now);
    }

    /// Records that a call to a host failed.
    pub fn record_failure(&self, host: &Name) {
        let changed = self.lock().members.record_failure(host);
        self.push_if(changed);
    }

    /// Notifies other hosts that this one is stopping.
    pub async fn leave(&self) {
        let rumor = self.lock().members.leave();
        gossip::send_leave_notices(self, rumor).await;
    }

    /// Returns the leafs that announced to this host or a peer that they are leaving.
    pub fn leaving_leafs(&self) -> Vec<leaf::Name> {
        self.lock().leaving_leafs.list(Instant::now())
    }

    /// Records that leafs announced that they are leaving, and notifies the peers.
    pub fn announce_leaving<'a>(&self, leafs: impl IntoIterator<Item = &'a leaf::Name>) {
        let now = Instant::now();
        let mut changed = false;
        let mut state = self.lock();
        for leaf in leafs {
            changed |= state.leaving_leafs.record(leaf, now, now);
        }
        drop(state);
        self.push_if(changed);
    }

    /// Returns the status that is reported to operators.
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
            leaving_leafs: state.leaving_leafs.list(now),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        // Every change leaves the state consistent, so a poisoned lock can still be used.
        let lock = self.shared.state.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes the current state to the subscribers of [`Node::view`].
    pub(crate) fn publish(&self) {
        // Without this lock, a thread with an older view could overwrite a newer one. The state
        // lock can't serve here, because readers may acquire it while they borrow the view.
        let publish_guard = self.shared.publish_lock.lock();
        let publish_guard = publish_guard.unwrap_or_else(PoisonError::into_inner);
        let view = Arc::new(self.lock().table.view().clone());
        self.shared.view.send_replace(view);
        drop(publish_guard);
    }

    pub(crate) fn queue_work(&self, work: Work) {
        // Dropping work from a full queue is safe: the next exchange detects the difference again.
        self.shared.work.try_send(work).ok();
    }

    /// Queues a push to random peers if the state `changed`.
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
