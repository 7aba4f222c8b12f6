//! Deterministic records of a collection, generated from (collection, snapshot, key).
//!
//! A record's key and identifier are the same in all snapshots. Whether it
//! exists, and its text, depend on the snapshot, so that a reply that mixes
//! snapshots can be detected by its counts and rows.

use rattanmast_model::{
    catalog::Snapshot,
    hash,
    leaf::{Part, Row},
    range::{KEY_SPACE_END, Range},
};
use smol_str::{SmolStr, format_smolstr};

/// The number of keys in a cell; each cell contains at most one record.
const KEYS_PER_CELL: u64 = 1 << 22;

/// The number of distinct search terms.
pub const DISTINCT_TERMS: u64 = 64;

/// Returns the search text that matches about one in [`DISTINCT_TERMS`] records.
pub fn term(number: u64) -> SmolStr {
    format_smolstr!("profile-{:02}", number % DISTINCT_TERMS)
}

/// Returns the number of records of `snapshot` in `range`.
pub fn count(collection: &str, snapshot: Snapshot, range: Range) -> u64 {
    keys(collection, snapshot, range).map(|_| 1).sum()
}

/// Returns the records of `snapshot` in `range` that match `text`, in ascending order of key.
///
/// An empty text matches all records; any other text must be a [`term`].
pub fn rows(collection: &str, snapshot: Snapshot, range: Range, text: &str) -> Vec<Row> {
    part(collection, snapshot, range, text).rows
}

/// Returns the part of a reply with which a leaf that holds `range` answers for it.
pub fn part(collection: &str, snapshot: Snapshot, range: Range, text: &str) -> Part {
    let mut records = 0;
    let wanted_term = (0..DISTINCT_TERMS).find(|n| term(*n) == text);
    let rows = keys(collection, snapshot, range)
        .inspect(|_| records += 1)
        .filter(|(_, hash)| text.is_empty() || wanted_term == Some(term_number(*hash)))
        .map(|(key, hash)| Row {
            key,
            record: format_smolstr!("r-{:04}", key / KEYS_PER_CELL),
            text: format_smolstr!("{} snapshot-{}", term(term_number(hash)), snapshot.0),
        })
        .collect();
    Part {
        range,
        records,
        rows,
    }
}

const fn term_number(hash: u64) -> u64 {
    (hash >> 32) % DISTINCT_TERMS
}

/// Yields the key of each existing record with the hash of its content.
fn keys(
    collection: &str,
    snapshot: Snapshot,
    range: Range,
) -> impl Iterator<Item = (u64, u64)> + use<> {
    let end = range.end.min(KEY_SPACE_END);
    let cells = (range.start / KEYS_PER_CELL)..end.div_ceil(KEYS_PER_CELL);
    let collection = hash::stable([collection.as_bytes()]);
    cells
        .map(move |cell| {
            let identity = hash::mix(collection ^ hash::mix(cell));
            let content = hash::mix(identity ^ snapshot.0);
            (cell * KEYS_PER_CELL + identity % KEYS_PER_CELL, content)
        })
        .filter(move |(key, content)| range.contains(*key) && content % 8 != 0)
}
