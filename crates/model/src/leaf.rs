//! The interface to leafs: requests, replies, errors and connections.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;
use tokio::time::Instant;

use crate::{catalog, forward, host, range::Range, rank::Rank, request, trace};

/// The result of a call to a leaf.
pub type Result<T> = std::result::Result<T, Error>;

/// The name of a leaf, unique within an installation.
pub type Name = SmolStr;

/// A compact index of a leaf in a dispatcher's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u32);

/// A leaf as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaf {
    /// The leaf's name.
    pub name: Name,
    /// The address that the leaf listens on.
    pub addr: SocketAddr,
    /// The failure domain that the leaf runs in.
    pub domain: host::Domain,
    /// The service whose shard the leaf holds.
    pub service: catalog::Service,
    /// The state that the platform lists, which lags behind the actual state.
    #[serde(default)]
    pub state: host::State,
    /// The process of the leaf that wrote the entry; zero if the platform does not tell processes apart.
    #[serde(skip)]
    pub lifetime: host::Incarnation,
}

/// The capacity of a leaf, shared by all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The number of requests that the leaf processes concurrently.
    pub slots: u32,
    /// The maximum number of connections that the leaf accepts.
    pub connections: u32,
    /// The time that it takes to open a connection, in milliseconds.
    pub open_ms: u32,
}

/// A search request to one leaf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Search {
    /// The identifier of this request; each attempt has its own.
    pub id: request::Id,
    /// The name of the collection to search.
    pub collection: SmolStr,
    /// The snapshot to read; the leaf must not read any other.
    pub snapshot: catalog::Snapshot,
    /// The hashed keys to search.
    pub ranges: Vec<Range>,
    /// The text to search for.
    pub text: SmolStr,
    /// The rank of the query.
    pub rank: Rank,
    /// The time that the leaf may take, in milliseconds.
    pub budget_ms: u32,
    /// The trace context, if the request is traced.
    pub trace: Option<trace::Context>,
}

/// A matching record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// The hashed key of the record.
    pub key: u64,
    /// The identifier of the record.
    pub record: SmolStr,
    /// The text of the record.
    pub text: SmolStr,
}

/// The search result of one key range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The hashed keys that were searched.
    pub range: Range,
    /// The number of records searched, whether or not they match.
    pub records: u64,
    /// The matching records.
    pub rows: Vec<Row>,
}

/// The load and state that a leaf reports with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The incarnation of the leaf.
    pub incarnation: host::Incarnation,
    /// The number of requests queued at the leaf.
    pub waiting: u32,
    /// Whether the leaf is leaving.
    pub draining: bool,
}

/// What a leaf says in an answer about the requests that it takes; it binds the host that got it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Whether the leaf is leaving, and takes no new request.
    pub leaving: bool,
    /// How long the leaf wants no request from this host.
    pub pause: Option<Duration>,
    /// The requests a second that the leaf takes from all hosts together, as long as its answers say so;
    /// `None` if it names no limit.
    pub rate: Option<f64>,
}

/// What a leaf said of itself in an answer, for the hosts that pass the answer on.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// The leaf's name.
    pub leaf: Name,
    /// The process of the leaf that answered, as far as the sender of the request knew.
    pub lifetime: host::Incarnation,
    /// What it said; a pause only concerns the host that sent the request, and is left out.
    pub terms: Terms,
}

/// The reply to a [`Search`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchReply {
    /// The identifier of the request that this replies to.
    pub id: request::Id,
    /// The snapshot that was read.
    pub snapshot: catalog::Snapshot,
    /// The results by key range; ranges that the leaf does not hold are omitted.
    pub parts: Vec<Part>,
    /// The load and state that the leaf reported.
    pub load: Load,
}

/// An order sent to one leaf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The identifier that the reply repeats.
    pub id: request::Id,
    /// The caller's idempotency key, for the leaf's own records.
    pub key: SmolStr,
    /// The name of the collection that the order is for.
    pub collection: SmolStr,
    /// The action to perform.
    pub action: SmolStr,
    /// The record to act on.
    pub record: SmolStr,
    /// The rank of the order.
    pub rank: Rank,
    /// The time after which the leaf must not start the order, in milliseconds since the Unix
    /// epoch.
    pub not_after_ms: u64,
    /// The trace context, if the request is traced.
    pub trace: Option<trace::Context>,
}

/// The reply to an [`Order`] that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The identifier of the request that this replies to.
    pub id: request::Id,
    /// The result that the leaf returned.
    pub result: SmolStr,
    /// The load and state that the leaf reported.
    pub load: Load,
}

/// Why a call to a leaf failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection could be opened; no byte of the request was sent.
    #[snafu(display("cannot connect to the leaf ({why}); trying another replica"))]
    Connect {
        /// The error of the connection attempt.
        why: SmolStr,
    },
    /// The leaf refused the connection because it is at its limit; no byte of the request was sent.
    #[snafu(display("leaf is at its connection limit; lower the connection limit in the intent"))]
    Full,
    /// The leaf shed the request before it began to process it.
    #[snafu(display("leaf shed the request before it began; reduce the load or add replicas"))]
    Shed {
        /// The load and state that the leaf reported.
        load: Load,
    },
    /// The leaf is leaving and did not begin the request.
    #[snafu(display("leaf is leaving and did not begin the request; trying another replica"))]
    Leaving {
        /// The load and state that the leaf reported.
        load: Load,
    },
    /// The leaf does not hold the snapshot.
    #[snafu(display("leaf does not hold the snapshot; restarting the query at a newer one"))]
    Gone {
        /// The snapshots that the leaf holds.
        holds: Vec<catalog::Snapshot>,
        /// The load and state that the leaf reported.
        load: Load,
    },
    /// The deadline had passed before the leaf began.
    #[snafu(display("deadline passed before the leaf began; allow more time"))]
    Expired {
        /// The load and state that the leaf reported.
        load: Load,
    },
    /// The connection broke after part of the request may have been sent.
    #[snafu(display("connection broke after the request may have been sent ({why})"))]
    Broken {
        /// The error of the transport.
        why: SmolStr,
    },
    /// The connection ended before a reply began; the leaf may have crashed.
    #[snafu(display(
        "leaf ended the connection before it replied ({why}); see the leaf's own log"
    ))]
    Lost {
        /// The error of the transport.
        why: SmolStr,
    },
    /// The leaf failed while it processed the request, or its reply could not be decoded.
    #[snafu(display("leaf failed the request ({why}); see the leaf's own log"))]
    Failed {
        /// The error that the leaf returned.
        why: SmolStr,
    },
}

impl Error {
    /// Returns whether it is certain that the leaf did not begin the request.
    pub const fn not_begun(&self) -> bool {
        match self {
            Self::Connect { .. }
            | Self::Full
            | Self::Shed { .. }
            | Self::Leaving { .. }
            | Self::Gone { .. }
            | Self::Expired { .. } => true,
            Self::Broken { .. } | Self::Lost { .. } | Self::Failed { .. } => false,
        }
    }

    /// Returns the load that the leaf reported, if it answered.
    pub const fn load(&self) -> Option<Load> {
        match self {
            Self::Shed { load }
            | Self::Leaving { load }
            | Self::Gone { load, .. }
            | Self::Expired { load } => Some(*load),
            _ => None,
        }
    }
}

/// Opens connections to leafs.
pub trait Connector: Clone + Send + Sync + 'static {
    /// The type of an open connection.
    type Connection: Connection;

    /// Opens a connection to `leaf`.
    fn open(&self, leaf: &Leaf) -> impl Future<Output = Result<Self::Connection>> + Send;
}

/// An open connection to a leaf, which carries one request at a time.
///
/// Dropping the future of an unfinished call leaves the connection unusable. The caller must
/// then drop the connection too, which closes it and cancels the request.
pub trait Connection: Send + 'static {
    /// Whether a request can be cancelled through another connection.
    ///
    /// If not, a request is cancelled by closing the connection that carries it.
    const SUPPORTS_CANCEL: bool = true;

    /// Returns whether the connection is believed to be open and ready for a request.
    fn is_open(&self) -> bool {
        true
    }

    /// Returns what the answer to the last request said; `None` if there was no answer, or if the
    /// protocol has no such statements.
    fn terms(&self) -> Option<Terms> {
        None
    }

    /// Asks the leaf to cancel the request `id`, which was sent over another connection.
    fn cancel(&mut self, _id: request::Id) -> impl Future<Output = Result<()>> + Send {
        let why = SmolStr::new_static("requests are cancelled by closing their connection");
        std::future::ready(Err(Error::Failed { why }))
    }

    /// Closes the connection and waits up to `wait` for the leaf to close its end.
    ///
    /// Returns whether the leaf is known to have closed its end.
    fn close(self, wait: Duration) -> impl Future<Output = bool> + Send;
}

/// A connection for searches and orders in rattanmast's own protocol.
pub trait Searcher: Connection {
    /// Runs `search`. The future never resolves if the connection stalls, so the caller
    /// must apply a timeout.
    fn search(&mut self, search: &Search) -> impl Future<Output = Result<SearchReply>> + Send;

    /// Runs `order`, which is sent at most once.
    fn order(&mut self, order: &Order) -> impl Future<Output = Result<OrderReply>> + Send;
}

/// A call to forward to one leaf.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The identifier of this request, unique within the process.
    pub id: request::Id,
    /// The call to forward.
    pub call: Arc<forward::Call>,
    /// The leaf that must run the call; any other leaf refuses it.
    pub leaf: Name,
    /// The time at which the leaf must stop processing the call.
    pub deadline: Instant,
}

/// A connection that forwards HTTP calls without interpreting their content.
pub trait Forwarder: Connection {
    /// Forwards a call. The future never resolves if the connection stalls, so the caller
    /// must apply a timeout.
    ///
    /// Every answer of the leaf to this call is a reply, even one that reports a failure. An answer
    /// which states that the call was not begun is returned as an error, and so is one that does not
    /// name the call, after which the call may have begun.
    fn forward(&mut self, forward: &Forward)
    -> impl Future<Output = Result<forward::Reply>> + Send;
}
