//! What is kept about ranges that were asked for.

use std::sync::Arc;

use rattanmast_model::{host, peer::Ask};
use tokio::time::Instant;

use crate::place::Place;

/// What is asked of a service, and what was tried for it.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    /// Shared with the pin until some of it is found.
    pub(crate) ask: Arc<Ask>,
    /// Dispatchers that did not serve it.
    pub(crate) hosts: Vec<host::Name>,
    /// Services that did not hold it.
    pub(crate) places: Vec<Place>,
    /// How often it was looked for elsewhere.
    pub(crate) moves: u32,
    /// Whether to look for it elsewhere before it is asked for again.
    pub(crate) moved: bool,
    /// Whether asking again takes from the retry budget.
    pub(crate) charged: bool,
}

impl Item {
    /// Returns the first item for `ask`.
    pub(crate) fn new(ask: &Arc<Ask>) -> Self {
        Self {
            ask: Arc::clone(ask),
            hosts: Vec::new(),
            places: Vec::new(),
            moves: 0,
            moved: false,
            charged: false,
        }
    }

    /// Returns the item for a retry that passes over `host`.
    pub(crate) fn past(&self, host: &host::Name) -> Self {
        let mut item = self.clone();
        item.hosts.push(host.clone());
        item.charged = true;
        item
    }
}

/// What is kept about a message in flight.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) items: Vec<Item>,
    pub(crate) sent: Instant,
    /// When the dispatcher was last known to answer anybody.
    pub(crate) heard: Instant,
    /// When a reply is unlikely to arrive soon.
    pub(crate) late: Instant,
    /// When the dispatcher is passed over if it has answered nobody.
    pub(crate) silent: Instant,
    /// Whether another dispatcher was asked for the same ranges.
    pub(crate) replaced: bool,
}
