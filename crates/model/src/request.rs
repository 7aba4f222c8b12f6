//! Identifiers of requests.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

use crate::host;

/// Identifies a request; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// A hash of the name of the host that made the identifier.
    pub host: u64,
    /// The process run that made it.
    pub incarnation: host::Incarnation,
    /// The number within that run.
    pub sequence: u64,
}

/// Makes identifiers for one process run.
#[derive(Debug)]
pub struct Sequence {
    host: u64,
    incarnation: host::Incarnation,
    next: AtomicU64,
}

impl Sequence {
    /// Returns a source of identifiers for the process run `incarnation` of `host`.
    pub fn new(host: &str, incarnation: host::Incarnation) -> Self {
        Self {
            host: crate::hash::stable([host.as_bytes()]),
            incarnation,
            next: AtomicU64::new(1),
        }
    }

    /// Returns an identifier that was not returned before.
    pub fn next(&self) -> Id {
        Id {
            host: self.host,
            incarnation: self.incarnation,
            sequence: self.next.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Returns the process run that the identifiers belong to.
    pub fn incarnation(&self) -> host::Incarnation {
        self.incarnation
    }
}
