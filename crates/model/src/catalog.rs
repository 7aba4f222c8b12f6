//! What the platform says of a collection's snapshots and shards.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{leaf, range::Range};

/// The number of a snapshot of a collection; a newer one has a larger number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Snapshot(pub u64);

/// A service: one shard of a collection, held by several leafs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Service {
    /// The collection.
    pub collection: SmolStr,
    /// The number of the service within the collection, from 0.
    pub index: u16,
}

/// A part of a snapshot that one service holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The keys of the part.
    pub range: Range,
    /// The number of records in the part.
    pub records: u64,
    /// The service that holds it.
    pub service: u16,
    /// The leafs of the service that hold it.
    pub leafs: Vec<leaf::Name>,
}

/// A snapshot and where its parts are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The parts, disjoint, in ascending order of their ranges.
    pub parts: Vec<Part>,
}

impl Version {
    /// Returns the number of records in the snapshot.
    pub fn records(&self) -> u64 {
        self.parts.iter().map(|p| p.records).sum()
    }
}

/// The catalog of a collection: object `catalog/<collection>` of the platform.
///
/// It lags behind the leafs: a part may have moved, and a snapshot may be gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// The collection.
    pub collection: SmolStr,
    /// The snapshots, oldest first.
    pub versions: Vec<Version>,
}

/// The leafs of an installation: object `leafs` of the platform; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leafs {
    /// All leafs.
    pub leafs: Vec<leaf::Leaf>,
}

/// The hosts of an installation: object `hosts` of the platform; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// All hosts that the platform knows, by name.
    pub hosts: Vec<(crate::host::Name, crate::host::State)>,
}
