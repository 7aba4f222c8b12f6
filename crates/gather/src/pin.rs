//! Which snapshot a query reads.

use std::sync::Arc;

use rattanmast_model::{
    catalog::{Catalog, Part, Snapshot, Version},
    hash::Set as Names,
    leaf,
    peer::Ask,
    range::{self, Set},
};

use crate::place;

/// A snapshot that queries read, and where to ask for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pin {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Where its parts are, and how many records they hold.
    pub parts: Vec<Part>,
    /// What to ask of which service.
    pub asks: Vec<Arc<Ask>>,
    /// The records of all parts.
    pub records: u64,
    /// Whether `parts` describes this very snapshot.
    pub listed: bool,
}

impl Pin {
    /// Returns the pin of `version`, whose parts describe the snapshot if it is `listed`.
    fn new(version: &Version, snapshot: Snapshot, listed: bool) -> Self {
        Self {
            snapshot,
            parts: version.parts.clone(),
            asks: place::asks(&version.parts)
                .into_iter()
                .map(Arc::new)
                .collect(),
            records: version.records(),
            listed,
        }
    }
}

/// Returns the pin of the newest snapshot that `live` leafs cover fully.
///
/// If there is none, it is the snapshot with the most keys on live leafs, the
/// newest of equals, so that the answer is partial.
pub fn choose(catalog: &Catalog, live: &Names<leaf::Name>) -> Option<Pin> {
    let held = |version: &Version| {
        let keys = covered(version, live);
        keys.ranges().iter().map(|r| r.end - r.start).sum::<u64>()
    };
    let version = whole(catalog, live)
        .max_by_key(|v| v.snapshot)
        .or_else(|| {
            let versions = catalog.versions.iter();
            versions.max_by_key(|v| (held(v), v.snapshot))
        })?;
    Some(Pin::new(version, version.snapshot, true))
}

/// Returns the pin to restart at after a leaf that `holds` other snapshots lost `gone`.
///
/// A snapshot that the catalog lists and the leaf holds goes first, then any that
/// the catalog lists. If the catalog lags behind, it is the newest snapshot that
/// the leaf holds, in the newest layout.
pub fn newer(
    catalog: &Catalog,
    live: &Names<leaf::Name>,
    gone: Snapshot,
    holds: &[Snapshot],
) -> Option<Pin> {
    let listed = whole(catalog, live)
        .filter(|v| v.snapshot > gone)
        .max_by_key(|v| (holds.contains(&v.snapshot), v.snapshot));
    if let Some(version) = listed {
        return Some(Pin::new(version, version.snapshot, true));
    }
    let snapshot = holds.iter().copied().max().filter(|s| *s > gone)?;
    let layout = catalog.versions.iter().max_by_key(|v| v.snapshot)?;
    Some(Pin::new(layout, snapshot, layout.snapshot == snapshot))
}

/// Returns the versions that `live` leafs cover fully.
fn whole<'a>(
    catalog: &'a Catalog,
    live: &'a Names<leaf::Name>,
) -> impl Iterator<Item = &'a Version> {
    let whole = |v: &&Version| covered(v, live).covers(range::SPACE);
    catalog.versions.iter().filter(whole)
}

/// Returns the keys of `version` that at least one of the `live` leafs holds.
fn covered(version: &Version, live: &Names<leaf::Name>) -> Set {
    let held = |part: &&Part| part.leafs.iter().any(|leaf| live.contains(leaf));
    Set::of(version.parts.iter().filter(held).map(|part| part.range))
}
