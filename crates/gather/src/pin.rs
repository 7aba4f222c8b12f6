//! Which snapshot a query reads.

use rattanmast_model::{
    catalog::{Catalog, Part, Snapshot, Version},
    hash::Set as Names,
    leaf,
    range::{self, Set},
};

/// Returns the keys of `version` that at least one of the `live` leafs holds.
pub fn covered(version: &Version, live: &Names<leaf::Name>) -> Set {
    let held = |part: &&Part| part.leafs.iter().any(|leaf| live.contains(leaf));
    Set::of(version.parts.iter().filter(held).map(|part| part.range))
}

/// Returns the newest version after `after` that `live` leafs cover fully.
pub fn newest<'a>(
    catalog: &'a Catalog,
    live: &Names<leaf::Name>,
    after: Option<Snapshot>,
) -> Option<&'a Version> {
    let whole = |v: &&Version| covered(v, live).covers(range::SPACE);
    catalog
        .versions
        .iter()
        .filter(|v| Some(v.snapshot) > after)
        .filter(whole)
        .max_by_key(|v| v.snapshot)
}

/// Returns the version with the most keys on `live` leafs, the newest of equals.
///
/// Used when no version is covered fully, so that the answer is partial.
pub fn fallback<'a>(catalog: &'a Catalog, live: &Names<leaf::Name>) -> Option<&'a Version> {
    let held = |v: &Version| {
        let keys = covered(v, live);
        keys.ranges().iter().map(|r| r.end - r.start).sum::<u64>()
    };
    catalog
        .versions
        .iter()
        .max_by_key(|v| (held(v), v.snapshot))
}
