//! Change notifications for platform objects, which hosts relay to each other.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use futures::Stream;
use smol_str::SmolStr;

use crate::peer;

/// A platform object; its content is opaque to the code that relays it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The name, unique within its kind.
    pub name: SmolStr,
    /// The encoded content.
    pub content: Bytes,
}

/// A notification about the platform's objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The full list of the objects of a kind.
    All {
        /// The kind of the objects.
        kind: SmolStr,
        /// All objects of the kind.
        objects: Vec<Object>,
    },
    /// Objects that were created, changed or deleted.
    Changes {
        /// The kind of the objects.
        kind: SmolStr,
        /// The objects that were created or changed.
        put: Vec<Object>,
        /// The names of the objects that were deleted.
        deleted: Vec<SmolStr>,
    },
    /// Whether the sending host can reach the platform.
    PlatformReachable(bool),
}

impl Update {
    /// Builds an update from successive `changes` to objects of `kind`; `None` is a deletion.
    ///
    /// Only the last change of each object is kept, because an update has no order.
    pub fn changes(
        kind: SmolStr,
        changes: impl IntoIterator<Item = (SmolStr, Option<Bytes>)>,
    ) -> Self {
        let latest: BTreeMap<SmolStr, Option<Bytes>> = changes.into_iter().collect();
        let (mut put, mut deleted) = (Vec::new(), Vec::new());
        for (name, content) in latest {
            match content {
                Some(content) => put.push(Object { name, content }),
                None => deleted.push(name),
            }
        }
        Self::Changes { kind, put, deleted }
    }
}

/// A client that subscribes to the object feeds of other hosts.
pub trait Subscriber: Clone + Send + Sync + 'static {
    /// The stream of updates from a host.
    type Updates: Stream<Item = peer::Result<Update>> + Send + Unpin;

    /// Subscribes to the host at `addr`.
    ///
    /// The stream starts with all objects that the host has, then yields each change, with
    /// keep-alive updates in between. `own` tells the host at which address the follower
    /// serves its own feed.
    fn follow(
        &self,
        addr: SocketAddr,
        own: SocketAddr,
    ) -> impl Future<Output = peer::Result<Self::Updates>> + Send;
}

/// The object feed that a host serves to its followers.
pub trait Publisher: Clone + Send + Sync + 'static {
    /// The changes since the state that [`Publisher::subscribe`] returned with this stream.
    ///
    /// The stream ends if the subscriber fell behind and missed a change.
    type Changes: Stream<Item = Update> + Send + Unpin;

    /// Records the address at which a new follower serves its own feed.
    fn set_follower_addr(&self, addr: SocketAddr);
    /// Returns the current state and a stream of the changes after it.
    fn subscribe(&self) -> (Vec<Update>, Self::Changes);
    /// Returns whether this host can reach the platform.
    fn is_platform_reachable(&self) -> bool;
}
