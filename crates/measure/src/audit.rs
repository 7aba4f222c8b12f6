//! Checks answers against the deterministic test records.

use rattanmast_fakes::records;
use rattanmast_model::{
    catalog::Snapshot,
    hash::Map,
    leaf::Row,
    query::Answer,
    range::{KEY_SPACE, Range, Set},
};
use serde::Serialize;
use smol_str::SmolStr;

/// Numbers of answers checked and of defects found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// Answers that were checked.
    pub checked: u64,
    /// Answers with a row that is not in the snapshot they are pinned to.
    pub mixed: u64,
    /// Answers that claim more coverage or records than they have, or lack rows of the
    /// ranges they claim.
    pub overclaimed: u64,
    /// Answers that do not cover all records.
    pub partial: u64,
}

/// Compares answers with the expected rows of one collection.
#[derive(Debug)]
pub struct Audit {
    collection: SmolStr,
    rows: Map<(Snapshot, SmolStr), Vec<Row>>,
    totals: Map<Snapshot, u64>,
    findings: Findings,
}

impl Audit {
    /// Creates an audit of answers over `collection`.
    pub fn new(collection: SmolStr) -> Self {
        Self {
            collection,
            rows: Map::default(),
            totals: Map::default(),
            findings: Findings::default(),
        }
    }

    /// Returns the findings so far.
    pub const fn findings(&self) -> Findings {
        self.findings
    }

    /// Checks the answer to a query for `text`.
    pub fn check(&mut self, text: &SmolStr, answer: &Answer) {
        let covered = covered(&answer.missing);
        let total = self.total(answer.snapshot);
        let records_in = |r: &Range| records::count(&self.collection, answer.snapshot, *r);
        let searched = if answer.missing.is_empty() {
            total
        } else {
            covered.ranges().iter().map(records_in).sum()
        };
        let actual_coverage = searched as f64 / total.max(1) as f64;
        let expected = self.expected(answer.snapshot, text);
        let found = |row: &Row| answer.rows.binary_search(row).is_ok();
        let is_covered = |row: &&Row| covered.covers(Range::new(row.key, row.key + 1));
        let has_missing_rows = expected.iter().filter(is_covered).any(|row| !found(row));
        let is_unexpected = |row: &Row| expected.binary_search(row).is_err();
        let mixed = answer.rows.iter().any(is_unexpected);
        let overclaimed =
            answer.coverage > actual_coverage || answer.records > searched || has_missing_rows;
        self.findings.checked += 1;
        self.findings.mixed += u64::from(mixed);
        self.findings.overclaimed += u64::from(overclaimed);
        self.findings.partial += u64::from(!answer.missing.is_empty());
    }

    fn total(&mut self, snapshot: Snapshot) -> u64 {
        let collection = &self.collection;
        let total = self.totals.entry(snapshot);
        *total.or_insert_with(|| records::count(collection, snapshot, KEY_SPACE))
    }

    fn expected(&mut self, snapshot: Snapshot, text: &SmolStr) -> &[Row] {
        let collection = &self.collection;
        let rows = self.rows.entry((snapshot, text.clone()));
        rows.or_insert_with(|| {
            let mut rows = records::rows(collection, snapshot, KEY_SPACE, text);
            rows.sort_unstable();
            rows
        })
    }
}

fn covered(missing: &[Range]) -> Set {
    let mut covered = Set::of([KEY_SPACE]);
    for range in missing {
        covered.remove(*range);
    }
    covered
}
