//! How leafs behave, and what they count.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a leaf behaves without faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The median service time.
    pub median: Duration,
    /// The standard deviation of the service time's natural logarithm.
    pub sigma: f64,
    /// Requests that may wait for a slot, per slot; more are shed.
    pub waiting: u32,
    /// Time after a restart during which the leaf is cold.
    pub cold_duration: Duration,
    /// The factor on the service time of a cold leaf.
    pub cold_factor: f64,
    /// Time after which the leaf closes a connection that has gone silent.
    pub silent_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            median: Duration::from_millis(4),
            sigma: 0.3,
            waiting: 4,
            cold_duration: Duration::from_secs(1),
            cold_factor: 3.0,
            silent_timeout: Duration::from_secs(15),
        }
    }
}

/// Faults that can be switched on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The factor on every service time.
    pub factor: f64,
    /// The share of requests that are slowed, from 0 to 1.
    pub slow_share: f64,
    /// The factor on the service time of slowed requests.
    pub slow_factor: f64,
    /// Whether requests fail at once, without work.
    pub fail_fast: bool,
    /// The share of replies after which the connection breaks instead, from 0 to 1.
    pub lose_reply: f64,
    /// The share of replies that repeat the identifier of another request, from 0 to 1.
    pub misdirect: f64,
    /// Whether the leaf reports no waiting requests whatever the truth is.
    pub mislead: bool,
    /// Whether a new connection is accepted and then stays silent.
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

/// What a leaf has counted since it was made; restarts do not reset it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Searches that got a slot.
    pub searches: u64,
    /// Orders that began.
    pub orders: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Requests that were cancelled or whose connection closed before the reply.
    pub cancelled: u64,
    /// Connections that were accepted.
    pub opened: u64,
    /// Connections that were refused because of the limit.
    pub refused: u64,
    /// The most connections at a time.
    pub most_connections: u32,
    /// Time that slots were in use, in microseconds.
    pub busy_us: u64,
}
