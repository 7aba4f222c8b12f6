//! The keys of the pinned snapshot that were searched, and the rows found.

use rattanmast_model::{
    leaf::{Part, Row},
    range::{self, Range, Set},
};

/// The accepted parts of one query at one snapshot.
#[derive(Clone, Debug)]
pub struct Cover {
    keys: Set,
    accepted: Vec<(Range, u64)>,
    records: u64,
    rows: Vec<Row>,
    max_rows: usize,
}

impl Cover {
    /// Returns an empty cover that holds at most `max_rows` rows.
    pub fn new(max_rows: usize) -> Self {
        Self {
            keys: Set::new(),
            accepted: Vec::new(),
            records: 0,
            rows: Vec::new(),
            max_rows,
        }
    }

    /// Accepts all of `part` or nothing; returns whether it was accepted.
    ///
    /// The part must be within `asked` and disjoint from accepted parts. Its rows must be within
    /// its range, no more than its records, and within the row limit.
    pub fn accept(&mut self, part: Part, asked: &Set) -> bool {
        let rows = u64::try_from(part.rows.len()).unwrap_or(u64::MAX);
        let is_valid = !part.range.is_empty()
            && part.range.end <= range::KEY_SPACE_END
            && asked.covers(part.range)
            && !self.overlaps(part.range)
            && rows <= part.records
            && part.rows.iter().all(|row| part.range.contains(row.key))
            && self.fits(part.rows.len());
        if is_valid {
            self.keys.insert(part.range);
            self.accepted.push((part.range, part.records));
            self.records = self.records.saturating_add(part.records);
            self.rows.extend(part.rows);
        }
        is_valid
    }

    /// Returns whether `rows` more rows are within the limit.
    pub const fn fits(&self, rows: usize) -> bool {
        self.rows.len() + rows <= self.max_rows
    }

    /// Returns the accepted ranges that end after `key`, in ascending order.
    fn accepted_after(&self, key: u64) -> &[Range] {
        let ranges = self.keys.ranges();
        // Binary search, because a full-size query has hundreds of parts.
        &ranges[ranges.partition_point(|r| r.end <= key)..]
    }

    /// Returns whether any key of `range` was accepted.
    fn overlaps(&self, range: Range) -> bool {
        let next = self.accepted_after(range.start).first();
        next.is_some_and(|r| r.start < range.end)
    }

    /// Returns whether all of `range` was accepted.
    pub fn covers(&self, range: Range) -> bool {
        let next = self.accepted_after(range.start).first();
        range.is_empty() || next.is_some_and(|r| r.covers(range))
    }

    /// Returns the accepted keys.
    pub const fn keys(&self) -> &Set {
        &self.keys
    }

    /// Returns the accepted ranges with their leafs' record counts.
    pub fn accepted(&self) -> &[(Range, u64)] {
        &self.accepted
    }

    /// Returns the number of accepted records.
    pub const fn records(&self) -> u64 {
        self.records
    }

    /// Returns the keys that were not accepted.
    pub fn missing(&self) -> Set {
        self.keys.missing(range::KEY_SPACE)
    }

    /// Returns whether the whole key space was accepted.
    pub fn is_complete(&self) -> bool {
        self.keys.covers(range::KEY_SPACE)
    }

    /// Returns the accepted rows, sorted and without duplicates.
    pub fn into_rows(self) -> Vec<Row> {
        let mut rows = self.rows;
        rows.sort_unstable();
        rows.dedup();
        rows
    }
}
