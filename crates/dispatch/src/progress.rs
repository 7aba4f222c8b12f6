//! Progress of a sub-query.

use std::sync::atomic::{AtomicU32, Ordering};

/// Counts the services of a sub-query that are done.
#[derive(Debug, Default)]
pub(crate) struct Progress(AtomicU32);

impl Progress {
    pub(crate) fn finish(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn done(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}
