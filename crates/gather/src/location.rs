//! Finding the services and leafs that hold a range of keys.

use rattanmast_model::{
    catalog::{Catalog, Part, Snapshot},
    leaf,
    peer::Ask,
    range::{Range, Set},
};

/// A service, and the leafs of it that hold the range.
pub(crate) type Location = (u16, Vec<leaf::Name>);

/// Groups `parts` into one request per service and set of leafs.
pub(crate) fn group_by_location<'a>(parts: impl IntoIterator<Item = &'a Part>) -> Vec<Ask> {
    let mut asks = Vec::new();
    for part in parts {
        add_range(&mut asks, part, part.range);
    }
    asks
}

/// Returns where to request `missing`, and the keys for which no untried location is known.
///
/// The catalog's version of `snapshot` goes first. The layouts of other versions follow, because
/// data that moved while the catalog lagged is often at one of these; `snapshot` itself is
/// requested there too. Last come the services of the adjacent ranges, because splits and merges
/// move data to them.
pub(crate) fn find_elsewhere(
    catalog: &Catalog,
    snapshot: Snapshot,
    missing: Set,
    tried: &[Location],
) -> (Vec<Ask>, Set) {
    let mut versions: Vec<_> = catalog.versions.iter().collect();
    versions.sort_unstable_by_key(|v| (v.snapshot != snapshot, std::cmp::Reverse(v.snapshot)));
    let (mut asks, mut not_found) = (Vec::new(), missing);
    let is_tried = |part: &Part| {
        let mut tried = tried.iter();
        tried.any(|(service, leafs)| *service == part.service && *leafs == part.leafs)
    };
    for part in versions.iter().flat_map(|v| &v.parts) {
        if is_tried(part) {
            continue;
        }
        for range in not_found.ranges().to_vec() {
            if let Some(overlap) = range.intersect(part.range) {
                add_range(&mut asks, part, overlap);
                not_found.remove(overlap);
            }
        }
    }
    let parts = versions.first().map_or(&[][..], |v| &v.parts);
    for range in not_found.ranges().to_vec() {
        let before = parts.iter().rev().find(|p| p.range.end <= range.start);
        let after = parts.iter().find(|p| p.range.start >= range.end);
        if let Some(part) = before.into_iter().chain(after).find(|p| !is_tried(p)) {
            add_range(&mut asks, part, range);
            not_found.remove(range);
        }
    }
    (asks, not_found)
}

fn add_range(asks: &mut Vec<Ask>, part: &Part, range: Range) {
    let same = |a: &&mut Ask| a.service == part.service && a.leafs == part.leafs;
    match asks.iter_mut().find(same) {
        Some(ask) => ask.ranges.push(range),
        None => asks.push(Ask {
            service: part.service,
            ranges: vec![range],
            leafs: part.leafs.clone(),
        }),
    }
}
