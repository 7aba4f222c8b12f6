//! Queries of callers and their answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    catalog::Snapshot, config, leaf::Row, outcome::Outcome, range::Range, rank::Rank, trace,
};

/// A query, as the root host receives it.
#[derive(Clone, Debug)]
pub struct Query {
    /// The search to run.
    pub search: config::Search,
    /// The text to search for.
    pub text: SmolStr,
    /// The rank of the query.
    pub rank: Rank,
    /// The remaining time; at most the search's maximum wait.
    pub timeout: Duration,
    /// The trace context, if the request is traced.
    pub trace: Option<trace::Context>,
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The snapshot that all rows were read from.
    pub snapshot: Snapshot,
    /// The fraction of the snapshot's records that was searched, from 0 to 1.
    pub coverage: f64,
    /// The number of records searched.
    pub records: u64,
    /// The number of records in the snapshot.
    pub total: u64,
    /// The key ranges that were not searched, in ascending order.
    pub missing: Vec<Range>,
    /// The matching records, sorted and without duplicates.
    pub rows: Vec<Row>,
    /// The durations of the sub-queries.
    pub hops: Vec<Hop>,
    /// The number of requests sent to leafs, including hedges and retries.
    pub sent: u32,
    /// The number of requests to leafs that the answer required.
    pub needed: u32,
}

/// The duration of one sub-query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The name of the dispatcher.
    pub host: SmolStr,
    /// The time from sending the sub-query to its reply, measured at the root, in microseconds.
    pub total_us: u64,
    /// The duration of the dispatcher's slowest part, in microseconds.
    pub leaf_us: u64,
}

/// Why a query has no answer, as an outcome that holds for the whole query.
pub type Refusal = Outcome;
