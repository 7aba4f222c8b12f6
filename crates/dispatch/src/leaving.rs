//! Evidence that a leaf is leaving: the platform's list, the leaf's own report or a peer's report.
//! Any one source suffices.

use std::time::Duration;

use rattanmast_model::host;
use tokio::time::Instant;

use crate::reports::{LEAVING_TTL, Report};

/// How long a leaf that reported that it is leaving may still be used if no other one is usable; such
/// leafs serve for some seconds.
const LAST_RESORT_TIME: Duration = Duration::from_secs(1);
/// How long a peer's report holds; peers repeat it with every exchange.
const PEER_REPORT_TTL: Duration = Duration::from_secs(30);

/// Evidence that one leaf is leaving, by source.
#[derive(Debug)]
pub(crate) struct Evidence {
    listed: host::State,
    /// When the leaf first reported that it is leaving.
    first_leaf_report: Option<Instant>,
    leaf_report_until: Option<Instant>,
    /// Whether the leaf said so of itself; if not, it only refused a request.
    is_stated: bool,
    peer_report_until: Option<Instant>,
}

impl Evidence {
    pub(crate) fn new(listed: host::State) -> Self {
        Self {
            listed,
            first_leaf_report: None,
            leaf_report_until: None,
            is_stated: false,
            peer_report_until: None,
        }
    }

    /// Returns the state that the platform lists.
    pub(crate) fn listed(&self) -> host::State {
        self.listed
    }

    /// Sets the state that the platform lists.
    pub(crate) fn set_listed(&mut self, state: host::State) {
        self.listed = state;
    }

    /// Takes over what the leaf reported earlier.
    pub(crate) fn restore(&mut self, report: Report) {
        self.first_leaf_report = report.leaving_since;
        self.leaf_report_until = report.leaving_until;
        self.is_stated = report.leaving_until.is_some();
    }

    /// Records that the leaf said of itself that it is leaving; returns whether that is its first report.
    pub(crate) fn record_statement(&mut self, now: Instant) -> bool {
        self.is_stated = true;
        self.record_leaf_report(now)
    }

    /// Records the leaf's own report: the draining flag of a reply, or a refusal; returns whether it is
    /// the first one.
    pub(crate) fn record_leaf_report(&mut self, now: Instant) -> bool {
        let is_first = self.first_leaf_report.is_none();
        self.first_leaf_report.get_or_insert(now);
        self.leaf_report_until = Some(now + LEAVING_TTL);
        is_first
    }

    pub(crate) fn record_peer_report(&mut self, now: Instant) {
        self.peer_report_until = Some(now + PEER_REPORT_TTL);
    }

    /// Discards reports that concern an earlier process of the leaf.
    pub(crate) fn clear_reports(&mut self) {
        (self.first_leaf_report, self.leaf_report_until) = (None, None);
        self.is_stated = false;
        self.peer_report_until = None;
    }

    /// Returns whether the leaf must not get new work.
    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        let peer_reported = self.peer_report_until.is_some_and(|until| now < until);
        self.listed == host::State::Leaving || peer_reported || self.is_self_reported(now)
    }

    /// Returns whether the leaf must not get work even if no other one is usable.
    pub(crate) fn excludes_last_resort(&self, now: Instant) -> bool {
        let reported = self
            .first_leaf_report
            .filter(|_| self.is_self_reported(now));
        let is_late = reported.is_some_and(|first| now >= first + LAST_RESORT_TIME);
        self.listed == host::State::Leaving || is_late
    }

    /// Returns whether the leaf said of itself that it is leaving.
    pub(crate) fn is_stated(&self, now: Instant) -> bool {
        self.is_stated && self.is_self_reported(now)
    }

    /// Returns whether the leaf itself reported that it is leaving.
    ///
    /// Only such reports are passed on to peers, so that reports expire with their origin.
    pub(crate) fn is_self_reported(&self, now: Instant) -> bool {
        self.leaf_report_until.is_some_and(|until| now < until)
    }
}
