//! How long a source has been available, without its outages.

use std::time::Duration;

use tokio::time::Instant;

/// The availability of a source.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Availability {
    /// The total time of the earlier periods of availability.
    before: Duration,
    /// The start of the latest period; `None` before the first one.
    since: Option<Instant>,
    /// The start of the current outage.
    unreachable_since: Option<Instant>,
}

impl Availability {
    /// Returns whether the source is available, as last recorded.
    pub(crate) fn is_available(&self) -> bool {
        self.unreachable_since.is_none()
    }

    /// Returns for how long the source has been available in total.
    pub(crate) fn total(&self, now: Instant) -> Duration {
        let end = self.unreachable_since.unwrap_or(now);
        let period = self.since.map(|since| end.saturating_duration_since(since));
        self.before + period.unwrap_or_default()
    }

    /// Returns when the source will have been available for `total` if no outage follows; `None` during
    /// an outage.
    pub(crate) fn time_of(&self, total: Duration) -> Option<Instant> {
        let since = self.since.filter(|_| self.is_available())?;
        Some(since + total.saturating_sub(self.before))
    }

    /// Records that the source has answered.
    pub(crate) fn record_answer(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }

    /// Records that the source does not answer.
    pub(crate) fn record_outage(&mut self, now: Instant) {
        self.since.get_or_insert(now);
        self.unreachable_since.get_or_insert(now);
    }

    /// Records that the source answers; returns the duration of the outage that ended, if any.
    pub(crate) fn record_recovery(&mut self, now: Instant) -> Option<Duration> {
        let start = self.unreachable_since?;
        *self = Self {
            before: self.total(now),
            since: Some(now),
            unreachable_since: None,
        };
        Some(now.saturating_duration_since(start))
    }
}
