//! Ranks of work.

use serde::{Deserialize, Serialize};

/// How urgent a request is; the order of the variants is the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Served first.
    Urgent,
    /// Ordinary lookups.
    Routine,
    /// New work coming in; served last.
    Intake,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Routine, Self::Intake];

    /// Returns the position in [`Rank::ALL`], for use as an array index.
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in settings, messages and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Routine => "routine",
            Self::Intake => "intake",
        }
    }
}
