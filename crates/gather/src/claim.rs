//! The coverage that an answer may claim.

use rattanmast_model::{
    catalog::Part,
    range::{self, Range, Set},
};

use crate::cover::Cover;

/// Standard deviations beyond which a low count cannot be due to chance in the hashing of keys.
const MAX_HASHING_DEVIATIONS: f64 = 6.0;

/// The coverage and the record counts that an answer reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// The share of the snapshot's records, from 0 to 1; never above the true share.
    pub coverage: f64,
    /// The records searched, as counted by the leafs.
    pub records: u64,
    /// Upper estimate of the records in the snapshot.
    pub total: u64,
    /// Whether the leafs' counts contradict the catalog's.
    pub contradicted: bool,
}

/// Returns what an answer of `cover` may claim, given the catalog's `parts` of the snapshot.
///
/// Accepted records are counted by the leafs that searched them; only the records of missing keys
/// come from the catalog. If a leaf's count contradicts the catalog, or if `trusted` is false,
/// each missing key counts as a record, which is an upper bound. A catalog count that is too low
/// to be due to chance in hashing, given the accepted keys, is replaced by a high estimate. A
/// wrong count that no reply contradicts and that hashing can produce is accepted, because
/// nothing else is known about keys that were not searched.
pub fn claim(cover: &Cover, parts: &[Part], trusted: bool) -> Claim {
    let records = cover.records();
    if cover.is_complete() {
        return Claim {
            coverage: 1.0,
            records,
            total: records,
            contradicted: false,
        };
    }
    let missing = key_count(&cover.missing());
    let missing_records = unaccepted_records(cover, parts);
    let max_missing = match missing_records {
        Some(count) if trusted => plausible_count(count, records, missing),
        _ => missing,
    };
    // Missing keys without records are still missing, so the coverage stays below 1.
    let total = records.saturating_add(max_missing.max(1));
    Claim {
        coverage: (records as f64 / total as f64).min(1.0 - f64::EPSILON),
        records,
        total,
        contradicted: missing_records.is_none(),
    }
}

/// Returns the highest coverage that can be reached without the keys in `lost_keys`.
pub fn max_reachable_coverage(parts: &[Part], lost_keys: &Set) -> f64 {
    let total: u64 = parts.iter().map(|p| p.records).sum();
    let lost_records: u64 = parts.iter().map(|p| records_in(p, lost_keys)).sum();
    if lost_keys.is_empty() || total == 0 {
        return 1.0;
    }
    total.saturating_sub(lost_records) as f64 / total as f64
}

fn key_count(set: &Set) -> u64 {
    set.ranges().iter().map(|r| r.end - r.start).sum()
}

/// Estimates how many records of `part` are in `set`, assuming an even spread; rounds down.
fn records_in(part: &Part, set: &Set) -> u64 {
    let part_keys = u128::from(part.range.end.saturating_sub(part.range.start)).max(1);
    let overlaps = set.ranges().iter().filter_map(|r| r.intersect(part.range));
    let inside: u64 = overlaps.map(|r| r.end - r.start).sum();
    let records = u128::from(part.records) * u128::from(inside) / part_keys;
    u64::try_from(records).unwrap_or(u64::MAX)
}

/// Returns the catalog's count of the records that were not accepted.
///
/// Returns `None` if the catalog contradicts the accepted parts or itself. An accepted part that
/// spans several parts of the catalog joins them to one block, because only whole blocks can be
/// compared.
fn unaccepted_records(cover: &Cover, parts: &[Part]) -> Option<u64> {
    let mut accepted: Vec<(Range, u64)> = cover.accepted().to_vec();
    accepted.sort_unstable();
    let mut accepted = accepted.into_iter().peekable();
    let mut parts = parts.iter().peekable();
    let mut unaccepted = 0u64;
    let mut end = 0;
    while let Some(first) = parts.next() {
        if first.range.start < end {
            return None;
        }
        let gap = Range::new(end, first.range.start);
        unaccepted = unaccepted.checked_add(gap_records(&mut accepted, gap, cover)?)?;
        let (mut block, mut counted, mut found) = (first.range, first.records, 0u64);
        let mut accepted_end = 0;
        loop {
            if let Some((range, n)) = accepted.next_if(|(r, _)| r.start < block.end) {
                accepted_end = range.end;
                found = found.checked_add(n)?;
            } else if accepted_end > block.end {
                let next = parts.next_if(|p| p.range.start == block.end)?;
                block.end = next.range.end;
                counted = counted.checked_add(next.records)?;
            } else {
                break;
            }
        }
        let remaining = counted.checked_sub(found)?;
        if cover.keys().covers(block) && remaining != 0 {
            return None;
        }
        unaccepted = unaccepted.checked_add(remaining)?;
        end = block.end;
    }
    unaccepted.checked_add(gap_records(
        &mut accepted,
        Range::new(end, range::KEY_SPACE_END),
        cover,
    )?)
}

/// Returns the maximum number of records in a `gap` between the catalog's parts, or `None` if
/// leafs found records there.
fn gap_records(
    accepted: &mut std::iter::Peekable<std::vec::IntoIter<(Range, u64)>>,
    gap: Range,
    cover: &Cover,
) -> Option<u64> {
    if gap.is_empty() {
        return Some(0);
    }
    match accepted.next_if(|(r, _)| r.start < gap.end) {
        Some(_) => None,
        None => Some(key_count(&cover.keys().missing(gap))),
    }
}

/// Returns `count`, or a high estimate if `count` is implausibly low for `missing` hashed keys.
fn plausible_count(count: u64, records: u64, missing: u64) -> u64 {
    let share = missing as f64 / (range::KEY_SPACE_END - missing).max(1) as f64;
    let mean = records as f64 * share;
    let margin = MAX_HASHING_DEVIATIONS * (mean * (1.0 + share)).sqrt();
    if (count as f64) < mean - margin {
        // The cast saturates.
        (mean + margin).ceil() as u64
    } else {
        count
    }
}
