//! Times and bounds of orders.

use std::time::Duration;

use rattanmast_model::{peer, wall::Wall};

/// Partitions of the claim log.
///
/// All hosts of a fleet must agree on it, because a key is claimed in one partition only.
pub const PARTITIONS: u16 = 2;

/// How long after its claim an order may be sent.
///
/// All hosts of a fleet must agree on it, because the age of messages is told from it.
pub const CLAIM_TTL: Duration = Duration::from_millis(peer::CLAIM_TTL_MS);

/// Times and bounds of orders; the defaults are those of the design page.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long keys and tickets are remembered.
    pub window: Duration,
    /// How far in the future the time in a key may be, for clocks of callers that are ahead.
    pub ahead: Duration,
    /// The least time between two writes to a partition.
    pub interval: Duration,
    /// How long an outcome waits for a batch of claims to be written with.
    pub flush: Duration,
    /// The longest wait for one call to the platform.
    pub call: Duration,
    /// The most keys that are remembered for a partition.
    pub keys: usize,
    /// Batches of a partition after which they are merged into a checkpoint.
    pub checkpoint: u64,
    /// The longest that a partition's keys stay in memory without use.
    pub idle: Duration,
    /// How long batches are kept after a checkpoint covers them.
    pub keep: Duration,
    /// The wall clock.
    pub wall: Wall,
    /// Checks that the mutation tests switch off; not for use.
    #[doc(hidden)]
    pub mutation: Mutation,
}

/// Checks that are switched off to show that the tests notice; not for use.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// All checks are made.
    #[default]
    None,
    /// Orders are sent without a claim.
    Claim,
    /// Any batch found at the sequence number of an own one is taken for it.
    Nonce,
    /// The age of the claim is not checked before the order is sent.
    Right,
    /// A create is not checked against the checkpoint after a pause.
    Proof,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            ahead: Duration::from_secs(60),
            interval: Duration::from_millis(100),
            flush: Duration::from_millis(500),
            call: Duration::from_secs(1),
            keys: 400_000,
            checkpoint: 200,
            idle: Duration::from_secs(120),
            keep: Duration::from_secs(60),
            wall: Wall::default(),
            mutation: Mutation::None,
        }
    }
}

/// Returns `duration` in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
