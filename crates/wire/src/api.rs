//! Message bodies of the HTTP interface for callers and operators.

use rattanmast_model::{outcome::Outcome, query::Answer, rank::Rank};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The response header that carries [`Outcome::name`].
pub const OUTCOME_HEADER: &str = "rattanmast-outcome";

/// The request header that carries the caller's idempotency key of an order.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Maximum size of a caller's request body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// The body of `POST /v1/searches/<name>`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Search {
    /// The text to search for.
    pub text: SmolStr,
    /// The rank; defaults to routine.
    #[serde(default = "default_rank")]
    pub rank: Rank,
    /// The maximum time to wait, in milliseconds; defaults to the longest wait of the search.
    #[serde(default)]
    pub timeout_ms: Option<u32>,
}

/// The body of `POST /v1/orders/<collection>`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The action to run.
    pub action: SmolStr,
    /// The record that the action applies to.
    pub record: SmolStr,
    /// The rank; defaults to routine.
    #[serde(default = "default_rank")]
    pub rank: Rank,
    /// The maximum time to wait, in milliseconds; defaults to 2 seconds.
    #[serde(default)]
    pub timeout_ms: Option<u32>,
}

const fn default_rank() -> Rank {
    Rank::Routine
}

/// The response body of a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchReply {
    /// Always `done`.
    pub outcome: SmolStr,
    /// The merged result of the search.
    #[serde(flatten)]
    pub answer: Answer,
    /// Time that the request took at the root, in microseconds.
    pub total_us: u64,
}

/// The response body of `POST /v1/tickets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The value for the `Idempotency-Key` header of an order.
    pub ticket: SmolStr,
}

/// A problem document (RFC 9457) with the outcome of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A short summary, the same for all problems of a kind.
    pub title: SmolStr,
    /// The HTTP status.
    pub status: u16,
    /// An explanation specific to this request.
    pub detail: SmolStr,
    /// Whether the request ran, and how the caller can recover.
    #[serde(flatten)]
    pub outcome: Outcome,
}
