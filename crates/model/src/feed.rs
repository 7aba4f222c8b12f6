//! News of the platform's objects, as hosts pass them on to each other.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use futures::Stream;
use smol_str::SmolStr;

use crate::peer;

/// An object whose content the product does not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its name within its kind.
    pub name: SmolStr,
    /// Its content.
    pub content: Bytes,
}

/// What was learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// All objects of a kind.
    All {
        /// The kind.
        kind: SmolStr,
        /// The objects.
        objects: Vec<Object>,
    },
    /// Objects that were created, changed or deleted.
    Changes {
        /// The kind.
        kind: SmolStr,
        /// The objects that were created or changed.
        put: Vec<Object>,
        /// The names of the objects that were deleted.
        gone: Vec<SmolStr>,
    },
    /// Whether the platform answers the host that says so.
    Current(bool),
}

impl Update {
    /// Returns the changes of `kind` that follow each other in `changes`; `None` is a deletion.
    ///
    /// Only the last change of each object counts, since an update has no order.
    pub fn changes(
        kind: SmolStr,
        changes: impl IntoIterator<Item = (SmolStr, Option<Bytes>)>,
    ) -> Self {
        let latest: BTreeMap<SmolStr, Option<Bytes>> = changes.into_iter().collect();
        let (mut put, mut gone) = (Vec::new(), Vec::new());
        for (name, content) in latest {
            match content {
                Some(content) => put.push(Object { name, content }),
                None => gone.push(name),
            }
        }
        Self::Changes { kind, put, gone }
    }
}

/// Follows what other hosts know.
pub trait Followed: Clone + Send + Sync + 'static {
    /// What a host learns.
    type Updates: Stream<Item = peer::Result<Update>> + Send + Unpin;

    /// Follows the host at `addr`: all that it knows, then each change, and signs of life between.
    ///
    /// It learns that the follower can be followed at `own`.
    fn follow(
        &self,
        addr: SocketAddr,
        own: SocketAddr,
    ) -> impl Future<Output = peer::Result<Self::Updates>> + Send;
}

/// What followers are told.
pub trait Published: Clone + Send + Sync + 'static {
    /// Changes after the state that [`Published::subscribe`] returned beside them; it ends if one was missed.
    type Changes: Stream<Item = Update> + Send + Unpin;

    /// Takes the address of a host that follows.
    fn followed_by(&self, addr: SocketAddr);
    /// Returns all that is known, and what follows.
    fn subscribe(&self) -> (Vec<Update>, Self::Changes);
    /// Tells whether the platform answers.
    fn is_current(&self) -> bool;
}
