//! Queries and orders sent between hosts.

use std::{future::Future, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;

use crate::{
    catalog::{Service, Snapshot},
    config, host, leaf,
    outcome::Outcome,
    range::Range,
    rank::Rank,
    request, trace,
};

/// The result of a call to another host.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to another host failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection could be opened; no byte of the message was sent.
    #[snafu(display("cannot connect to host {host}; trying the next candidate"))]
    Connect {
        /// The name of the host.
        host: host::Name,
    },
    /// The connection broke or the call timed out; the message may have arrived.
    #[snafu(display("no reply from host {host} ({why}); the message may have arrived"))]
    Broken {
        /// The name of the host.
        host: host::Name,
        /// The error of the transport.
        why: SmolStr,
    },
}

/// The time for which a claim permits its holder to send the order, in milliseconds.
///
/// [`Order::not_after_ms`] of a claimed order is at most this long after the claim.
pub const CLAIM_TTL_MS: u64 = 2_000;

/// The part of a query that is sent to one dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Subquery {
    /// The identifier of this message; each attempt has its own.
    pub id: request::Id,
    /// The configuration version that the sender used.
    pub config: config::Version,
    /// The name of the collection to search.
    pub collection: SmolStr,
    /// The snapshot to read, which is the same for all sub-queries of the query.
    pub snapshot: Snapshot,
    /// The key ranges to search, by service.
    pub asks: Vec<Ask>,
    /// The text to search for.
    pub text: SmolStr,
    /// The rank of the query.
    pub rank: Rank,
    /// Whether low latency or full coverage is preferred.
    pub priority: config::Priority,
    /// The remaining time, in milliseconds.
    pub budget_ms: u32,
    /// The number of services without a reply in the whole query, this message's included.
    pub open: u32,
    /// The trace context, if the request is traced.
    pub trace: Option<trace::Context>,
}

/// The key ranges to search at one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The index of the service within the collection.
    pub service: u16,
    /// The hashed keys to search.
    pub ranges: Vec<Range>,
    /// The leafs that hold the ranges according to the sender's catalog.
    pub leafs: Vec<leaf::Name>,
}

/// The reply to a [`Subquery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subreply {
    /// The identifier of the sub-query that this replies to.
    pub id: request::Id,
    /// The incarnation of the dispatcher.
    pub incarnation: host::Incarnation,
    /// The snapshot that was read.
    pub snapshot: Snapshot,
    /// The results by key range; the ranges are disjoint.
    pub parts: Vec<leaf::Part>,
    /// The services whose ranges are missing, or partly missing, from `parts`.
    pub misses: Vec<Miss>,
    /// Whether any leaf may have begun to process this sub-query.
    pub begun: bool,
    /// The number of requests sent to leafs for this sub-query.
    pub sent: u32,
    /// The duration of the slowest part, in microseconds.
    pub leaf_us: u64,
    /// The dispatcher's report on its queues and leafs.
    pub report: Report,
}

/// A service whose ranges are missing, or partly missing, from a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Miss {
    /// The index of the service within the collection.
    pub service: u16,
    /// Why the ranges are missing.
    pub cause: Cause,
}

/// Why ranges are missing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The queue is too long for the rank and the remaining time; not retried.
    Overload,
    /// The deadline passed.
    Late,
    /// No leaf of the service is reachable from the dispatcher.
    Unreachable,
    /// The leafs no longer hold the snapshot; the value lists those that they hold.
    Gone(Vec<Snapshot>),
    /// The leafs do not hold all of the ranges, because the data has moved.
    Moved,
    /// The host is not a candidate for the service, or it is stopping.
    Elsewhere,
}

/// A dispatcher's report on its queues and leafs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The expected queue wait at each requested service, in microseconds, in the order of
    /// [`Rank::ALL`].
    pub waits: Vec<(Service, [u32; 3])>,
    /// Leafs that reported to the dispatcher that they are leaving; reports of others are not
    /// passed on.
    pub leaving: Vec<leaf::Name>,
}

/// An order that is sent to a claimer or a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The identifier of this message; the receiver accepts each identifier at most once.
    pub id: request::Id,
    /// The incarnation of the receiver; a process with another one refuses the message.
    pub target: host::Incarnation,
    /// The processing step that the receiver must start with.
    pub step: Step,
    /// The caller's idempotency key or ticket.
    pub key: SmolStr,
    /// The caller's name, which is the namespace of the key.
    pub caller: SmolStr,
    /// The name of the collection that the order is for.
    pub collection: SmolStr,
    /// The action to perform.
    pub action: SmolStr,
    /// The record to act on.
    pub record: SmolStr,
    /// The rank of the order.
    pub rank: Rank,
    /// The remaining time, in milliseconds.
    pub budget_ms: u32,
    /// The time after which the leaf must not start the order, in milliseconds since the Unix
    /// epoch; set by the claimer.
    pub not_after_ms: u64,
    /// The trace context, if the request is traced.
    pub trace: Option<trace::Context>,
}

/// The processing step that the receiver of an [`Order`] must start with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// Claim the key or redeem the ticket, then dispatch.
    Claim,
    /// Send the order to a leaf; the key has already been claimed.
    Dispatch,
}

/// A client of other hosts; a call to the local host is served in process.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Sends a sub-query. Dropping the future cancels the sub-query at the receiver.
    fn subquery(
        &self,
        host: &host::Name,
        message: Subquery,
        timeout: Duration,
    ) -> impl Future<Output = Result<Subreply>> + Send;

    /// Sends an order, at most once.
    fn order(
        &self,
        host: &host::Name,
        message: Order,
        timeout: Duration,
    ) -> impl Future<Output = Result<Outcome>> + Send;

    /// Asks `host` for the outcome of the order with `caller` and `key`; `None` if the host does
    /// not know it.
    fn outcome(
        &self,
        host: &host::Name,
        caller: &str,
        key: &str,
    ) -> impl Future<Output = Result<Option<Outcome>>> + Send;

    /// Returns the last known incarnation of `host`, if there is one.
    fn incarnation(&self, host: &host::Name) -> Option<host::Incarnation>;

    /// Returns whether `host` is believed to be alive and not leaving.
    fn is_usable(&self, host: &host::Name) -> bool;
}
