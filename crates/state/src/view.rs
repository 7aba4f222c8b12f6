//! A snapshot of the cluster state that a host knows.

use std::sync::Arc;

use rattanmast_model::{
    catalog::{Catalog, Hosts, Leafs},
    config::Config,
    hash,
};
use smol_str::SmolStr;

/// The cluster state that a host knows at one point in time; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration; version 0 if none is known yet.
    pub config: Arc<Config>,
    /// The catalogs, keyed by collection.
    pub catalogs: Arc<hash::Map<SmolStr, Arc<Catalog>>>,
    /// The platform's list of leafs, which may be out of date.
    pub leafs: Arc<Leafs>,
    /// The platform's list of hosts, which may be out of date.
    pub hosts: Arc<Hosts>,
}

impl View {
    /// Returns whether the leafs and the catalog of each configured collection are known.
    pub fn complete(&self) -> bool {
        let mut collections = self.config.collections.iter();
        !self.leafs.leafs.is_empty() && collections.all(|c| self.catalogs.contains_key(&c.name))
    }
}
