//! Settings of the root.

use std::time::Duration;

/// The limits that the root keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The most queries in flight at a time, by rank, as `Rank::ALL`.
    pub in_flight: [usize; 3],
    /// The most rows held for one query; parts beyond it are reported missing.
    pub rows: usize,
    /// The least time kept back for the way to a dispatcher and back.
    pub hop_margin: Duration,
    /// The least time left at which missing ranges are asked again.
    pub least_time: Duration,
    /// Time without a reply after which a dispatcher that answers nobody is passed over.
    pub patience: Duration,
    /// The share of its time that a query waits for late parts even if time goes first.
    pub least_wait: f64,
    /// The longest random delay before a retry.
    pub jitter: Duration,
    /// The delay before moved data is asked for again; it doubles each time.
    pub move_delay: Duration,
    /// Retries allowed per sub-query that succeeded.
    pub retry_share: f64,
    /// The most retries that can be saved up; also what a new process starts with.
    pub retry_burst: f64,
    /// The share of the time left from which on expected waits are refused at random.
    pub soft_wait: f64,
    /// The share of the time left from which on expected waits are always refused.
    pub hard_wait: f64,
    /// The time between queries that are admitted in spite of the expected wait, per rank.
    pub probe: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // 530,000 queries a second over 2,200 hosts at 100 ms each are 24 in flight.
            in_flight: [512, 256, 128],
            rows: 100_000,
            // One way between failure domains takes about 1.5 ms.
            hop_margin: Duration::from_millis(4),
            // Two ways between failure domains and a short search.
            least_time: Duration::from_millis(5),
            patience: Duration::from_millis(30),
            // Without it 2% of answers were partial with no fault, at 20% of their time.
            least_wait: 0.25,
            jitter: Duration::from_millis(2),
            move_delay: Duration::from_millis(5),
            retry_share: 0.1,
            retry_burst: 20.0,
            // Dispatchers refuse from about two thirds on, after other parts of the query
            // have begun. The root refuses well before, because its reports are late.
            soft_wait: 0.2,
            hard_wait: 0.4,
            probe: Duration::from_millis(100),
        }
    }
}
