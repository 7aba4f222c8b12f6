//! Timeouts and limits of order processing.

use std::time::Duration;

use rattanmast_model::{clock::Clock, peer};

/// Number of partitions of the claim log.
///
/// Must be equal on all hosts of a fleet, because a key is claimed in one partition only.
pub const PARTITION_COUNT: u16 = 2;

/// Time after the claim of its key within which an order may be sent.
///
/// Must be equal on all hosts of a fleet, because receivers derive the age of a message from it.
pub const CLAIM_TTL: Duration = Duration::from_millis(peer::CLAIM_TTL_MS);

/// Timeouts and limits of order processing; the design page describes the defaults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time for which a key or a ticket is accepted and its outcome kept.
    pub idempotency_window: Duration,
    /// How far in the future the time in a key may be, to allow for callers' clocks.
    pub max_clock_skew: Duration,
    /// Minimum time between two writes to a partition.
    pub write_interval: Duration,
    /// Maximum time for which an outcome waits to share a batch with claims.
    pub max_flush_delay: Duration,
    /// Timeout of one call to the platform store.
    pub store_timeout: Duration,
    /// Maximum number of keys in a partition; further claims are refused.
    pub max_keys: usize,
    /// Number of batches after which a partition's log is compacted into a checkpoint.
    pub checkpoint_batches: u64,
    /// Time without requests after which a partition's keys are dropped from memory.
    pub idle_timeout: Duration,
    /// Delay before batches that a checkpoint covers are deleted.
    pub delete_delay: Duration,
    /// The wall clock.
    pub wall: Clock,
    /// The check that a mutation test disables; for tests only.
    #[doc(hidden)]
    pub mutation: Mutation,
}

/// The check that a mutation test disables, to show that the tests detect its absence; for tests
/// only. Each variant says what happens without the check.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// No check is disabled.
    #[default]
    None,
    /// Orders are sent without a claim.
    Claim,
    /// Any batch found at the sequence number of an own batch is taken for that batch.
    Nonce,
    /// The age of the claim is not checked before the order is sent.
    ClaimAge,
    /// A created batch is not checked against the checkpoint after a pause.
    Proof,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            idempotency_window: Duration::from_secs(600),
            max_clock_skew: Duration::from_secs(60),
            write_interval: Duration::from_millis(100),
            max_flush_delay: Duration::from_millis(500),
            store_timeout: Duration::from_secs(1),
            max_keys: 400_000,
            checkpoint_batches: 200,
            idle_timeout: Duration::from_secs(120),
            delete_delay: Duration::from_secs(60),
            wall: Clock::default(),
            mutation: Mutation::None,
        }
    }
}

/// Returns `duration` in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
