//! The platform's listings: snapshots and shards of each collection, leafs and hosts.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{leaf, range::Range};

/// The number of a snapshot of a collection; it increases with each new snapshot.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Snapshot(pub u64);

/// A service: the replica set of one shard of a collection. Each of its leafs is a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Service {
    /// The name of the collection.
    pub collection: SmolStr,
    /// The index of the service within the collection, from 0.
    pub index: u16,
}

/// A contiguous key range of a snapshot that one service holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The range of key hashes that the part covers.
    pub range: Range,
    /// The number of records in the part.
    pub records: u64,
    /// The index of the service that holds the part.
    pub service: u16,
    /// The leafs of that service that hold the part.
    pub leafs: Vec<leaf::Name>,
}

/// A snapshot and the placement of its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The snapshot's number.
    pub snapshot: Snapshot,
    /// The parts, disjoint, in ascending order of their ranges.
    pub parts: Vec<Part>,
}

impl Placement {
    /// Returns the total number of records in the snapshot.
    pub fn records(&self) -> u64 {
        self.parts.iter().map(|p| p.records).sum()
    }
}

/// The snapshots of a collection, stored by the platform as object `catalog/<collection>`.
///
/// It lags behind the leafs: a part may have moved to other leafs, and a listed snapshot may
/// have been deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// The name of the collection.
    pub collection: SmolStr,
    /// The snapshots, oldest first.
    pub versions: Vec<Placement>,
}

/// The leafs of an installation, stored by the platform as object `leafs`.
///
/// It lags behind the actual state of the leafs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leafs {
    /// All leafs that the platform knows.
    pub leafs: Vec<leaf::Leaf>,
}

/// The hosts of an installation, stored by the platform as object `hosts`.
///
/// It lags behind the actual state of the hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// All hosts that the platform knows, with their state.
    pub hosts: Vec<(crate::host::Name, crate::host::State)>,
}
