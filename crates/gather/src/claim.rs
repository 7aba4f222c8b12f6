//! The share of a snapshot that an answer may claim to cover.

use rattanmast_model::{
    catalog::Part,
    range::{self, Range, Set},
};

use crate::cover::Cover;

/// Standard deviations beyond which a count cannot be the chance of hashing.
const DEVIATIONS: f64 = 6.0;

/// What an answer claims.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// The share of the snapshot's records, from 0 to 1; never above the true share.
    pub coverage: f64,
    /// The records searched, as the leafs counted them.
    pub records: u64,
    /// The most records that the snapshot may hold.
    pub total: u64,
    /// Whether the leafs' counts contradict the catalog's.
    pub doubted: bool,
}

/// Returns what `cover` may claim of the snapshot that the catalog describes by `parts`.
///
/// Accepted records are counted by the leafs that searched them; only the
/// records of missing keys come from the catalog. Once a leaf's count contradicts
/// the catalog, or if `trusted` is false, each missing key counts as a record,
/// which no count can exceed. A catalog count that is too low to be the chance of
/// hashing, given the accepted keys, is replaced by a high estimate. A wrong count
/// that no reply contradicts and that hashing can produce is believed: nothing else
/// is known of keys that nobody searched.
pub fn claim(cover: &Cover, parts: &[Part], trusted: bool) -> Claim {
    let records = cover.records();
    if cover.whole() {
        return Claim {
            coverage: 1.0,
            records,
            total: records,
            doubted: false,
        };
    }
    let missing = width(&cover.missing());
    let counted = unseen(cover, parts);
    let most = match counted {
        Some(count) if trusted => plausible(count, records, missing),
        _ => missing,
    };
    // Missing keys without records are still missing, so the claim stays below 1.
    let total = records.saturating_add(most.max(1));
    Claim {
        coverage: (records as f64 / total as f64).min(1.0 - f64::EPSILON),
        records,
        total,
        doubted: counted.is_none(),
    }
}

/// Returns the best share that can still be reached if the keys in `lost` are not.
pub fn reachable(parts: &[Part], lost: &Set) -> f64 {
    let total: u64 = parts.iter().map(|p| p.records).sum();
    let gone: u64 = parts.iter().map(|p| records_in(p, lost)).sum();
    if lost.is_empty() || total == 0 {
        return 1.0;
    }
    total.saturating_sub(gone) as f64 / total as f64
}

/// Returns the number of keys in `set`.
fn width(set: &Set) -> u64 {
    set.ranges().iter().map(|r| r.end - r.start).sum()
}

/// Returns about how many records of `part` are in `set`, rounded down.
fn records_in(part: &Part, set: &Set) -> u64 {
    let keys = u128::from(part.range.end.saturating_sub(part.range.start)).max(1);
    let both = set.ranges().iter().filter_map(|r| r.intersect(part.range));
    let inside: u64 = both.map(|r| r.end - r.start).sum();
    let records = u128::from(part.records) * u128::from(inside) / keys;
    u64::try_from(records).unwrap_or(u64::MAX)
}

/// Returns the catalog's count of the records that were not accepted.
///
/// Returns `None` if the catalog contradicts the accepted parts or itself. A part
/// that was merged across the catalog's parts joins them to one block, because
/// only whole blocks can be compared.
fn unseen(cover: &Cover, parts: &[Part]) -> Option<u64> {
    let mut accepted: Vec<(Range, u64)> = cover.accepted().to_vec();
    accepted.sort_unstable();
    let mut accepted = accepted.into_iter().peekable();
    let mut parts = parts.iter().peekable();
    let mut rest = 0u64;
    let mut end = 0;
    while let Some(first) = parts.next() {
        if first.range.start < end {
            return None;
        }
        let gap = Range::new(end, first.range.start);
        rest = rest.checked_add(absent(&mut accepted, gap, cover)?)?;
        let (mut block, mut counted, mut found) = (first.range, first.records, 0u64);
        let mut reach = 0;
        loop {
            if let Some((range, n)) = accepted.next_if(|(r, _)| r.start < block.end) {
                reach = range.end;
                found = found.checked_add(n)?;
            } else if reach > block.end {
                let next = parts.next_if(|p| p.range.start == block.end)?;
                block.end = next.range.end;
                counted = counted.checked_add(next.records)?;
            } else {
                break;
            }
        }
        let left = counted.checked_sub(found)?;
        if cover.keys().covers(block) && left != 0 {
            return None;
        }
        rest = rest.checked_add(left)?;
        end = block.end;
    }
    rest.checked_add(absent(
        &mut accepted,
        Range::new(end, range::SPACE_END),
        cover,
    )?)
}

/// Returns the most records in a `gap` of the catalog; `None` if leafs found some there.
fn absent(
    accepted: &mut std::iter::Peekable<std::vec::IntoIter<(Range, u64)>>,
    gap: Range,
    cover: &Cover,
) -> Option<u64> {
    if gap.is_empty() {
        return Some(0);
    }
    match accepted.next_if(|(r, _)| r.start < gap.end) {
        Some(_) => None,
        None => Some(width(&cover.keys().missing(gap))),
    }
}

/// Returns `count`, or a high estimate if `count` is too low for `missing` hashed keys.
fn plausible(count: u64, records: u64, missing: u64) -> u64 {
    let share = missing as f64 / (range::SPACE_END - missing).max(1) as f64;
    let mean = records as f64 * share;
    let spread = DEVIATIONS * (mean * (1.0 + share)).sqrt();
    if (count as f64) < mean - spread {
        // The conversion saturates.
        (mean + spread).ceil() as u64
    } else {
        count
    }
}
