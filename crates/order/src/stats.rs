//! Counters of order processing for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use rattanmast_model::outcome::Outcome;

/// Counts since the process started, and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Orders that ended as done.
    pub done: u64,
    /// Orders that ended as not run.
    pub not_run: u64,
    /// Orders that ended as unknown.
    pub unknown: u64,
    /// Duplicate requests for orders that were done before.
    pub already_done: u64,
    /// Keys that were claimed.
    pub claimed: u64,
    /// Writes to the platform: batches, checkpoint segments and checkpoints.
    pub writes: u64,
    /// Deletions in the platform.
    pub deletes: u64,
    /// Reads from the platform.
    pub reads: u64,
    /// Creates of batches that failed because the sequence number was taken. Unless the object is
    /// found to be the same batch, the claims and outcomes of the batch are queued again.
    pub conflicts: u64,
    /// Creates whose response was lost.
    pub lost_responses: u64,
    /// Keys in memory, including the orders of this process.
    pub keys: u64,
    /// Orders in flight.
    pub in_flight: u64,
}

/// The counters behind [`Stats`].
#[derive(Debug, Default)]
pub struct Counters {
    pub done: AtomicU64,
    pub not_run: AtomicU64,
    pub unknown: AtomicU64,
    pub already_done: AtomicU64,
    pub claimed: AtomicU64,
    pub writes: AtomicU64,
    pub deletes: AtomicU64,
    pub reads: AtomicU64,
    pub conflicts: AtomicU64,
    pub lost_responses: AtomicU64,
}

impl Counters {
    /// Adds one to `counter`.
    pub fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an outcome.
    pub fn count_outcome(&self, outcome: &Outcome) {
        Self::increment(match outcome {
            Outcome::Done { .. } => &self.done,
            Outcome::NotRun { .. } => &self.not_run,
            Outcome::Unknown { .. } => &self.unknown,
            Outcome::AlreadyDone { .. } => &self.already_done,
        });
    }

    /// Returns the current values of the counters.
    pub fn snapshot(&self) -> Stats {
        let get = |c: &AtomicU64| c.load(Ordering::Relaxed);
        Stats {
            done: get(&self.done),
            not_run: get(&self.not_run),
            unknown: get(&self.unknown),
            already_done: get(&self.already_done),
            claimed: get(&self.claimed),
            writes: get(&self.writes),
            deletes: get(&self.deletes),
            reads: get(&self.reads),
            conflicts: get(&self.conflicts),
            lost_responses: get(&self.lost_responses),
            keys: 0,
            in_flight: 0,
        }
    }
}
