//! Ranges of the hashed key space, and sets of them.

use serde::{Deserialize, Serialize};

/// One past the largest hashed key.
pub const SPACE_END: u64 = 1 << 32;

/// The whole key space.
pub const SPACE: Range = Range {
    start: 0,
    end: SPACE_END,
};

/// A half-open range of hashed keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Range {
    /// The first key.
    pub start: u64,
    /// One past the last key.
    pub end: u64,
}

impl Range {
    /// Returns the range `start..end`.
    pub const fn new(start: u64, end: u64) -> Self {
        Self { start, end }
    }

    /// Tells whether the range holds no key.
    pub const fn is_empty(self) -> bool {
        self.start >= self.end
    }

    /// Tells whether `key` is in the range.
    pub const fn contains(self, key: u64) -> bool {
        self.start <= key && key < self.end
    }

    /// Returns the keys in both ranges, if there are any.
    pub fn intersect(self, other: Self) -> Option<Self> {
        let overlap = Self::new(self.start.max(other.start), self.end.min(other.end));
        (!overlap.is_empty()).then_some(overlap)
    }

    /// Tells whether all of `other` is in this range.
    pub const fn covers(self, other: Self) -> bool {
        other.is_empty() || (self.start <= other.start && other.end <= self.end)
    }
}

/// A set of keys, kept as sorted, disjoint, non-adjacent ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set(Vec<Range>);

impl Set {
    /// Returns the empty set.
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Returns the set of the keys in `ranges`.
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

    /// Tells whether the set holds no key.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds `range`.
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

    /// Removes `range`.
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

    /// Tells whether any key of `range` is in the set.
    pub fn overlaps(&self, range: Range) -> bool {
        self.0.iter().any(|r| r.intersect(range).is_some())
    }

    /// Tells whether all of `range` is in the set.
    pub fn covers(&self, range: Range) -> bool {
        range.is_empty() || self.0.iter().any(|r| r.covers(range))
    }

    /// Returns the parts of `range` that are not in the set.
    pub fn missing(&self, range: Range) -> Self {
        let mut uncovered = Self::of([range]);
        for r in &self.0 {
            uncovered.remove(*r);
        }
        uncovered
    }
}
