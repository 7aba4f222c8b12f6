//! What one run does to the fleet.

use std::time::Duration;

use rattanmast_fakes::behavior;
use rattanmast_model::{config::Priority, leaf::Limits, rank::Rank};

/// Load, faults and lengths of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The load by rank, as `Rank::ALL`, in shares of the fleet's capacity.
    pub load: [f64; 3],
    /// More load of one rank that begins with the measured time.
    pub flood: Option<(Rank, f64)>,
    /// The time that callers allow, by rank.
    pub deadlines: [Duration; 3],
    /// The share of leaf requests that take 10 times as long.
    pub slow_share: f64,
    /// What happens at the begin of the measured time.
    pub event: Option<Event>,
    /// Time before anything is measured, in which latencies are learned.
    pub warm_up: Duration,
    /// The measured time, by arrival of the query.
    pub length: Duration,
    /// What searches put first; Norway's configuration says time.
    pub priority: Priority,
    /// Regions that the failure domains are spread over.
    pub regions: usize,
}

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// One replica of every tenth shard stops for good.
    ReplicaLoss,
    /// Data moves, and the next snapshot appears, every second.
    Repartition,
    /// One host falls silent.
    HostLoss,
    /// Replies are given rows of another snapshot: a fault of the harness's own, for tests.
    ForgedAnswers,
}

/// The shares of the load that each rank has, unless a case says otherwise.
pub const MIX: [f64; 3] = [0.2, 0.5, 0.3];

impl Scenario {
    /// Returns a run without faults at `load`, divided by [`MIX`].
    pub fn new(load: f64) -> Self {
        Self {
            load: MIX.map(|share| share * load),
            flood: None,
            deadlines: [100, 300, 1_000].map(Duration::from_millis),
            slow_share: 0.0,
            event: None,
            warm_up: Duration::from_secs(5),
            length: Duration::from_secs(20),
            priority: Priority::Time,
            regions: 1,
        }
    }

    /// Returns the load of all ranks, the flood included.
    pub fn total(&self) -> f64 {
        self.load.iter().sum::<f64>() + self.flood.map_or(0.0, |(_, load)| load)
    }

    /// Returns the load that the slow replies make of it, if none is cancelled.
    pub fn effective(&self) -> f64 {
        let factor = behavior::Faults::default().slow_factor;
        self.total() * self.slow_share.mul_add(factor - 1.0, 1.0)
    }
}

/// Returns the mean service time of a leaf without faults.
pub fn service_time(settings: &behavior::Settings) -> Duration {
    // The mean of a log-normal distribution.
    let factor = (settings.sigma * settings.sigma / 2.0).exp();
    settings.median.mul_f64(factor)
}

/// Returns the queries a second that a collection's slots can serve.
///
/// Each query takes one slot of each service for the mean service time.
pub fn capacity(limits: Limits, leafs: u16, settings: &behavior::Settings) -> f64 {
    let slots = f64::from(limits.slots) * f64::from(leafs);
    slots / service_time(settings).as_secs_f64()
}
