//! The platform's objects as this host knows them, for itself and for those that follow it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::Stream;
use rattanmast_model::feed::{Object, Published, Update};
use smol_str::SmolStr;
use tokio::sync::mpsc;

/// Updates that a slow follower may lag behind; beyond them it has to follow anew.
const MAX_FOLLOWER_LAG: usize = 256;

type Objects = BTreeMap<SmolStr, BTreeMap<SmolStr, Bytes>>;

#[derive(Debug, Default)]
struct Inner {
    objects_by_kind: Objects,
    current: bool,
    followers: Vec<mpsc::Sender<Update>>,
    /// The host that followed last.
    last_follower: Option<SocketAddr>,
}

/// The objects, and who is told of changes; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    inner: Arc<Mutex<Inner>>,
}

/// Changes after a state.
#[derive(Debug)]
pub struct Changes(mpsc::Receiver<Update>);

impl Stream for Changes {
    type Item = Update;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Update>> {
        self.0.poll_recv(cx)
    }
}

impl Feed {
    /// Returns a feed that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the address of the host that followed last, if it was not taken before.
    pub fn take_follower(&self) -> Option<SocketAddr> {
        self.lock().last_follower.take()
    }

    /// Takes in what was learned, and tells the followers what is new; returns that.
    pub fn apply(&self, mut update: Update) -> Option<Update> {
        let mut inner = self.lock();
        match &mut update {
            Update::Current(current) => inner.current = *current,
            Update::All { kind, objects } => {
                let objects = objects.iter();
                let objects = objects.map(|o| (o.name.clone(), o.content.clone()));
                inner
                    .objects_by_kind
                    .insert(kind.clone(), objects.collect());
            }
            Update::Changes { kind, put, gone } => {
                let known = inner.objects_by_kind.entry(kind.clone()).or_default();
                put.retain(|o| known.get(&o.name) != Some(&o.content));
                known.extend(put.iter().map(|o| (o.name.clone(), o.content.clone())));
                gone.retain(|name| known.remove(name).is_some());
                if put.is_empty() && gone.is_empty() {
                    return None;
                }
            }
        }
        // One that does not keep up is dropped, which ends its stream.
        inner
            .followers
            .retain(|f| f.try_send(update.clone()).is_ok());
        Some(update)
    }
}

impl Published for Feed {
    type Changes = Changes;

    fn followed_by(&self, addr: SocketAddr) {
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

    fn is_current(&self) -> bool {
        self.lock().current
    }
}
