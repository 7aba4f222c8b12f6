//! The state of ranges and messages that are in flight.

use std::sync::Arc;

use rattanmast_model::{host, peer::Ask};
use tokio::time::Instant;

use crate::location::Location;

/// A request for ranges of one service, with what has been tried for it.
#[derive(Clone, Debug)]
pub(crate) struct PendingAsk {
    /// Shared with the pin, and copied once a part of the ranges has been found.
    pub(crate) ask: Arc<Ask>,
    /// Dispatchers that did not serve the request.
    pub(crate) tried_hosts: Vec<host::Name>,
    /// Services and leafs that did not hold the ranges.
    pub(crate) tried_locations: Vec<Location>,
    /// The number of retries after moved data was not found or parts were rejected; both share one
    /// limit.
    pub(crate) data_retries: u32,
    /// Whether to look up the new service before the next attempt.
    pub(crate) needs_relocation: bool,
    /// Whether the next attempt is charged to the retry budget.
    pub(crate) charged: bool,
}

impl PendingAsk {
    /// Returns the request for the first attempt at `ask`.
    pub(crate) fn new(ask: &Arc<Ask>) -> Self {
        Self {
            ask: Arc::clone(ask),
            tried_hosts: Vec::new(),
            tried_locations: Vec::new(),
            data_retries: 0,
            needs_relocation: false,
            charged: false,
        }
    }

    /// Returns the request for a retry that skips `host`.
    pub(crate) fn skipping(&self, host: &host::Name) -> Self {
        let mut pending = self.clone();
        pending.tried_hosts.push(host.clone());
        pending.charged = true;
        pending
    }
}

/// The state of a message in flight.
#[derive(Debug)]
pub(crate) struct MessageState {
    pub(crate) asks: Vec<PendingAsk>,
    pub(crate) sent_at: Instant,
    /// When the dispatcher was last known to reply to any query.
    pub(crate) last_heard: Instant,
    /// When a reply is unlikely to arrive soon.
    pub(crate) overdue_at: Instant,
    /// When to try another dispatcher if this one has replied to no query.
    pub(crate) silent_at: Instant,
    /// Whether another dispatcher was sent the same ranges.
    pub(crate) replaced: bool,
}
