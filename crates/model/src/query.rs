//! A caller's query and its answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    catalog::Snapshot, config, leaf::Row, outcome::Outcome, range::Range, rank::Rank, trace,
};

/// A query as the root takes it.
#[derive(Clone, Debug)]
pub struct Query {
    /// The search to run.
    pub search: config::Search,
    /// The text searched for.
    pub text: SmolStr,
    /// The rank.
    pub rank: Rank,
    /// The time left; at most the search's longest wait.
    pub timeout: Duration,
    /// The position in the trace.
    pub trace: Option<trace::Context>,
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The one snapshot that all rows come from.
    pub snapshot: Snapshot,
    /// The share of the snapshot's records that was searched, from 0 to 1.
    pub coverage: f64,
    /// The records searched.
    pub records: u64,
    /// The records of the snapshot.
    pub total: u64,
    /// The keys that were not searched, in ascending order.
    pub missing: Vec<Range>,
    /// The matching records, sorted, each once.
    pub rows: Vec<Row>,
    /// What the hops took.
    pub hops: Vec<Hop>,
    /// Requests sent to leafs, hedges and retries included.
    pub sent: u32,
    /// Requests to leafs that the answer needed.
    pub needed: u32,
}

/// What one sub-query took.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The dispatcher.
    pub host: SmolStr,
    /// Time from sending to reply as the root saw it, in microseconds.
    pub total_us: u64,
    /// Time that the dispatcher's slowest part took, in microseconds.
    pub leaf_us: u64,
}

/// Why there is no answer; always an outcome that is true of the query.
pub type Refusal = Outcome;
