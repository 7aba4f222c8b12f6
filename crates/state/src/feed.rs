//! The platform's objects as this host knows them, published to the hosts that follow it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::Stream;
use rattanmast_model::feed::{Object, Publisher, Revision, Update};
use smol_str::SmolStr;
use tokio::{sync::mpsc, time::Instant};

/// Maximum number of updates buffered for a slow follower; beyond that it is disconnected and has to
/// follow again.
const MAX_FOLLOWER_LAG: usize = 256;

/// The objects of one kind.
#[derive(Debug, Default)]
struct Objects {
    /// Contents by name.
    contents: BTreeMap<SmolStr, Bytes>,
    /// The revision that the contents are complete up to.
    complete: Revision,
    /// The revision with which the contents changed last, or a later one.
    changed: Revision,
    /// Whether changes of the kind are watched.
    watched: bool,
}

#[derive(Debug, Default)]
struct Inner {
    objects_by_kind: BTreeMap<SmolStr, Objects>,
    /// The time as of which the objects are known to be the platform's.
    current: Option<Instant>,
    platform_reachable: bool,
    followers: Vec<mpsc::Sender<Update>>,
    /// The address of the latest host to follow this one.
    last_follower: Option<SocketAddr>,
}

/// The objects and the followers that receive changes; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    inner: Arc<Mutex<Inner>>,
}

/// A stream of the changes after a subscription.
#[derive(Debug)]
pub struct Changes(mpsc::Receiver<Update>);

impl Stream for Changes {
    type Item = Update;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Update>> {
        self.0.poll_recv(cx)
    }
}

impl Feed {
    /// Creates an empty feed.
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the address of the latest follower; returns `None` if it was already taken.
    pub fn take_follower(&self) -> Option<SocketAddr> {
        self.lock().last_follower.take()
    }

    /// Returns the time as of which the objects are known to be the platform's.
    pub fn current(&self) -> Option<Instant> {
        self.lock().current
    }

    /// Returns all objects, and the time as of which they are current.
    pub fn state(&self) -> Vec<Update> {
        self.lock().state()
    }

    /// Returns whether `other` has every change of watched kinds that this feed has.
    pub fn is_covered_by(&self, other: &Self) -> bool {
        let other = other.lock();
        let is_covered = |(kind, known): (&SmolStr, &Objects)| {
            let complete = other.objects_by_kind.get(kind).map(|o| o.complete);
            !known.watched || complete.is_some_and(|complete| known.changed <= complete)
        };
        self.lock().objects_by_kind.iter().all(is_covered)
    }

    /// Returns whether this host can reach the platform.
    pub fn is_platform_reachable(&self) -> bool {
        self.lock().platform_reachable
    }

    /// Applies an update and sends the effective changes to the followers.
    ///
    /// Returns those changes, or `None` if there are none.
    pub fn apply(&self, update: Update) -> Option<Update> {
        let mut inner = self.lock();
        let update = inner.merge(update)?;
        // A follower whose buffer is full is dropped, which ends its stream.
        inner
            .followers
            .retain(|f| f.try_send(update.clone()).is_ok());
        Some(update)
    }
}

impl Inner {
    /// Applies an update; returns its effective changes, or `None` if there are none.
    fn merge(&mut self, update: Update) -> Option<Update> {
        match update {
            Update::PlatformReachable(reachable) => self.platform_reachable = reachable,
            Update::Current(at) if self.current >= Some(at) => return None,
            Update::Current(at) => self.current = Some(at),
            Update::All { .. } => return self.merge_list(update),
            Update::Changes { .. } => return self.merge_changes(update),
        }
        Some(update)
    }

    /// Replaces the objects of a kind unless the list is older than they are.
    fn merge_list(&mut self, update: Update) -> Option<Update> {
        let Update::All {
            kind,
            objects,
            revision,
            watched,
        } = &update
        else {
            return None;
        };
        let listed = objects.iter();
        let contents = listed.map(|o| (o.name.clone(), o.content.clone()));
        let contents: BTreeMap<SmolStr, Bytes> = contents.collect();
        match self.objects_by_kind.get_mut(kind) {
            // Sources differ in how old their lists are.
            Some(known) if *revision < known.complete => {
                let known = known.complete;
                log::info!("event=list_ignored kind={kind} revision={revision} known={known}");
                return None;
            }
            // Followers have to learn of a new history even if nothing else has changed.
            Some(known) if known.contents == contents => {
                let before = std::mem::replace(&mut known.complete, *revision);
                return (before.epoch < revision.epoch).then(|| Update::Changes {
                    kind: kind.clone(),
                    put: Vec::new(),
                    deleted: Vec::new(),
                    revision: *revision,
                });
            }
            Some(_) | None => {}
        }
        let listed = Objects {
            contents,
            complete: *revision,
            changed: *revision,
            watched: *watched,
        };
        self.objects_by_kind.insert(kind.clone(), listed);
        Some(update)
    }

    /// Applies changes, and drops those from the update that are known.
    fn merge_changes(&mut self, mut update: Update) -> Option<Update> {
        let Update::Changes {
            kind,
            put,
            deleted,
            revision,
        } = &mut update
        else {
            return None;
        };
        let known = self.objects_by_kind.entry(kind.clone()).or_default();
        let before = std::mem::replace(&mut known.complete, *revision);
        known.watched = true;
        let contents = &mut known.contents;
        put.retain(|o| contents.get(&o.name) != Some(&o.content));
        contents.extend(put.iter().map(|o| (o.name.clone(), o.content.clone())));
        deleted.retain(|name| contents.remove(name).is_some());
        let is_changed = !put.is_empty() || !deleted.is_empty();
        if is_changed {
            known.changed = *revision;
        }
        (is_changed || before.epoch < revision.epoch).then_some(update)
    }
}

impl Inner {
    /// Returns all objects, and the time as of which they are current.
    fn state(&self) -> Vec<Update> {
        let all = |(kind, known): (&SmolStr, &Objects)| Update::All {
            kind: kind.clone(),
            objects: (known.contents.iter())
                .map(|(name, content)| Object {
                    name: name.clone(),
                    content: content.clone(),
                })
                .collect(),
            revision: known.complete,
            watched: known.watched,
        };
        let objects = self.objects_by_kind.iter().map(all);
        objects.chain(self.current.map(Update::Current)).collect()
    }
}

impl Publisher for Feed {
    type Changes = Changes;

    fn set_follower_addr(&self, addr: SocketAddr) {
        self.lock().last_follower = Some(addr);
    }

    fn subscribe(&self) -> (Vec<Update>, Changes) {
        let mut inner = self.lock();
        let mut state = inner.state();
        state.push(Update::PlatformReachable(inner.platform_reachable));
        let (sender, receiver) = mpsc::channel(MAX_FOLLOWER_LAG);
        inner.followers.push(sender);
        (state, Changes(receiver))
    }
}
