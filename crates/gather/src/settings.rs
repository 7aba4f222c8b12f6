//! Settings of the root.

use std::time::Duration;

/// Limits and timeouts of the root.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Limit of queries in flight by rank, in the order of `Rank::ALL`.
    pub max_in_flight: [usize; 3],
    /// Limit of rows held for one query; parts that exceed it are reported as missing.
    pub max_rows: usize,
    /// Minimum time reserved for the round trip to a dispatcher.
    pub min_hop_margin: Duration,
    /// Time left, beyond `min_hop_margin`, below which missing ranges are not requested again;
    /// used until response times are known.
    pub min_retry_time: Duration,
    /// Time without a reply to any query after which another dispatcher is tried.
    pub silence_timeout: Duration,
    /// Minimum time before a sub-query counts as overdue, as a share of the time that its query has
    /// left when it is sent; applies even if time has priority.
    pub min_wait_share: f64,
    /// Maximum random delay before a retry.
    pub max_retry_jitter: Duration,
    /// Base of the backoff before moved data is requested again; it doubles with each attempt.
    pub relocation_backoff: Duration,
    /// Retries added to the budget per sub-query that succeeded.
    pub retry_share: f64,
    /// Capacity of the retry budget, which starts full.
    pub retry_capacity: f64,
    /// Expected wait, as a share of the time left, above which queries are refused at random.
    pub soft_wait_share: f64,
    /// Expected wait, as a share of the time left, above which all queries but probes are
    /// refused.
    pub hard_wait_share: f64,
    /// Interval, per rank, of probes: queries admitted in spite of their expected wait.
    pub probe_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // 530,000 queries a second over 2,200 hosts at 100 ms each are 24 in flight per host.
            max_in_flight: [512, 256, 128],
            max_rows: 100_000,
            // The one-way latency between failure domains is about 1.5 ms.
            min_hop_margin: Duration::from_millis(4),
            // A round trip between failure domains and a short search.
            min_retry_time: Duration::from_millis(5),
            silence_timeout: Duration::from_millis(30),
            // Without this minimum, 2% of answers were partial without any fault, after 20% of
            // their time.
            min_wait_share: 0.25,
            max_retry_jitter: Duration::from_millis(2),
            relocation_backoff: Duration::from_millis(5),
            retry_share: 0.1,
            retry_capacity: 20.0,
            // Dispatchers refuse from about two thirds on, but then other parts of the query have
            // begun. The root refuses well before that, because its reports lag behind.
            soft_wait_share: 0.2,
            hard_wait_share: 0.4,
            probe_interval: Duration::from_millis(100),
        }
    }
}
