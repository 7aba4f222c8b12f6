//! Change notifications for platform objects, which hosts relay to each other.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::Stream;
use smol_str::SmolStr;
use snafu::Snafu;
use tokio::time::Instant;

use crate::peer;

/// The result of a read of the platform's objects.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the platform's objects could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The platform did not answer or refused.
    #[snafu(display("{why}"))]
    Unavailable {
        /// What failed, and the remedy.
        why: String,
    },
    /// The changes since the given revision are no longer available.
    #[snafu(display("platform has compacted its history; listing all objects again"))]
    Compacted,
    /// The platform was restored from a copy, so the given revision belongs to another history.
    #[snafu(display("platform was restored from a copy; listing all objects again"))]
    Restored,
}

/// The revision of the platform's objects of all kinds; it increases with each change.
///
/// A platform that is restored from a copy begins another history, in which it issues numbers again.
/// The revisions of a later history are greater than those of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// The number of the history; it increases with each restore.
    pub epoch: u64,
    /// The number within the history.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { epoch, number } = self;
        write!(f, "{epoch}.{number}")
    }
}

/// A platform object; its content is opaque to the code that relays it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The name, unique within its kind.
    pub name: SmolStr,
    /// The encoded content.
    pub content: Bytes,
}

/// A change of an object at the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The object was created or modified.
    Put(Object),
    /// The object with this name was deleted.
    Delete(SmolStr),
}

/// Objects of one kind that were read together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch<T> {
    /// The objects, or their changes.
    pub items: Vec<T>,
    /// The revision that the items are complete up to.
    pub revision: Revision,
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
        /// The revision that the list is complete up to.
        revision: Revision,
        /// Whether changes of the kind are watched. If not, hosts differ in how old their lists are.
        watched: bool,
    },
    /// Objects that were created, changed or deleted.
    Changes {
        /// The kind of the objects.
        kind: SmolStr,
        /// The objects that were created or changed.
        put: Vec<Object>,
        /// The names of the objects that were deleted.
        deleted: Vec<SmolStr>,
        /// The revision that the changes are complete up to.
        revision: Revision,
    },
    /// Whether the sending host can reach the platform.
    PlatformReachable(bool),
    /// With all updates before this one, the state is the platform's as of this time or later.
    Current(Instant),
}

impl Update {
    /// Builds an update from successive changes to objects of `kind`.
    ///
    /// Only the last change of each object is kept, because an update has no order.
    pub fn changes(kind: SmolStr, batch: Batch<Change>) -> Self {
        let change = |change| match change {
            Change::Put(object) => (object.name, Some(object.content)),
            Change::Delete(name) => (name, None),
        };
        let latest: BTreeMap<SmolStr, Option<Bytes>> =
            batch.items.into_iter().map(change).collect();
        let (mut put, mut deleted) = (Vec::new(), Vec::new());
        for (name, content) in latest {
            match content {
                Some(content) => put.push(Object { name, content }),
                None => deleted.push(name),
            }
        }
        Self::Changes {
            kind,
            put,
            deleted,
            revision: batch.revision,
        }
    }
}

/// The platform's store, which the objects come from.
pub trait Origin: Clone + Send + Sync + 'static {
    /// The kind of the configuration.
    const CONFIG: &'static str;
    /// The kind of the leafs' entries.
    const LEAFS: &'static str;
    /// The kind of the hosts' entries.
    const HOSTS: &'static str;
    /// The kind of the calls that crash leafs.
    const QUARANTINE: &'static str;

    /// Returns all objects of a kind; `allow_stale` permits a cheaper read of older data.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the platform does not answer in time.
    fn list(
        &self,
        kind: &'static str,
        allow_stale: bool,
    ) -> impl Future<Output = Result<Batch<Object>>> + Send;

    /// Returns the changes of a kind after `since`, as soon as there are any or after `wait`.
    ///
    /// The changes are those after the number of `since` in the platform's current history, which the
    /// revision of the batch names.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Compacted`] if the platform no longer has these changes, and
    /// [`Error::Unavailable`] if it does not answer in time.
    fn watch(
        &self,
        kind: &'static str,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch<Change>>> + Send;
}

/// A client that subscribes to the object feeds of other hosts.
pub trait Subscriber: Clone + Send + Sync + 'static {
    /// The stream of updates from a host.
    type Updates: Stream<Item = peer::Result<Update>> + Send + Unpin;

    /// Subscribes to the host at `addr`.
    ///
    /// The stream starts with all objects that the host has, the time as of which they are current,
    /// and whether the host can reach the platform; then it yields each change of these. No delay
    /// makes a state look newer than it is. `own` tells the host at which address the follower
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
    /// Returns the current state, which ends with whether this host can reach the platform, and a
    /// stream of the changes after it.
    fn subscribe(&self) -> (Vec<Update>, Self::Changes);
}
