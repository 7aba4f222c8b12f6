//! Where else to ask for keys that a service no longer holds.

use rattanmast_model::{
    catalog::{Catalog, Part, Snapshot},
    leaf,
    peer::Ask,
    range::{Range, Set},
};

/// A service and the leafs of it that were asked.
pub(crate) type Place = (u16, Vec<leaf::Name>);

/// Groups `parts` into one ask for each service and set of leafs.
pub(crate) fn asks<'a>(parts: impl IntoIterator<Item = &'a Part>) -> Vec<Ask> {
    let mut asks = Vec::new();
    for part in parts {
        add(&mut asks, part, part.range);
    }
    asks
}

/// Returns where to ask for `missing`, and the keys for which no new place is known.
///
/// The catalog's newest data for `snapshot` goes first. The layouts of other
/// snapshots follow, because data that moved while the catalog lagged is often
/// where they say; `snapshot` itself is asked for there too. Last are the
/// services next to the keys, because splits and merges move data there.
pub(crate) fn elsewhere(
    catalog: &Catalog,
    snapshot: Snapshot,
    missing: Set,
    tried: &[Place],
) -> (Vec<Ask>, Set) {
    let mut versions: Vec<_> = catalog.versions.iter().collect();
    versions.sort_unstable_by_key(|v| (v.snapshot != snapshot, std::cmp::Reverse(v.snapshot)));
    let (mut asks, mut rest) = (Vec::new(), missing);
    let tried = |part: &Part| {
        let mut tried = tried.iter();
        tried.any(|(service, leafs)| *service == part.service && *leafs == part.leafs)
    };
    for part in versions.iter().flat_map(|v| &v.parts) {
        if tried(part) {
            continue;
        }
        for range in rest.ranges().to_vec() {
            if let Some(both) = range.intersect(part.range) {
                add(&mut asks, part, both);
                rest.remove(both);
            }
        }
    }
    let parts = versions.first().map_or(&[][..], |v| &v.parts);
    for range in rest.ranges().to_vec() {
        let before = parts.iter().rev().find(|p| p.range.end <= range.start);
        let after = parts.iter().find(|p| p.range.start >= range.end);
        if let Some(part) = before.into_iter().chain(after).find(|p| !tried(p)) {
            add(&mut asks, part, range);
            rest.remove(range);
        }
    }
    (asks, rest)
}

/// Adds `range` of `part` to `asks`.
fn add(asks: &mut Vec<Ask>, part: &Part, range: Range) {
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
