//! The connections of this host to one leaf.

use std::time::Duration;

use rattanmast_model::leaf::Connection;
use tokio::time::Instant;

/// First delay before the next connection after a leaf closed one before its first use.
const INITIAL_OPEN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_OPEN_BACKOFF: Duration = Duration::from_secs(2);

/// A connection that no request uses.
#[derive(Debug)]
struct Idle<L> {
    connection: L,
    idle_since: Instant,
    /// Whether a request has been answered on it.
    used: bool,
}

/// The connections to one leaf.
///
/// Each counts against this host's share of the leaf's connections until it is known to be closed.
#[derive(Debug)]
pub(crate) struct Pool<L> {
    share: u32,
    idle: Vec<Idle<L>>,
    /// Idle, busy, opening, closing and silent connections.
    total: u32,
    /// Closing and silent connections.
    closing: u32,
    /// Opening is suspended until then, because the leaf closed an unused connection, as it does
    /// with connections beyond its limit.
    no_open_until: Option<Instant>,
    open_backoff: Duration,
}

impl<L: Connection> Pool<L> {
    pub(crate) fn new(share: u32) -> Self {
        Self {
            share,
            idle: Vec::new(),
            total: 0,
            closing: 0,
            no_open_until: None,
            open_backoff: INITIAL_OPEN_BACKOFF,
        }
    }

    /// Sets the maximum number of connections; returns idle ones that exceed it and must be closed.
    pub(crate) fn set_share(&mut self, share: u32) -> Vec<L> {
        self.share = share;
        let active = self.total - self.closing;
        self.take_idle(active.saturating_sub(share))
    }

    /// Removes up to `count` idle connections, the least recently used first, to be closed.
    pub(crate) fn take_idle(&mut self, count: u32) -> Vec<L> {
        let count = usize::try_from(count)
            .unwrap_or(usize::MAX)
            .min(self.idle.len());
        self.idle
            .drain(..count)
            .map(|idle| idle.connection)
            .collect()
    }

    /// Counts a connection that is about to be opened, unless more than `max` would be active or
    /// opening is suspended.
    pub(crate) fn reserve(&mut self, max: u32, now: Instant) -> bool {
        let backing_off = self.no_open_until.is_some_and(|until| now < until);
        let room = self.total < self.share && self.total - self.closing < max && !backing_off;
        self.total += u32::from(room);
        room
    }

    /// Takes the most recently used idle connection.
    pub(crate) fn acquire(&mut self, now: Instant) -> Option<L> {
        self.prune(now);
        self.idle.pop().map(|idle| idle.connection)
    }

    /// Drops idle connections that the leaf has closed or is about to close.
    pub(crate) fn prune(&mut self, now: Instant) {
        let before = self.idle.len();
        let unused = self.idle.iter().any(|i| !i.used && !i.connection.is_open());
        self.idle.retain(|idle| idle.connection.is_open());
        let ended = u32::try_from(before - self.idle.len()).unwrap_or(u32::MAX);
        self.total = self.total.saturating_sub(ended);
        if unused {
            self.no_open_until = Some(now + self.open_backoff);
            self.open_backoff = (self.open_backoff * 2).min(MAX_OPEN_BACKOFF);
        }
    }

    /// Returns a connection to the pool, or hands it back if it exceeds the share.
    ///
    /// `used` is set if the leaf has answered on it.
    pub(crate) fn release(&mut self, connection: L, used: bool, now: Instant) -> Option<L> {
        if used {
            (self.no_open_until, self.open_backoff) = (None, INITIAL_OPEN_BACKOFF);
        }
        if self.total - self.closing > self.share {
            return Some(connection);
        }
        let idle_since = now;
        self.idle.push(Idle {
            connection,
            idle_since,
            used,
        });
        None
    }

    /// Takes a connection that has been idle for `time`, if more than `keep` are active.
    pub(crate) fn take_idle_for(&mut self, time: Duration, keep: u32, now: Instant) -> Option<L> {
        let idle_since = self.idle.first()?.idle_since;
        let long_idle = idle_since + time <= now && self.total - self.closing > keep;
        long_idle.then(|| self.idle.remove(0).connection)
    }

    /// Marks a connection as closing; it still counts.
    pub(crate) fn record_closing(&mut self) {
        self.closing += 1;
    }

    /// Stops counting a closing connection.
    pub(crate) fn record_closed(&mut self) {
        self.closing = self.closing.saturating_sub(1);
        self.record_gone();
    }

    /// Stops counting a connection that was not closing and no longer exists at the leaf.
    pub(crate) fn record_gone(&mut self) {
        self.total = self.total.saturating_sub(1);
    }

    /// Returns whether all connections of the share are closing or silent.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.total >= self.share && self.total == self.closing
    }

    pub(crate) fn has_idle(&self) -> bool {
        self.idle.iter().any(|idle| idle.connection.is_open())
    }

    /// Returns how many connections count against the share.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }
}
