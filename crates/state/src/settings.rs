//! Addresses and intervals that control the propagation of state.

use std::{net::SocketAddr, time::Duration};

/// Settings of a [`Node`](crate::node::Node).
#[derive(Clone, Debug)]
pub struct Settings {
    /// Exchange addresses of the hosts to contact before a roster is known.
    pub seeds: Vec<SocketAddr>,
    /// Interval between exchanges with a random host.
    pub exchange_interval: Duration,
    /// Interval between a watcher's reads of the configuration version.
    pub version_interval: Duration,
    /// Maximum time that a watch call blocks at the platform.
    pub watch_wait: Duration,
    /// Timeout for a reply of a host; several times the 24 ms round-trip time between regions.
    pub reply_timeout: Duration,
    /// Timeout for fetching objects from a host.
    pub fetch_timeout: Duration,
    /// Timeout for a read of the configuration version from the platform.
    pub platform_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            exchange_interval: Duration::from_millis(500),
            version_interval: Duration::from_secs(1),
            watch_wait: Duration::from_secs(30),
            reply_timeout: Duration::from_millis(250),
            fetch_timeout: Duration::from_secs(2),
            platform_timeout: Duration::from_millis(500),
        }
    }
}
