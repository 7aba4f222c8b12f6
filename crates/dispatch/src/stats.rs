//! Counters for metrics.

/// Counters since the start, and gauges of the present state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests sent to leafs: first tries, hedges, repeats and orders.
    pub sent: u64,
    /// Searches sent a second time while the first was still open, or after it failed.
    pub hedges: u64,
    /// Requests that leafs shed.
    pub sheds: u64,
    /// Requests that leafs failed, or whose connection broke.
    pub errors: u64,
    /// Searches refused because the expected wait was too long.
    pub refused: u64,
    /// Searches dropped because they could no longer be in time.
    pub late: u64,
    /// Replies that did not match their request.
    pub mismatches: u64,
    /// Connections that were found silent.
    pub silent: u64,
    /// Connections that count against the shares now, closing and silent ones included.
    pub open_connections: u64,
    /// Requests that wait now, by rank.
    pub queued: [u64; 3],
    /// Requests at leafs now.
    pub in_flight: u64,
    /// Longest expected wait of any service now, by rank, in microseconds.
    pub waits_us: [u64; 3],
}
