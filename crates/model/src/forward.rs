//! HTTP calls that are forwarded to leafs without interpreting their content, and the replies.

use std::{future::Future, sync::Arc};

use bytes::Bytes;
use futures::stream::{FuturesUnordered, Stream};
use http::{HeaderMap, Method, StatusCode, Uri};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    catalog::Service,
    host, leaf,
    peer::{self, Cause},
    rank::Rank,
};

/// A caller's HTTP request as it is forwarded to leafs.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's identifier of this attempt; a reply with another one belongs to another call.
    pub id: SmolStr,
    /// The HTTP method.
    pub method: Method,
    /// The path and query string.
    pub target: Uri,
    /// The headers to forward, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A leaf's reply to a [`Call`].
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status that the leaf returned.
    pub status: StatusCode,
    /// The headers to return to the caller.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The leaf's digest of the reply, if it sent one.
    pub digest: Option<SmolStr>,
}

/// What the head of a reply says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The leaf's complete result.
    Success,
    /// A server error of the leaf; another leaf may do better.
    Failure,
    /// Another final answer, such as a redirect or a client error.
    Other,
    /// Nothing that a leaf says: a part of the head is missing or wrong. The call may have run.
    Invalid,
}

impl Reply {
    /// Returns what the head says; a success without the leaf's digest is invalid, and so is an unfounded promise
    /// that the call has not run.
    pub fn kind(&self) -> Kind {
        match self.status {
            status if status.is_informational() => Kind::Invalid,
            status if status.is_success() && self.digest.is_none() => Kind::Invalid,
            // Callers take these for a promise that the call has not run and never will. A leaf that says so
            // is reported as an error, not as a reply.
            StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE => Kind::Invalid,
            status if status.is_success() => Kind::Success,
            status if status.is_server_error() => Kind::Failure,
            _ => Kind::Other,
        }
    }

    /// Returns whether the reply is the leaf's complete result, so that it can be part of an answer.
    pub fn is_success(&self) -> bool {
        self.kind() == Kind::Success
    }
}

/// The limits under which a call may be executed.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The rank of the call.
    pub rank: Rank,
    /// Whether the call is safe to run more than once.
    pub idempotent: bool,
    /// The maximum number of leafs that may run the call.
    pub max_attempts: u32,
    /// The latency goal: a reply that arrives by then has its full value; after it the value may
    /// fall until the deadline.
    pub goal: Instant,
    /// The time at which the caller stops waiting.
    pub deadline: Instant,
    /// How the replies of several services may be merged on their way; `None` if each is needed
    /// whole.
    pub merge: Option<Merge>,
}

/// How the records of several replies are merged: the greatest ones are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Merge {
    /// The size of a record.
    pub record_bytes: usize,
    /// The number of records to keep.
    pub top_k: usize,
}

/// The outcome of a call to one service.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The reply, or why there is no usable one.
    pub result: Result<Reply, Error>,
    /// Whether any leaf may have begun the call.
    pub begun: bool,
    /// The number of requests sent to leafs.
    pub sent: u32,
    /// The number of these whose leaf ended the connection before a reply and accepted no other one,
    /// while no leaf had replied to the call.
    pub lost: u32,
    /// What the leafs that answered said of themselves.
    pub notices: Vec<leaf::Notice>,
}

impl Completion {
    /// Returns whether a leaf replied, be it with a failure.
    pub fn is_replied(&self) -> bool {
        match &self.result {
            Ok(_) => true,
            Err(error) => error.reply.is_some(),
        }
    }
}

/// Outcomes of a call at some of its services, which are reported together.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The index of each service and the outcome of the call there.
    pub outcomes: Vec<(usize, Completion)>,
    /// The greatest records of all successful replies, whose bodies are then empty; `None` if each
    /// reply has its own body.
    pub records: Option<Bytes>,
}

impl Batch {
    /// Replaces each index by the element of `positions` at it.
    ///
    /// # Panics
    ///
    /// Panics if an index is not below the length of `positions`.
    pub fn map_positions(mut self, positions: &[usize]) -> Self {
        for (index, _) in &mut self.outcomes {
            *index = positions[*index];
        }
        self
    }
}

impl From<(usize, Completion)> for Batch {
    fn from(outcome: (usize, Completion)) -> Self {
        Self {
            outcomes: vec![outcome],
            records: None,
        }
    }
}

/// Why a call has no usable reply.
#[derive(Clone, Debug)]
pub struct Error {
    /// The kind of failure.
    pub cause: Cause,
    /// The error reply of a leaf, if that was the last result.
    pub reply: Option<Reply>,
}

/// Sends calls to services.
pub trait Forward: Clone + Send + Sync + 'static {
    /// Sends `call` to one leaf of `service`, and retries or hedges on others within `options`.
    ///
    /// Dropping the future cancels an idempotent call at its leafs.
    fn forward(
        &self,
        service: &Service,
        call: Arc<Call>,
        options: Options,
    ) -> impl Future<Output = Completion> + Send;

    /// Sends `call` to each of `services`; yields the outcome of each once, by its index in
    /// `services`.
    fn forward_all<'a>(
        &'a self,
        services: &'a [Service],
        call: &'a Arc<Call>,
        options: Options,
    ) -> impl Stream<Item = Batch> + Send + Unpin + 'a {
        let send = move |(position, service)| async move {
            let forwarded = self.forward(service, Arc::clone(call), options).await;
            Batch::from((position, forwarded))
        };
        let calls = services.iter().enumerate().map(send);
        calls.collect::<FuturesUnordered<_>>()
    }

    /// Checks whether `service` is expected to reply in time to a call under `options`.
    ///
    /// # Errors
    ///
    /// Returns why the call is expected to fail.
    fn admits(&self, service: &Service, options: &Options) -> Result<(), Cause>;

    /// Records what a leaf of `service` said of itself in an answer to another host.
    fn record_notice(&self, service: &Service, notice: &leaf::Notice);
}

/// A client that relays calls through other hosts.
pub trait RelayClient: Clone + Send + Sync + 'static {
    /// The stream of outcomes.
    type Parts: Stream<Item = peer::Result<Batch>> + Send + Unpin;

    /// Asks `host` to send `call` to each of `services`; resolves once the host has accepted it.
    ///
    /// The host does not send the call if this future is dropped or returns
    /// [`peer::Error::Connect`]. Dropping the stream cancels an idempotent call at its leafs.
    fn relay(
        &self,
        host: &host::Name,
        services: Vec<Service>,
        call: &Call,
        options: Options,
    ) -> impl Future<Output = peer::Result<Self::Parts>> + Send;
}
