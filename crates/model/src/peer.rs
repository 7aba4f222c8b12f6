//! Messages between hosts.

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

/// A result of a call to another host.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to another host failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection could be opened; no byte of the message left.
    #[snafu(display("host {host} is not reachable; the next candidate is tried"))]
    Connect {
        /// The host.
        host: host::Name,
    },
    /// The connection broke, or no reply came in time; the message may have arrived.
    #[snafu(display("no reply from host {host} ({why}); the message may have arrived"))]
    Broken {
        /// The host.
        host: host::Name,
        /// What the transport returned.
        why: SmolStr,
    },
}

/// Time for which a claim gives the right to send its order, in milliseconds.
///
/// [`Order::not_after_ms`] of a claimed order is at most this long after the claim.
pub const CLAIM_TTL_MS: u64 = 2_000;

/// The part of a query that one dispatcher serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Subquery {
    /// Identifies this message; each try has its own.
    pub id: request::Id,
    /// The configuration version that the sender used.
    pub config: config::Version,
    /// The collection to search.
    pub collection: SmolStr,
    /// The pinned snapshot.
    pub snapshot: Snapshot,
    /// What to ask of which service.
    pub asks: Vec<Ask>,
    /// The text searched for.
    pub text: SmolStr,
    /// The rank of the query.
    pub rank: Rank,
    /// Whether time or coverage goes first.
    pub priority: config::Priority,
    /// Time left, in milliseconds.
    pub budget_ms: u32,
    /// Services of the whole query that are still open, this message's included.
    pub open: u32,
    /// The position in the trace.
    pub trace: Option<trace::Context>,
}

/// What to ask of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The number of the service within the collection.
    pub service: u16,
    /// The keys to search.
    pub ranges: Vec<Range>,
    /// The leafs that hold them, as far as the sender knows.
    pub leafs: Vec<leaf::Name>,
}

/// The reply to a [`Subquery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subreply {
    /// The message that this replies to.
    pub id: request::Id,
    /// The process run of the dispatcher.
    pub incarnation: host::Incarnation,
    /// The snapshot that was read.
    pub snapshot: Snapshot,
    /// What was found; disjoint.
    pub parts: Vec<leaf::Part>,
    /// What was not found, by service.
    pub misses: Vec<Miss>,
    /// Whether any leaf may have begun work for this message.
    pub begun: bool,
    /// Requests sent to leafs for this message.
    pub sent: u32,
    /// Time of the slowest part, in microseconds.
    pub leaf_us: u64,
    /// What the dispatcher says of itself.
    pub report: Report,
}

/// Why a service's ranges are not, or not all, in a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Miss {
    /// The number of the service.
    pub service: u16,
    /// Why.
    pub cause: Cause,
}

/// Why ranges are missing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The queue is too long for the rank and the time left; not retried.
    Overload,
    /// The time ran out.
    Late,
    /// No leaf of the service is reachable from the dispatcher.
    Unreachable,
    /// The snapshot is gone; these are held.
    Gone(Vec<Snapshot>),
    /// The leafs do not hold (all of) the ranges: data moved.
    Moved,
    /// The host is not a candidate for the service or is stopping.
    Elsewhere,
}

/// What a dispatcher says of its queues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The expected wait by rank, as [`Rank::ALL`], of the services asked for, in microseconds.
    pub waits: Vec<(Service, [u32; 3])>,
    /// Leafs that are known to be leaving.
    pub leaving: Vec<leaf::Name>,
}

/// An order on its way to a claimer or dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Identifies this message; each is accepted once.
    pub id: request::Id,
    /// The process run that the message is for; another one refuses it.
    pub target: host::Incarnation,
    /// What the receiver is asked to do.
    pub step: Step,
    /// The caller's idempotency key or ticket.
    pub key: SmolStr,
    /// The caller's name; keys of different callers are different.
    pub caller: SmolStr,
    /// The collection that the order is for.
    pub collection: SmolStr,
    /// What to do.
    pub action: SmolStr,
    /// The record to do it to.
    pub record: SmolStr,
    /// The rank of the order.
    pub rank: Rank,
    /// Time left, in milliseconds.
    pub budget_ms: u32,
    /// Time after which the leaf must not begin, in milliseconds since the Unix epoch; set by the claimer.
    pub not_after_ms: u64,
    /// The position in the trace.
    pub trace: Option<trace::Context>,
}

/// What the receiver of an [`Order`] is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// Claim the key (or redeem the ticket), then dispatch.
    Claim,
    /// Send it to a leaf; the key is claimed.
    Dispatch,
}

/// Calls to other hosts; a call to the own host is served directly.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Sends a sub-query. Dropping the future cancels it at the receiver.
    fn subquery(
        &self,
        host: &host::Name,
        message: Subquery,
        timeout: Duration,
    ) -> impl Future<Output = Result<Subreply>> + Send;

    /// Sends an order. It is sent once.
    fn order(
        &self,
        host: &host::Name,
        message: Order,
        timeout: Duration,
    ) -> impl Future<Output = Result<Outcome>> + Send;

    /// Asks what became of the order with `key`; `None` if the host does not know.
    fn outcome(
        &self,
        host: &host::Name,
        caller: &str,
        key: &str,
    ) -> impl Future<Output = Result<Option<Outcome>>> + Send;

    /// Returns the process run of `host`, if it was heard of.
    fn incarnation(&self, host: &host::Name) -> Option<host::Incarnation>;

    /// Tells whether `host` is believed to be alive and not leaving.
    fn usable(&self, host: &host::Name) -> bool;
}
