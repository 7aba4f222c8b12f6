//! Settings, faults and counters of a leaf.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Behavior of a leaf without faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The median service time.
    pub median: Duration,
    /// The standard deviation of the service time's natural logarithm.
    pub sigma: f64,
    /// The maximum queue length per slot; requests beyond it are shed.
    pub max_queued_per_slot: u32,
    /// The time after a restart during which the leaf is cold (slower).
    pub cold_duration: Duration,
    /// The factor by which a cold leaf's service time is multiplied.
    pub cold_factor: f64,
    /// The time after which the leaf closes a silent connection.
    pub silent_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            median: Duration::from_millis(4),
            sigma: 0.3,
            max_queued_per_slot: 4,
            cold_duration: Duration::from_secs(1),
            cold_factor: 3.0,
            silent_timeout: Duration::from_secs(15),
        }
    }
}

/// Faults that can be injected into a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The factor by which every service time is multiplied.
    pub factor: f64,
    /// The share of requests that are slowed, from 0 to 1.
    pub slow_share: f64,
    /// The additional factor for slowed requests.
    pub slow_factor: f64,
    /// Whether requests fail immediately, without doing any work.
    pub fail_fast: bool,
    /// The share of replies that are lost because the connection breaks, from 0 to 1.
    pub lose_reply: f64,
    /// The share of replies that carry the identifier of the previous request, from 0 to 1.
    pub misdirect: f64,
    /// Whether the leaf always reports an empty queue.
    pub mislead: bool,
    /// Whether new connections are accepted but never answered.
    pub silent_new: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            factor: 1.0,
            slow_share: 0.0,
            slow_factor: 10.0,
            fail_fast: false,
            lose_reply: 0.0,
            misdirect: 0.0,
            mislead: false,
            silent_new: false,
        }
    }
}

/// Counters of a leaf; a restart does not reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Searches that got a slot.
    pub searches: u64,
    /// Orders that began to run.
    pub orders: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Requests that were cancelled or whose connection closed before the reply.
    pub cancelled: u64,
    /// Connections that were accepted.
    pub opened: u64,
    /// Connections that were refused because the connection limit was reached.
    pub refused: u64,
    /// The maximum number of concurrent connections.
    pub most_connections: u32,
    /// The total time that slots were in use, in microseconds.
    pub busy_us: u64,
}
