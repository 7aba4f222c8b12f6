//! Which reply belongs to which open request.

use rattanmast_model::{catalog::Snapshot, hash::Map, host, peer::Subreply, request};

/// An open request to a dispatcher, with what the sender keeps about it.
#[derive(Clone, Debug)]
pub struct Open<T> {
    /// The dispatcher.
    pub host: host::Name,
    /// The process run that was known when the request was sent.
    pub incarnation: Option<host::Incarnation>,
    /// What the sender keeps.
    pub kept: T,
}

/// Why a reply matches no open request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// No request with this identifier is open: late, doubled or another's.
    Id,
    /// Another process run of the dispatcher answered.
    Incarnation(host::Name),
    /// Another snapshot was read.
    Snapshot,
}

/// The open requests of one query at one snapshot.
#[derive(Clone, Debug)]
pub struct Matcher<T> {
    snapshot: Snapshot,
    open: Map<request::Id, Open<T>>,
}

impl<T> Matcher<T> {
    /// Returns a matcher without open requests.
    pub fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot,
            open: Map::default(),
        }
    }

    /// Notes that the request `id` was sent.
    pub fn insert(&mut self, id: request::Id, open: Open<T>) {
        self.open.insert(id, open);
    }

    /// Closes and returns the request that `reply` matches.
    ///
    /// # Errors
    ///
    /// Returns why the reply is to be dropped; no request is closed then.
    pub fn take(&mut self, reply: &Subreply) -> Result<Open<T>, Mismatch> {
        let open = self.open.get(&reply.id).ok_or(Mismatch::Id)?;
        if reply.snapshot != self.snapshot {
            return Err(Mismatch::Snapshot);
        }
        if open.incarnation.is_some_and(|run| run != reply.incarnation) {
            return Err(Mismatch::Incarnation(open.host.clone()));
        }
        self.open.remove(&reply.id).ok_or(Mismatch::Id)
    }

    /// Closes and returns the request `id` if it is open.
    pub fn close(&mut self, id: request::Id) -> Option<Open<T>> {
        self.open.remove(&id)
    }

    /// Returns the open requests.
    pub fn open(&self) -> impl Iterator<Item = &Open<T>> {
        self.open.values()
    }

    /// Returns the open requests, for changes to what is kept.
    pub fn open_mut(&mut self) -> impl Iterator<Item = &mut Open<T>> {
        self.open.values_mut()
    }

    /// Tells whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
