//! Dispatcher settings.

use std::time::Duration;

use rattanmast_model::clock::Clock;

use crate::hedge;

/// Selects the hosts that dispatch to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spread {
    /// A few candidates for each service, chosen from the whole fleet.
    Candidates,
    /// Every host to every service, with an equal share of the connections.
    AllHosts,
    /// Every host if there are enough connections, otherwise one host of each failure domain.
    Domain,
}

/// Settings of a dispatcher; the defaults suit both installations.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Network time of a reply to the root; subtracted from each deadline.
    pub reply_margin: Duration,
    /// Time after which opening a connection counts as failed.
    pub open_timeout: Duration,
    /// Maximum wait for the leaf to close a connection.
    pub close_timeout: Duration,
    /// Time after which a connection stops counting if its close was not observed.
    ///
    /// It must exceed the time after which leafs close silent connections themselves.
    pub abandon_timeout: Duration,
    /// Time for requests in flight to finish after the host stops dispatching to a service.
    ///
    /// It must be well below 3 s: that long after the stop, the connections must be closed.
    pub retire_timeout: Duration,
    /// Time after which an idle connection is closed, except for the warm ones.
    pub idle_timeout: Duration,
    /// Safety factor on the expected wait when deciding whether to refuse a request.
    pub headroom: f64,
    /// The hosts that dispatch to a service.
    pub spread: Spread,
    /// Time for which an abandoned request continues if only closing its connection cancels it.
    ///
    /// An imminent reply costs less than a new connection.
    pub linger: Duration,
    /// Hedge budget for one service; divided among the hosts, or the failure domains, that share
    /// the limits of its leafs. Candidates of the whole fleet each have the full budget.
    pub hedges: hedge::Budget,
    /// The wall clock that `not_after_ms` is compared with.
    pub wall: Clock,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reply_margin: Duration::from_millis(2),
            open_timeout: Duration::from_secs(1),
            close_timeout: Duration::from_secs(1),
            abandon_timeout: Duration::from_secs(30),
            retire_timeout: Duration::from_millis(1_500),
            idle_timeout: Duration::from_secs(10),
            headroom: 1.2,
            spread: Spread::Candidates,
            linger: Duration::from_millis(20),
            hedges: hedge::Budget::default(),
            wall: Clock::System,
        }
    }
}
