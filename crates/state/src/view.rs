//! What a host knows of the installation.

use std::sync::Arc;

use rattanmast_model::{
    catalog::{Catalog, Hosts, Leafs},
    config::Config,
    hash,
};
use smol_str::SmolStr;

/// What a host knows, as of one moment; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration; version 0 if none is known yet.
    pub config: Arc<Config>,
    /// The catalogs by collection.
    pub catalogs: Arc<hash::Map<SmolStr, Arc<Catalog>>>,
    /// The platform's list of leafs; it lags.
    pub leafs: Arc<Leafs>,
    /// The platform's list of hosts; it lags.
    pub hosts: Arc<Hosts>,
}

impl View {
    /// Tells whether the leafs and the catalog of each configured collection are known.
    pub fn complete(&self) -> bool {
        let mut collections = self.config.collections.iter();
        !self.leafs.leafs.is_empty() && collections.all(|c| self.catalogs.contains_key(&c.name))
    }
}
