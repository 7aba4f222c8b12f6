//! Settings of a dispatcher.

use std::time::Duration;

/// Settings of a dispatcher; the defaults suit both installations.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time that a reply needs to travel back to the root; taken off each deadline.
    pub margin: Duration,
    /// Longest time to open a connection before it counts as failed.
    pub open_timeout: Duration,
    /// Longest wait for the leaf to close a connection.
    pub close_wait: Duration,
    /// Time after which a connection that was not seen to close stops counting.
    pub abandon: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            margin: Duration::from_millis(2),
            open_timeout: Duration::from_secs(1),
            close_wait: Duration::from_secs(1),
            abandon: Duration::from_secs(30),
        }
    }
}
