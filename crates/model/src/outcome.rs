//! Outcomes of orders and queries.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The outcome of an order or a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran once, for this request.
    Done {
        /// The result that the leaf returned.
        result: SmolStr,
    },
    /// No leaf began to process it.
    NotRun {
        /// Why no leaf began to process it.
        reason: Reason,
        /// A description of the failure and what to do about it.
        remedy: SmolStr,
    },
    /// It may or may not have run.
    Unknown {
        /// How to find out whether it ran.
        remedy: SmolStr,
    },
    /// An earlier request with the same key ran.
    AlreadyDone {
        /// The result that the leaf returned then, if it is still known.
        result: Option<SmolStr>,
    },
}

impl Outcome {
    /// Returns the value of the `Rattanmast-Outcome` header.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } => "unknown",
            Self::AlreadyDone { .. } => "already-done",
        }
    }
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The leafs or the hosts have no capacity for work of this rank at present.
    Overload,
    /// The remaining time was too short.
    Late,
    /// No leaf that could serve it is reachable.
    Unreachable,
    /// The platform's object store is required and does not answer.
    Store,
    /// The host is stopping.
    Stopping,
    /// The host cannot prove that its configuration is in force.
    Stale,
    /// The idempotency key or ticket is malformed, expired or not valid for this order.
    Key,
    /// The caller lacks the permission.
    Denied,
    /// The request is malformed or names something that does not exist.
    Invalid,
    /// The leaf refused the request before it began to process it, or an order was claimed but
    /// could not be sent.
    Refused,
}
