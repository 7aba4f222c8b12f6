//! Ranges of the hashed key space, and sets of them.

use serde::{Deserialize, Serialize};

/// The exclusive upper bound of hashed keys.
pub const KEY_SPACE_END: u64 = 1 << 32;

/// The whole key space.
pub const KEY_SPACE: Range = Range {
    start: 0,
    end: KEY_SPACE_END,
};

/// A half-open range of hashed keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Range {
    /// The first key of the range.
    pub start: u64,
    /// The exclusive upper bound.
    pub end: u64,
}

impl Range {
    /// Returns the range `start..end`.
    pub const fn new(start: u64, end: u64) -> Self {
        Self { start, end }
    }

    /// Returns whether the range contains no keys.
    pub const fn is_empty(self) -> bool {
        self.start >= self.end
    }

    /// Returns whether the range contains `key`.
    pub const fn contains(self, key: u64) -> bool {
        self.start <= key && key < self.end
    }

    /// Returns the intersection of the ranges, or `None` if it is empty.
    pub fn intersect(self, other: Self) -> Option<Self> {
        let overlap = Self::new(self.start.max(other.start), self.end.min(other.end));
        (!overlap.is_empty()).then_some(overlap)
    }

    /// Returns whether the range contains all of `other`.
    pub const fn covers(self, other: Self) -> bool {
        other.is_empty() || (self.start <= other.start && other.end <= self.end)
    }
}

/// A set of hashed keys, stored as sorted, disjoint, non-adjacent ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set(Vec<Range>);

impl Set {
    /// Returns an empty set.
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Returns the union of `ranges`.
    pub fn of(ranges: impl IntoIterator<Item = Range>) -> Self {
        let mut set = Self::new();
        for range in ranges {
            set.insert(range);
        }
        set
    }

    /// Returns the ranges in ascending order.
    pub fn ranges(&self) -> &[Range] {
        &self.0
    }

    /// Returns whether the set contains no keys.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds the keys of `range`.
    pub fn insert(&mut self, range: Range) {
        if range.is_empty() {
            return;
        }
        let first = self.0.partition_point(|r| r.end < range.start);
        let last = self.0.partition_point(|r| r.start <= range.end);
        let merged = self.0[first..last].iter().fold(range, |sum, r| {
            Range::new(sum.start.min(r.start), sum.end.max(r.end))
        });
        self.0.splice(first..last, [merged]);
    }

    /// Removes the keys of `range`.
    pub fn remove(&mut self, range: Range) {
        if range.is_empty() {
            return;
        }
        self.0 = self
            .0
            .iter()
            .flat_map(|r| {
                [
                    Range::new(r.start, r.end.min(range.start)),
                    Range::new(r.start.max(range.end), r.end),
                ]
            })
            .filter(|r| !r.is_empty())
            .collect();
    }

    /// Returns whether the set contains any key of `range`.
    pub fn overlaps(&self, range: Range) -> bool {
        self.0.iter().any(|r| r.intersect(range).is_some())
    }

    /// Returns whether the set contains all of `range`.
    pub fn covers(&self, range: Range) -> bool {
        range.is_empty() || self.0.iter().any(|r| r.covers(range))
    }

    /// Returns the keys of `range` that are not in the set.
    pub fn missing(&self, range: Range) -> Self {
        let mut uncovered = Self::of([range]);
        for r in &self.0 {
            uncovered.remove(*r);
        }
        uncovered
    }
}
