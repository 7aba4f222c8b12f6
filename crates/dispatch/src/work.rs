//! The kinds of requests that are sent to leafs.

use std::{future::Future, time::Duration};

use rattanmast_model::{
    forward,
    leaf::{self, Connection, Forward, Forwarder, Search, SearchReply, Searcher},
    request,
};
use tokio::time::Instant;

/// Whether a reply matches its request and succeeded.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Verdict {
    /// It matches the request; carries the load that the leaf reported.
    Good(leaf::Load),
    /// It matches the request and reports a failure of the leaf.
    Failure,
    /// It belongs to another request.
    Mismatch,
    /// It is nothing that a leaf answers; says why.
    Invalid(&'static str),
}

/// A request that a connection can run.
pub(crate) trait Work<L: Connection>: Send + Sync + 'static {
    type Reply: Send + 'static;

    /// Returns the id that identifies the request to the leaf.
    fn id(&self) -> request::Id;
    /// Returns when the leaf gives the request up if it is sent now.
    fn deadline(&self) -> Instant;
    /// Runs the request.
    fn run<'a>(
        &'a self,
        connection: &'a mut L,
    ) -> impl Future<Output = leaf::Result<Self::Reply>> + Send + 'a;
    /// Checks `reply` against the request.
    fn verdict(&self, reply: &Self::Reply) -> Verdict;
    /// Returns how long an abandoned request may continue before its connection is closed; `max` if
    /// it may be interrupted.
    fn linger(&self, max: Duration) -> Duration;
}

impl<L: Searcher> Work<L> for Search {
    type Reply = SearchReply;

    fn id(&self) -> request::Id {
        self.id
    }

    fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.budget_ms.into())
    }

    fn run<'a>(
        &'a self,
        connection: &'a mut L,
    ) -> impl Future<Output = leaf::Result<SearchReply>> + Send + 'a {
        connection.search(self)
    }

    fn verdict(&self, reply: &SearchReply) -> Verdict {
        match reply.id == self.id && reply.snapshot == self.snapshot {
            true => Verdict::Good(reply.load),
            false => Verdict::Mismatch,
        }
    }

    fn linger(&self, max: Duration) -> Duration {
        max
    }
}

/// A forwarded call, addressed to one leaf.
#[derive(Debug)]
pub(crate) struct ForwardRequest {
    pub(crate) forward: Forward,
    /// Whether the call may run more than once, and so may be interrupted at the leaf.
    pub(crate) idempotent: bool,
}

impl<L: Forwarder> Work<L> for ForwardRequest {
    type Reply = forward::Reply;

    fn id(&self) -> request::Id {
        self.forward.id
    }

    fn deadline(&self) -> Instant {
        self.forward.deadline
    }

    fn run<'a>(
        &'a self,
        connection: &'a mut L,
    ) -> impl Future<Output = leaf::Result<forward::Reply>> + Send + 'a {
        connection.forward(&self.forward)
    }

    fn verdict(&self, reply: &forward::Reply) -> Verdict {
        match reply.kind() {
            forward::Kind::Success | forward::Kind::Other => Verdict::Good(leaf::Load::default()),
            forward::Kind::Failure => Verdict::Failure,
            forward::Kind::Invalid => Verdict::Invalid("the head of the reply is not valid"),
        }
    }

    /// A call that must not run twice is not interrupted before its deadline.
    fn linger(&self, max: Duration) -> Duration {
        match self.idempotent {
            true => max,
            false => self
                .forward
                .deadline
                .saturating_duration_since(Instant::now()),
        }
    }
}
