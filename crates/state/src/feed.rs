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
use rattanmast_model::feed::{Object, Publisher, Update};
use smol_str::SmolStr;
use tokio::sync::mpsc;

/// Maximum number of updates buffered for a slow follower; beyond that it is disconnected and has to
/// follow again.
const MAX_FOLLOWER_LAG: usize = 256;

/// Contents of objects by kind and name.
type Objects = BTreeMap<SmolStr, BTreeMap<SmolStr, Bytes>>;

#[derive(Debug, Default)]
struct Inner {
    objects_by_kind: Objects,
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

    /// Applies an update and sends the effective changes to the followers.
    ///
    /// Returns those changes, or `None` if there are none.
    pub fn apply(&self, mut update: Update) -> Option<Update> {
        let mut inner = self.lock();
        match &mut update {
            Update::PlatformReachable(reachable) => inner.platform_reachable = *reachable,
            Update::All { kind, objects } => {
                let objects = objects.iter();
                let objects = objects.map(|o| (o.name.clone(), o.content.clone()));
                inner
                    .objects_by_kind
                    .insert(kind.clone(), objects.collect());
            }
            Update::Changes { kind, put, deleted } => {
                let known = inner.objects_by_kind.entry(kind.clone()).or_default();
                put.retain(|o| known.get(&o.name) != Some(&o.content));
                known.extend(put.iter().map(|o| (o.name.clone(), o.content.clone())));
                deleted.retain(|name| known.remove(name).is_some());
                if put.is_empty() && deleted.is_empty() {
                    return None;
                }
            }
        }
        // A follower whose buffer is full is dropped, which ends its stream.
        inner
            .followers
            .retain(|f| f.try_send(update.clone()).is_ok());
        Some(update)
    }
}

impl Publisher for Feed {
    type Changes = Changes;

    fn set_follower_addr(&self, addr: SocketAddr) {
        self.lock().last_follower = Some(addr);
    }

    fn subscribe(&self) -> (Vec<Update>, Changes) {
        let mut inner = self.lock();
        let known = inner
            .objects_by_kind
            .iter()
            .map(|(kind, objects)| Update::All {
                kind: kind.clone(),
                objects: (objects.iter())
                    .map(|(name, content)| Object {
                        name: name.clone(),
                        content: content.clone(),
                    })
                    .collect(),
            });
        let known = known.collect();
        let (sender, receiver) = mpsc::channel(MAX_FOLLOWER_LAG);
        inner.followers.push(sender);
        (known, Changes(receiver))
    }

    fn is_platform_reachable(&self) -> bool {
        self.lock().platform_reachable
    }
}
