//! How much of the platform's objects a reader holds, and as of when they are the platform's.
//!
//! An answer with changes shows up to which revision a kind is complete, but not that nothing came after:
//! the platform may have sent only the first of the changes. That nothing came after is shown by an answer
//! without changes, by a list, or by a revision that the platform had not passed at a known time.

use std::time::Duration;

use rattanmast_model::feed::Revision;
use tokio::time::Instant;

/// A kind of objects that is read by list and watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Config,
    Leafs,
    Quarantine,
}

/// What an answer of the platform shows about a kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    /// The revision that the objects are complete up to with this answer.
    pub(crate) revision: Revision,
    /// A time no later than that of the answer at the platform.
    pub(crate) at: Instant,
    /// Whether nothing was left out, so that the platform had not passed `revision` at that time.
    pub(crate) is_whole: bool,
}

/// A revision that the platform had not passed at a time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    revision: Revision,
    at: Instant,
}

/// How much of one kind is held.
#[derive(Debug, Default)]
struct Position {
    /// The revision that the objects are complete up to; `None` if all have to be listed.
    revision: Option<Revision>,
    /// The time as of which the objects are the platform's; `None` before all were read.
    current: Option<Instant>,
    /// The number of objects in the last list.
    objects: usize,
}

/// How much of each kind is held.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    config: Position,
    leafs: Position,
    quarantine: Position,
    /// The latest revision that the platform is known to have had.
    mark: Option<Mark>,
}

impl Progress {
    fn position(&self, kind: Kind) -> &Position {
        match kind {
            Kind::Config => &self.config,
            Kind::Leafs => &self.leafs,
            Kind::Quarantine => &self.quarantine,
        }
    }

    fn position_mut(&mut self, kind: Kind) -> &mut Position {
        match kind {
            Kind::Config => &mut self.config,
            Kind::Leafs => &mut self.leafs,
            Kind::Quarantine => &mut self.quarantine,
        }
    }

    /// Returns the revision that a kind is complete up to; `None` if its objects have to be listed.
    pub(crate) fn revision(&self, kind: Kind) -> Option<Revision> {
        self.position(kind).revision
    }

    /// Returns the latest revision that the platform is known to have had.
    pub(crate) fn platform_revision(&self) -> Revision {
        self.mark.map(|mark| mark.revision).unwrap_or_default()
    }

    /// Returns the time as of which the objects of a kind are the platform's; `None` before all were read.
    pub(crate) fn current_of(&self, kind: Kind) -> Option<Instant> {
        self.position(kind).current
    }

    /// Returns the time as of which both configuration and leafs are the platform's.
    pub(crate) fn current(&self) -> Option<Instant> {
        self.config.current.min(self.leafs.current)
    }

    /// Returns whether a kind is known to be older than the platform by more than `tolerance`.
    pub(crate) fn lags(&self, kind: Kind, tolerance: Duration) -> bool {
        let current = self.position(kind).current;
        self.mark
            .is_some_and(|mark| current.is_none_or(|current| current + tolerance < mark.at))
    }

    /// Returns whether a list of a kind is shorter than the changes that may be missing.
    pub(crate) fn is_list_shorter(&self, kind: Kind) -> bool {
        let position = self.position(kind);
        let (Some(mark), Some(held)) = (self.mark, position.revision) else {
            return false;
        };
        let missing = mark.revision.number.saturating_sub(held.number);
        mark.revision.epoch == held.epoch && missing > position.objects as u64
    }

    /// Records a list of a kind that was requested at `at`.
    pub(crate) fn record_list(
        &mut self,
        kind: Kind,
        revision: Revision,
        objects: usize,
        at: Instant,
    ) {
        self.position_mut(kind).objects = objects;
        let answer = Answer {
            revision,
            at,
            is_whole: true,
        };
        self.record(kind, answer);
    }

    /// Records an answer about a kind.
    pub(crate) fn record(&mut self, kind: Kind, answer: Answer) {
        let Answer {
            revision,
            at,
            is_whole,
        } = answer;
        let position = self.position_mut(kind);
        position.revision = Some(revision);
        if is_whole {
            position.current = position.current.max(Some(at));
            if self.mark.is_none_or(|mark| mark.at < at) {
                self.mark = Some(Mark { revision, at });
            }
        }
        self.apply_mark();
    }

    /// Updates the kinds that are complete up to what the platform had.
    ///
    /// A revision covers all kinds, so a kind whose revision is not lower has not changed until then.
    fn apply_mark(&mut self) {
        let Some(mark) = self.mark else { return };
        for position in [&mut self.config, &mut self.leafs, &mut self.quarantine] {
            if position.revision >= Some(mark.revision) {
                position.current = position.current.max(Some(mark.at));
            }
        }
    }

    /// Forgets the revision of a kind, whose objects have to be listed.
    pub(crate) fn forget(&mut self, kind: Kind) {
        self.position_mut(kind).revision = None;
    }

    /// Forgets all revisions, which are those of another history of the platform.
    pub(crate) fn forget_all(&mut self) {
        for kind in [Kind::Config, Kind::Leafs, Kind::Quarantine] {
            self.forget(kind);
        }
        self.mark = None;
    }
}
