//! What leafs said of themselves, by leaf.
//!
//! Reports outlive the replicas that they concern: an entry that disappears from the platform's list
//! and comes back is the same leaf, unless it names another process.

use std::time::Duration;

use rattanmast_model::{
    hash::Map,
    host::Incarnation,
    leaf::{Leaf, Name, Terms},
};
use tokio::time::Instant;

/// How long the report of a leaf that it is leaving holds.
///
/// By then the platform lists a drained and stopped leaf as leaving or gone.
pub(crate) const LEAVING_TTL: Duration = Duration::from_mins(10);

/// Upper bound of a pause, whatever the leaf asks for.
const MAX_PAUSE: Duration = Duration::from_hours(1);

/// Maximum number of leafs with a report; beyond it, the reports that end first are dropped.
const MAX_REPORTS: usize = 4_096;

/// Returns whether the process `one` of a leaf is known to be an earlier one than `other`; zero stands for
/// an unknown process.
pub(crate) fn is_earlier(one: Incarnation, other: Incarnation) -> bool {
    one != Incarnation(0) && one < other
}

/// Returns the end of the pause that a leaf asks for; `None` if it asks for none.
pub(crate) fn pause_end(terms: Terms, now: Instant) -> Option<Instant> {
    terms.pause.map(|pause| now + pause.min(MAX_PAUSE))
}

/// What one process of a leaf said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Report {
    lifetime: Incarnation,
    /// When it first said that it is leaving.
    pub(crate) leaving_since: Option<Instant>,
    /// The time until which that holds.
    pub(crate) leaving_until: Option<Instant>,
    /// The time until which it wants no request from this host.
    pub(crate) paused_until: Option<Instant>,
}

impl Report {
    /// Returns the time at which nothing of the report holds any more.
    fn end(&self) -> Option<Instant> {
        self.leaving_until.max(self.paused_until)
    }

    fn record(&mut self, terms: Terms, now: Instant) {
        if terms.leaving {
            self.leaving_since.get_or_insert(now);
            self.leaving_until = Some(now + LEAVING_TTL);
        }
        self.paused_until = self.paused_until.max(pause_end(terms, now));
    }
}

/// The reports that hold, by leaf.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    by_leaf: Map<Name, Report>,
}

impl Reports {
    /// Records what the process `lifetime` of a leaf said in an answer.
    ///
    /// Answers of an earlier process than the latest known one are ignored.
    pub(crate) fn record(
        &mut self,
        leaf: &Name,
        lifetime: Incarnation,
        terms: Terms,
        now: Instant,
    ) {
        if !terms.leaving && terms.pause.is_none() {
            return;
        }
        if !self.by_leaf.contains_key(leaf) {
            self.make_room(now);
        }
        let report = self.by_leaf.entry(leaf.clone()).or_default();
        if is_earlier(lifetime, report.lifetime) {
            return;
        }
        if is_earlier(report.lifetime, lifetime) {
            *report = Report::default();
        }
        report.lifetime = report.lifetime.max(lifetime);
        report.record(terms, now);
    }

    /// Returns the report of the process that the platform lists for `leaf`, or of a later one.
    pub(crate) fn get(&self, leaf: &Leaf, now: Instant) -> Option<Report> {
        let report = self.by_leaf.get(&leaf.name).copied();
        report.filter(|r| !is_earlier(r.lifetime, leaf.lifetime) && r.end() > Some(now))
    }

    /// Discards what was said before a leaf came back into service; returns what the process that the
    /// platform lists, or a later one, has said.
    pub(crate) fn renew(&mut self, leaf: &Leaf, now: Instant) -> Option<Report> {
        let report = self.get(leaf, now);
        let report = report.filter(|_| leaf.lifetime != Incarnation(0));
        if report.is_none() {
            self.by_leaf.remove(&leaf.name);
        }
        report
    }

    /// Drops reports that have ended, and as many others as needed to add one.
    fn make_room(&mut self, now: Instant) {
        if self.by_leaf.len() < MAX_REPORTS {
            return;
        }
        self.by_leaf.retain(|_, report| report.end() > Some(now));
        let first = self.by_leaf.iter().min_by_key(|(_, report)| report.end());
        let first = first.map(|(leaf, _)| leaf.clone());
        if let Some(leaf) = first.filter(|_| self.by_leaf.len() >= MAX_REPORTS) {
            self.by_leaf.remove(&leaf);
        }
    }
}
