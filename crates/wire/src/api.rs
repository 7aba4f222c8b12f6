//! Bodies of the callers' and operators' HTTP interface.

use rattanmast_model::{outcome::Outcome, query::Answer, rank::Rank};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The header that carries [`Outcome::name`] in every answer.
pub const OUTCOME: &str = "rattanmast-outcome";

/// The header that carries a caller's key for an order.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The largest body that a caller may send, in bytes.
pub const BODY_LIMIT: usize = 64 << 10;

/// The body of `POST /v1/searches/<name>`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Search {
    /// The text searched for.
    pub text: SmolStr,
    /// The rank; routine if left out.
    #[serde(default = "routine")]
    pub rank: Rank,
    /// The time to wait at most, in milliseconds; the search's longest wait if left out.
    #[serde(default)]
    pub timeout_ms: Option<u32>,
}

/// The body of `POST /v1/orders/<collection>`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// What to do.
    pub action: SmolStr,
    /// The record to do it to.
    pub record: SmolStr,
    /// The rank; routine if left out.
    #[serde(default = "routine")]
    pub rank: Rank,
    /// The time to wait at most, in milliseconds; 2 seconds if left out.
    #[serde(default)]
    pub timeout_ms: Option<u32>,
}

const fn routine() -> Rank {
    Rank::Routine
}

/// The answer to a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Found {
    /// Always `done`.
    pub outcome: SmolStr,
    /// The answer.
    #[serde(flatten)]
    pub answer: Answer,
    /// Time that the root took, in microseconds.
    pub total_us: u64,
}

/// The answer to `POST /v1/tickets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The value to send as `Idempotency-Key`.
    pub ticket: SmolStr,
}

/// A problem document (RFC 9457) with the outcome of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A short text that is equal for all problems of a kind.
    pub title: SmolStr,
    /// The HTTP status.
    pub status: u16,
    /// What was wrong with this request.
    pub detail: SmolStr,
    /// Whether the request ran, and what to do about it.
    #[serde(flatten)]
    pub outcome: Outcome,
}
