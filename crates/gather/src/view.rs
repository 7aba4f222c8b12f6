//! What the root knows of the fleet at one moment.

use std::sync::Arc;

use rattanmast_model::{
    catalog::{Catalog, Leafs, Service, Version},
    config::Config,
    hash::{Map, Set},
    host, leaf,
};
use smol_str::SmolStr;

use crate::{pin, route::Router};

/// Catalogs by collection.
pub(crate) type Catalogs = Arc<Map<SmolStr, Arc<Catalog>>>;

/// The state that queries read; replaced as a whole.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) config: Arc<Config>,
    pins: Map<SmolStr, Arc<Version>>,
    routes: Map<SmolStr, Vec<Vec<host::Name>>>,
}

impl View {
    /// Returns the view of `config`, `catalogs` and `leafs`, without the `leaving` leafs.
    pub(crate) fn new(
        config: Arc<Config>,
        catalogs: Catalogs,
        leafs: Arc<Leafs>,
        leaving: &[leaf::Name],
        router: &impl Router,
    ) -> Self {
        let live = leafs
            .leafs
            .iter()
            .filter(|l| l.state == host::State::Live && !leaving.contains(&l.name))
            .map(|l| l.name.clone())
            .collect::<Set<_>>();
        let pins = catalogs
            .iter()
            .filter_map(|(name, catalog)| {
                let version = pin::newest(catalog, &live, None);
                let version = version.or_else(|| pin::fallback(catalog, &live))?;
                Some((name.clone(), Arc::new(version.clone())))
            })
            .collect();
        let routes = config
            .collections
            .iter()
            .map(|c| {
                let hosts = |index| {
                    let collection = c.name.clone();
                    router.hosts(&config.hosts, &Service { collection, index })
                };
                (c.name.clone(), (0..c.services).map(hosts).collect())
            })
            .collect();
        Self {
            config,
            pins,
            routes,
        }
    }

    /// Returns the version that a query over `collection` pins.
    pub(crate) fn pinned(&self, collection: &str) -> Option<&Arc<Version>> {
        self.pins.get(collection)
    }

    /// Returns the hosts that may dispatch to a service, the first choice first.
    pub(crate) fn hosts(&self, collection: &str, service: u16) -> &[host::Name] {
        let services = self.routes.get(collection);
        services
            .and_then(|s| s.get(usize::from(service)))
            .map_or(&[], Vec::as_slice)
    }
}
