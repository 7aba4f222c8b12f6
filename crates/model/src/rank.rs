//! Priority classes of requests.

use serde::{Deserialize, Serialize};

/// The priority class of a request; variants are in the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Urgent work; served first.
    Urgent,
    /// Ordinary lookups.
    Routine,
    /// Intake of new work; served last.
    Intake,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Routine, Self::Intake];

    /// Returns the index of the rank in [`Rank::ALL`].
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
