//! Load and faults of one run.

use std::time::Duration;

use rattanmast_fakes::behavior;
use rattanmast_model::{config::Priority, leaf::Limits, rank::Rank};

/// Load, faults and timing of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Load by rank, in the order of `Rank::ALL`, as shares of the fleet's capacity.
    pub load: [f64; 3],
    /// Additional load of one rank during the measured time.
    pub flood: Option<(Rank, f64)>,
    /// Query deadlines by rank.
    pub deadlines: [Duration; 3],
    /// The share of leaf requests that take 10 times as long.
    pub slow_share: f64,
    /// The event at the start of the measured time.
    pub event: Option<Event>,
    /// Warm-up before the measured time, in which the policies learn latencies.
    pub warm_up: Duration,
    /// The measured time; a query belongs to it by its arrival.
    pub length: Duration,
    /// Whether searches favor time or coverage; the Norway preset favors time.
    pub priority: Priority,
    /// Number of regions that the failure domains are spread over.
    pub regions: usize,
}

/// An event during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// One replica of every tenth shard stops permanently.
    ReplicaLoss,
    /// Every second, data moves and a new snapshot is published.
    Repartition,
    /// One host stops communicating.
    HostLoss,
    /// Answers are altered to claim another snapshot and more records, to test the audit.
    ForgedAnswers,
}

/// Default share of each rank in the total load, in the order of `Rank::ALL`.
pub const DEFAULT_LOAD_SHARES: [f64; 3] = [0.2, 0.5, 0.3];

impl Scenario {
    /// Returns a run without faults at `load`, split over the ranks by [`DEFAULT_LOAD_SHARES`].
    pub fn new(load: f64) -> Self {
        Self {
            load: DEFAULT_LOAD_SHARES.map(|share| share * load),
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

    /// Returns the load of all ranks, including the flood.
    pub fn total(&self) -> f64 {
        self.load.iter().sum::<f64>() + self.flood.map_or(0.0, |(_, load)| load)
    }

    /// Returns the total load including the extra time of slow replies, if none is cancelled.
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

/// Returns the queries per second that a collection's slots can serve.
///
/// Each query occupies one slot of each service for the mean service time.
pub fn capacity(limits: Limits, leafs: u16, settings: &behavior::Settings) -> f64 {
    let slots = f64::from(limits.slots) * f64::from(leafs);
    slots / service_time(settings).as_secs_f64()
}
