//! The root's view of the fleet: configuration, catalogs, live leafs, pins and routes.

use std::sync::Arc;

use rattanmast_model::{
    catalog::{Catalog, Leafs, Service},
    config::Config,
    hash::{Map, Set},
    host, leaf,
};
use smol_str::SmolStr;

use crate::{
    pin::{self, Pin},
    route::Router,
};

/// Catalogs by collection.
pub(crate) type Catalogs = Arc<Map<SmolStr, Arc<Catalog>>>;

/// A service and the hosts that may dispatch to it, in order of preference.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRoute {
    pub(crate) service: Service,
    pub(crate) hosts: Vec<host::Name>,
}

/// The routes of a configuration, by collection and service index.
type Routes = Arc<Map<SmolStr, Vec<ServiceRoute>>>;

/// The state that queries read, which is immutable and replaced as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) config: Arc<Config>,
    pub(crate) catalogs: Catalogs,
    leafs: Arc<Leafs>,
    pub(crate) live: Set<leaf::Name>,
    pins: Map<SmolStr, Arc<Pin>>,
    routes: Routes,
}

impl View {
    /// Returns the view of `config`, `catalogs` and `leafs`, without the `leaving` leafs.
    pub(crate) fn updated(
        &self,
        config: Arc<Config>,
        catalogs: Catalogs,
        leafs: Arc<Leafs>,
        leaving: &[leaf::Name],
        router: &impl Router,
    ) -> Self {
        let routes_unchanged = self.config.hosts == config.hosts
            && self.config.collections == config.collections
            && !self.routes.is_empty();
        // Computing routes hashes every service with every host, so they are kept while the
        // roster and the collections stay the same.
        let routes = if routes_unchanged {
            Arc::clone(&self.routes)
        } else {
            Arc::new(routes(&config, router))
        };
        let view = Self {
            config,
            catalogs,
            leafs,
            routes,
            ..Self::default()
        };
        view.without_leaving(leaving)
    }

    /// Returns this view without the `leaving` leafs.
    pub(crate) fn without_leaving(&self, leaving: &[leaf::Name]) -> Self {
        let live = self
            .leafs
            .leafs
            .iter()
            .filter(|l| l.state == host::State::Live && !leaving.contains(&l.name))
            .map(|l| l.name.clone())
            .collect();
        let pin = |catalog| pin::choose(catalog, &live).map(Arc::new);
        let pins = self
            .catalogs
            .iter()
            .filter_map(|(name, catalog)| Some((name.clone(), pin(catalog)?)))
            .collect();
        Self {
            live,
            pins,
            ..self.clone()
        }
    }

    /// Returns the snapshot that queries over `collection` read.
    pub(crate) fn pin_of(&self, collection: &str) -> Option<&Arc<Pin>> {
        self.pins.get(collection)
    }

    pub(crate) fn route(&self, collection: &str, service: u16) -> Option<&ServiceRoute> {
        self.routes.get(collection)?.get(usize::from(service))
    }
}

fn routes(config: &Config, router: &impl Router) -> Map<SmolStr, Vec<ServiceRoute>> {
    let route = |collection: &SmolStr, index| {
        let service = Service {
            collection: collection.clone(),
            index,
        };
        let hosts = router.hosts(&config.hosts, &service);
        ServiceRoute { service, hosts }
    };
    let by_collection = config.collections.iter().map(|c| {
        let routes = (0..c.services).map(|index| route(&c.name, index));
        (c.name.clone(), routes.collect())
    });
    by_collection.collect()
}
