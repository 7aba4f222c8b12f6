//! Settings of a node.

use std::{net::SocketAddr, time::Duration};

/// Settings of a node; the defaults are those of the design page.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Exchange addresses of hosts to ask before a roster is known.
    pub seeds: Vec<SocketAddr>,
    /// Time between exchanges with a random host.
    pub exchange_interval: Duration,
    /// Time between a watcher's reads of the version.
    pub version_interval: Duration,
    /// Time that a watch waits at the platform.
    pub watch_wait: Duration,
    /// Time that a host has for a reply; several times the round trip between regions (24 ms).
    pub reply_timeout: Duration,
    /// Time that a host has to send objects.
    pub fetch_timeout: Duration,
    /// Time that the platform has to answer a read of the version.
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
