//! Which keys of the pinned snapshot have been searched, and what was found.

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
    limit: usize,
}

impl Cover {
    /// Returns an empty cover that holds at most `limit` rows.
    pub fn new(limit: usize) -> Self {
        Self {
            keys: Set::new(),
            accepted: Vec::new(),
            records: 0,
            rows: Vec::new(),
            limit,
        }
    }

    /// Accepts `part` whole, or not at all; returns whether it was accepted.
    ///
    /// It must be within `asked`, disjoint from what was accepted, and its rows
    /// must be within its range and no more than its records.
    pub fn accept(&mut self, part: Part, asked: &Set) -> bool {
        let rows = u64::try_from(part.rows.len()).unwrap_or(u64::MAX);
        let sound = !part.range.is_empty()
            && part.range.end <= range::SPACE_END
            && asked.covers(part.range)
            && !self.overlaps(part.range)
            && rows <= part.records
            && part.rows.iter().all(|row| part.range.contains(row.key))
            && self.fits(part.rows.len());
        if sound {
            self.keys.insert(part.range);
            self.accepted.push((part.range, part.records));
            self.records = self.records.saturating_add(part.records);
            self.rows.extend(part.rows);
        }
        sound
    }

    /// Tells whether `rows` more rows are within the limit.
    pub const fn fits(&self, rows: usize) -> bool {
        self.rows.len() + rows <= self.limit
    }

    /// Returns the accepted ranges that end after `key`, in ascending order.
    fn after(&self, key: u64) -> &[Range] {
        let ranges = self.keys.ranges();
        // A search in the sorted ranges: a query has hundreds of parts at full size.
        &ranges[ranges.partition_point(|r| r.end <= key)..]
    }

    /// Tells whether any key of `range` was accepted.
    fn overlaps(&self, range: Range) -> bool {
        let next = self.after(range.start).first();
        next.is_some_and(|r| r.start < range.end)
    }

    /// Tells whether all of `range` was accepted.
    pub fn covers(&self, range: Range) -> bool {
        let next = self.after(range.start).first();
        range.is_empty() || next.is_some_and(|r| r.covers(range))
    }

    /// Returns the accepted keys.
    pub const fn keys(&self) -> &Set {
        &self.keys
    }

    /// Returns the accepted ranges with the records that their leafs counted.
    pub fn accepted(&self) -> &[(Range, u64)] {
        &self.accepted
    }

    /// Returns the number of accepted records.
    pub const fn records(&self) -> u64 {
        self.records
    }

    /// Returns the keys that are missing.
    pub fn missing(&self) -> Set {
        self.keys.missing(range::SPACE)
    }

    /// Tells whether the whole key space was accepted.
    pub fn whole(&self) -> bool {
        self.keys.covers(range::SPACE)
    }

    /// Returns the accepted rows, sorted, each once.
    pub fn into_rows(self) -> Vec<Row> {
        let mut rows = self.rows;
        rows.sort_unstable();
        rows.dedup();
        rows
    }
}
