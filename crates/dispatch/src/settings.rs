//! Settings of a dispatcher.

use std::time::Duration;

use rattanmast_model::wall::Wall;

use crate::hedge;

/// Which hosts dispatch to which services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spread {
    /// A few candidates for each service, in the whole fleet.
    Candidates,
    /// Every host to every service, with an equal share of the connections.
    Everyone,
    /// Every host where connections suffice, otherwise one of each failure domain.
    Domain,
}

/// Settings of a dispatcher; the defaults suit both installations.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time that a reply needs to travel back to the root; taken off each deadline.
    pub margin: Duration,
    /// Longest time to open a connection before it counts as failed.
    pub open_timeout: Duration,
    /// Longest wait for the leaf to close a connection.
    pub close_timeout: Duration,
    /// Time after which a connection that was not seen to close stops counting.
    ///
    /// It must exceed the time after which leafs close silent connections themselves.
    pub abandon_timeout: Duration,
    /// Time that requests in flight have when the host stops dispatching to a service.
    ///
    /// Connections must be closed 3 s after that.
    pub retire_timeout: Duration,
    /// Time after which an idle connection beyond the warm ones is closed.
    pub idle_timeout: Duration,
    /// Factor on the expected wait when a request is refused early.
    pub headroom: f64,
    /// Which hosts dispatch to which services.
    pub spread: Spread,
    /// Time that a request goes on when its answer is no longer needed, where only closing its
    /// connection cancels it: a reply that is near costs less than another connection.
    pub linger: Duration,
    /// Second requests allowed to one service; unless candidates dispatch, of all hosts together.
    pub hedges: hedge::Budget,
    /// The wall clock that `not_after_ms` is compared with.
    pub wall: Wall,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            margin: Duration::from_millis(2),
            open_timeout: Duration::from_secs(1),
            close_timeout: Duration::from_secs(1),
            abandon_timeout: Duration::from_secs(30),
            retire_timeout: Duration::from_millis(1_500),
            idle_timeout: Duration::from_secs(10),
            headroom: 1.2,
            spread: Spread::Candidates,
            linger: Duration::from_millis(20),
            hedges: hedge::Budget::default(),
            wall: Wall::System,
        }
    }
}
