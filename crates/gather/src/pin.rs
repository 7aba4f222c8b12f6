//! Choice of the snapshot that a query reads.

use std::sync::Arc;

use rattanmast_model::{
    catalog::{Catalog, Part, Placement, Snapshot},
    hash::Set as Names,
    leaf,
    peer::Ask,
    range::{self, Set},
};

use crate::location;

/// A snapshot that queries read, and the requests that read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pin {
    /// The pinned snapshot.
    pub snapshot: Snapshot,
    /// The layout of the snapshot, with the catalog's record counts.
    pub parts: Vec<Part>,
    /// The requests for all parts, grouped by service and leafs.
    pub asks: Vec<Arc<Ask>>,
    /// The total of the parts' record counts.
    pub records: u64,
    /// Whether the catalog lists `snapshot`, so that `parts` describes it and not another
    /// version.
    pub listed: bool,
}

impl Pin {
    /// Returns the pin of `snapshot` in the layout of `version`.
    fn new(version: &Placement, snapshot: Snapshot, listed: bool) -> Self {
        Self {
            snapshot,
            parts: version.parts.clone(),
            asks: location::group_by_location(&version.parts)
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
/// If there is none, returns the snapshot with the most keys on live leafs, and the newest of
/// equals, so that the answer is partial.
pub fn choose(catalog: &Catalog, live: &Names<leaf::Name>) -> Option<Pin> {
    let key_count = |version: &Placement| {
        let keys = keys_on_live_leafs(version, live);
        keys.ranges().iter().map(|r| r.end - r.start).sum::<u64>()
    };
    let version = fully_covered(catalog, live)
        .max_by_key(|v| v.snapshot)
        .or_else(|| {
            let versions = catalog.versions.iter();
            versions.max_by_key(|v| (key_count(v), v.snapshot))
        })?;
    Some(Pin::new(version, version.snapshot, true))
}

/// Returns the pin to restart at after a leaf reported that it no longer has the snapshot `gone`,
/// but has those in `holds`.
///
/// Snapshots that the catalog lists and the leaf holds are preferred, then any that the catalog
/// lists. If the catalog lags behind, returns the newest snapshot that the leaf holds, in the
/// newest layout.
pub fn newer(
    catalog: &Catalog,
    live: &Names<leaf::Name>,
    gone: Snapshot,
    holds: &[Snapshot],
) -> Option<Pin> {
    let listed = fully_covered(catalog, live)
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
fn fully_covered<'a>(
    catalog: &'a Catalog,
    live: &'a Names<leaf::Name>,
) -> impl Iterator<Item = &'a Placement> {
    let is_covered = |v: &&Placement| keys_on_live_leafs(v, live).covers(range::KEY_SPACE);
    catalog.versions.iter().filter(is_covered)
}

/// Returns the keys of `version` that at least one of the `live` leafs holds.
fn keys_on_live_leafs(version: &Placement, live: &Names<leaf::Name>) -> Set {
    let is_held = |part: &&Part| part.leafs.iter().any(|leaf| live.contains(leaf));
    Set::of(version.parts.iter().filter(is_held).map(|part| part.range))
}
