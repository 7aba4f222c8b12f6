//! Matching of replies to open requests.

use rattanmast_model::{catalog::Snapshot, hash::Map, host, peer::Subreply, request};

/// An open request to a dispatcher, with the sender's state.
#[derive(Clone, Debug)]
pub struct OpenRequest<T> {
    /// The dispatcher's host.
    pub host: host::Name,
    /// The incarnation of the host that was known when the request was sent.
    pub incarnation: Option<host::Incarnation>,
    /// The sender's state of the request.
    pub state: T,
}

/// Why a reply matches no open request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// No request with this identifier is open: the reply is late, a duplicate or another
    /// query's.
    Id,
    /// Another incarnation of the dispatcher replied.
    Incarnation(host::Name),
    /// Another snapshot was read.
    Snapshot,
}

/// The open requests of one query at one snapshot.
#[derive(Clone, Debug)]
pub struct Matcher<T> {
    snapshot: Snapshot,
    requests: Map<request::Id, OpenRequest<T>>,
}

impl<T> Matcher<T> {
    /// Creates a matcher without open requests.
    pub fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot,
            requests: Map::default(),
        }
    }

    /// Records that the request `id` was sent.
    pub fn insert(&mut self, id: request::Id, request: OpenRequest<T>) {
        self.requests.insert(id, request);
    }

    /// Closes and returns the request that `reply` matches.
    ///
    /// # Errors
    ///
    /// Returns why the reply must be dropped; the request stays open then.
    pub fn accept(&mut self, reply: &Subreply) -> Result<OpenRequest<T>, Mismatch> {
        let request = self.requests.get(&reply.id).ok_or(Mismatch::Id)?;
        if reply.snapshot != self.snapshot {
            return Err(Mismatch::Snapshot);
        }
        if request
            .incarnation
            .is_some_and(|known| known != reply.incarnation)
        {
            return Err(Mismatch::Incarnation(request.host.clone()));
        }
        self.requests.remove(&reply.id).ok_or(Mismatch::Id)
    }

    /// Closes and returns the request `id` if it is open.
    pub fn close(&mut self, id: request::Id) -> Option<OpenRequest<T>> {
        self.requests.remove(&id)
    }

    /// Returns the open requests.
    pub fn open(&self) -> impl Iterator<Item = &OpenRequest<T>> {
        self.requests.values()
    }

    /// Returns the open requests, for updates of their state.
    pub fn open_mut(&mut self) -> impl Iterator<Item = &mut OpenRequest<T>> {
        self.requests.values_mut()
    }

    /// Returns whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
