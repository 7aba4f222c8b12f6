//! What the root knows of the fleet at one moment.

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

/// A service and the hosts that may dispatch to it, the first choice first.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    pub(crate) service: Service,
    pub(crate) hosts: Vec<host::Name>,
}

/// The routes of a configuration, by collection and service number.
type Routes = Arc<Map<SmolStr, Vec<Route>>>;

/// The state that queries read; replaced as a whole.
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
    pub(crate) fn next(
        &self,
        config: Arc<Config>,
        catalogs: Catalogs,
        leafs: Arc<Leafs>,
        leaving: &[leaf::Name],
        router: &impl Router,
    ) -> Self {
        let same = self.config.hosts == config.hosts
            && self.config.collections == config.collections
            && !self.routes.is_empty();
        // Routes hash every service with every host, so they are kept while the roster stays.
        let routes = if same {
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
        view.without(leaving)
    }

    /// Returns this view with the `leaving` leafs left out.
    pub(crate) fn without(&self, leaving: &[leaf::Name]) -> Self {
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

    /// Returns the snapshot that a query over `collection` pins.
    pub(crate) fn pinned(&self, collection: &str) -> Option<&Arc<Pin>> {
        self.pins.get(collection)
    }

    /// Returns the route to a service.
    pub(crate) fn route(&self, collection: &str, service: u16) -> Option<&Route> {
        self.routes.get(collection)?.get(usize::from(service))
    }
}

/// Returns the routes of `config`.
fn routes(config: &Config, router: &impl Router) -> Map<SmolStr, Vec<Route>> {
    let route = |collection: &SmolStr, index| {
        let service = Service {
            collection: collection.clone(),
            index,
        };
        let hosts = router.hosts(&config.hosts, &service);
        Route { service, hosts }
    };
    let all = config.collections.iter().map(|c| {
        let routes = (0..c.services).map(|index| route(&c.name, index));
        (c.name.clone(), routes.collect())
    });
    all.collect()
}
