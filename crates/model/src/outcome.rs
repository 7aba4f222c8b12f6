//! What became of a request.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What became of an order or a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, now, once.
    Done {
        /// What the leaf returned.
        result: SmolStr,
    },
    /// No leaf began it.
    NotRun {
        /// Why.
        reason: Reason,
        /// What went wrong, and what to do about it.
        remedy: SmolStr,
    },
    /// It may have run.
    Unknown {
        /// How to find out.
        remedy: SmolStr,
    },
    /// An earlier request with the same key ran.
    AlreadyDone {
        /// What the leaf returned then, where it is still known.
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
    /// The fleet has no room for work of this rank now.
    Overload,
    /// The time left was too short.
    Late,
    /// No leaf that could serve it is reachable.
    Unreachable,
    /// The platform's store is needed and does not answer.
    Store,
    /// The host is stopping.
    Stopping,
    /// The host cannot prove that its configuration is in force.
    Stale,
    /// The idempotency key is older than the remembered window, or malformed.
    Key,
    /// The caller has no right to it.
    Denied,
    /// The request was malformed or named something that does not exist.
    Invalid,
    /// The leaf refused it before it began.
    Refused,
}
