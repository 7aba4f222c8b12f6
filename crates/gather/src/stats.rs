//! Counters for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// A monotonic counter.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of a root since its start.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct Stats {
            $($(#[$doc])* pub $name: u64,)*
        }

        /// The live counters behind [`Stats`].
        #[derive(Debug, Default)]
        pub(crate) struct Counters {
            $(pub(crate) $name: Counter,)*
        }

        impl Counters {
            /// Returns the current counts.
            pub(crate) fn read(&self) -> Stats {
                Stats { $($name: self.$name.get(),)* }
            }
        }

        impl Stats {
            /// Returns the names and values of the counters, for metrics.
            pub fn fields(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

counters! {
    /// Queries received.
    queries,
    /// Queries answered from the whole key space.
    whole,
    /// Queries with a partial answer.
    partial,
    /// Queries refused before any leaf began.
    not_run,
    /// Queries that ended without an answer after a leaf may have begun.
    unknown,
    /// Queries refused by admission before any message was sent.
    refused,
    /// Queries refused because too many of their rank were in flight.
    crowded,
    /// Queries that restarted at a newer snapshot.
    restarts,
    /// Sub-queries sent, including retries.
    subqueries,
    /// Sub-queries sent again for missing ranges.
    retries,
    /// Retries that the budget did not allow.
    unaffordable,
    /// Replies dropped because they matched no open request.
    unmatched,
    /// Parts of replies that were not accepted.
    rejected,
}
