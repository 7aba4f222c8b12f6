//! Request identifiers.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

use crate::host;

/// The unique identifier of a request; it is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The hash of the name of the host that generated the identifier.
    pub host: u64,
    /// The incarnation of that host.
    pub incarnation: host::Incarnation,
    /// The sequence number within the incarnation, from 1.
    pub sequence: u64,
}

/// A generator of request identifiers for one incarnation of a host.
#[derive(Debug)]
pub struct Generator {
    host: u64,
    incarnation: host::Incarnation,
    next: AtomicU64,
}

impl Generator {
    /// Returns a generator of identifiers that are unique to the given incarnation of `host`.
    pub fn new(host: &str, incarnation: host::Incarnation) -> Self {
        Self {
            host: crate::hash::stable([host.as_bytes()]),
            incarnation,
            next: AtomicU64::new(1),
        }
    }

    /// Returns a new identifier.
    pub fn next(&self) -> Id {
        Id {
            host: self.host,
            incarnation: self.incarnation,
            sequence: self.next.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Returns the incarnation that the identifiers belong to.
    pub fn incarnation(&self) -> host::Incarnation {
        self.incarnation
    }
}
