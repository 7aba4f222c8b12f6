//! Dispatcher counters, exported as metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters since the start of the process, and gauges of the current state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests sent to leafs: first attempts, hedges, retries and orders.
    pub sent: u64,
    /// Attempts paid from the hedge budget because the first one was slow or failed.
    pub hedges: u64,
    /// Retries because a connection was silent, a leaf had not begun or lacked data, or a
    /// forwarded call failed.
    pub retries: u64,
    /// Requests that were cancelled at a leaf.
    pub cancelled: u64,
    /// Requests that leafs shed.
    pub sheds: u64,
    /// Requests that leafs failed, or whose connection broke.
    pub errors: u64,
    /// Requests refused because the expected wait was too long.
    pub refused: u64,
    /// Requests dropped because they could no longer meet their deadline.
    pub late: u64,
    /// Replies that did not match their request.
    pub mismatches: u64,
    /// Connections on which the leaf stopped answering.
    pub silent_connections: u64,
    /// Connections opened.
    pub opened: u64,
    /// Connections that could not be opened.
    pub failed_opens: u64,
    /// Connections that count against this host's shares of the leafs' connections, closing and
    /// silent ones included.
    pub open_connections: u64,
    /// Queued requests, by rank.
    pub queued: [u64; 3],
    /// Requests in flight at leafs.
    pub in_flight: u64,
    /// Hedges left in the budgets of all services.
    pub hedge_credit: u64,
    /// Services whose hedge budget is spent.
    pub services_without_hedges: u64,
    /// Longest expected wait of any service, by rank, in microseconds.
    pub waits_us: [u64; 3],
    /// Time at leafs that requests have used, by rank, in microseconds.
    pub slot_us: [u64; 3],
}

#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The counters of one dispatcher.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) sent: Counter,
    pub(crate) hedges: Counter,
    pub(crate) retries: Counter,
    pub(crate) cancelled: Counter,
    pub(crate) sheds: Counter,
    pub(crate) errors: Counter,
    pub(crate) refused: Counter,
    pub(crate) late: Counter,
    pub(crate) mismatches: Counter,
    pub(crate) silent_connections: Counter,
    pub(crate) opened: Counter,
    pub(crate) failed_opens: Counter,
    pub(crate) slot_us: [Counter; 3],
}

impl Counters {
    /// Returns the counters; the gauges are zero.
    pub(crate) fn stats(&self) -> Stats {
        Stats {
            sent: self.sent.get(),
            hedges: self.hedges.get(),
            retries: self.retries.get(),
            cancelled: self.cancelled.get(),
            sheds: self.sheds.get(),
            errors: self.errors.get(),
            refused: self.refused.get(),
            late: self.late.get(),
            mismatches: self.mismatches.get(),
            silent_connections: self.silent_connections.get(),
            opened: self.opened.get(),
            failed_opens: self.failed_opens.get(),
            slot_us: [0, 1, 2].map(|i| self.slot_us[i].get()),
            ..Stats::default()
        }
    }
}
