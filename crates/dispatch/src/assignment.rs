//! Assigns services and shares of their connections to this host.

use std::sync::Arc;

use rattanmast_model::{
    catalog::{self, Leafs},
    config::Config,
    hash::{Map, Set},
    host, leaf, roster,
};

use crate::{
    hedge,
    settings::{Settings, Spread},
    state::Role,
};

/// Connections to a leaf that a host may open while the responsible host is silent.
const STANDBY_CONNECTIONS: u32 = 1;

/// Minimum burst of a divided hedge budget: below one, no hedge could ever be sent.
const MIN_HEDGE_BURST: f64 = 1.0;

/// The positions of this host among the candidates of each service.
///
/// They depend on the roster alone and are cached until it changes.
#[derive(Debug, Default)]
pub(crate) struct Assignment {
    config: Option<Arc<Config>>,
    positions: Map<catalog::Service, Option<usize>>,
}

impl Assignment {
    /// Sets the configuration, and clears the cached positions if its roster differs.
    pub(crate) fn apply(&mut self, config: &Arc<Config>) {
        let same_hosts = self
            .config
            .as_ref()
            .is_some_and(|c| c.hosts == config.hosts);
        if !same_hosts {
            self.positions.clear();
        }
        self.config = Some(Arc::clone(config));
    }

    /// Returns the role of host `me` for `service`; `None` if its collection is not declared.
    pub(crate) fn role(
        &mut self,
        me: &host::Name,
        service: &catalog::Service,
        settings: &Settings,
    ) -> Option<Role> {
        let config = Arc::clone(self.config.as_ref()?);
        let limits = config.collection(&service.collection)?.limits;
        let position = match self.positions.get(service) {
            Some(position) => *position,
            None => {
                let position = position(&config, me, service, limits.connections, settings);
                self.positions.insert(service.clone(), position);
                position
            }
        };
        let holders = holders(&config, limits.connections, settings);
        let hedges = settings.hedges;
        let (share, warm, hedges) = match (holders, position) {
            (None, _) => {
                let share =
                    roster::connections_per_candidate(config.hosts.len(), limits.connections);
                (share, limits.slots + 1, hedges)
            }
            (Some(holders), Some(0)) => {
                let hedges = divide_budget(hedges, holders.count);
                (holders.share.max(1), holders.warm, hedges)
            }
            (Some(_), _) => (STANDBY_CONNECTIONS, 0, divide_budget(hedges, u32::MAX)),
        };
        Some(Role {
            position,
            limits,
            share,
            warm,
            floors: config.floors,
            hedges,
        })
    }
}

/// The hosts that share the limits of a leaf, and the part of each.
struct Holders {
    count: u32,
    share: u32,
    warm: u32,
}

/// Returns how the limits are shared; `None` if the candidates of the whole fleet share them.
fn holders(config: &Config, connections: u32, settings: &Settings) -> Option<Holders> {
    let hosts = config.hosts.len();
    let direct = match settings.spread {
        Spread::Candidates => return None,
        Spread::AllHosts => true,
        Spread::Domain => roster::can_connect_directly(hosts, connections),
    };
    if direct {
        let count = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let share = connections / count;
        return Some(Holders {
            count,
            share,
            warm: 1,
        });
    }
    let domains: Set<&host::Domain> = config.hosts.iter().map(|h| &h.domain).collect();
    let count = u32::try_from(domains.len().max(1)).unwrap_or(u32::MAX);
    // Half is left for hosts that send themselves while the responsible one is silent.
    let share = connections / count / 2;
    Some(Holders {
        count,
        share,
        warm: 2,
    })
}

/// Returns the part of a hedge budget that each of `holders` hosts may use.
fn divide_budget(budget: hedge::Budget, holders: u32) -> hedge::Budget {
    let burst = (budget.burst / f64::from(holders)).max(MIN_HEDGE_BURST);
    hedge::Budget {
        share: budget.share,
        burst,
        start: burst.min(budget.start / f64::from(holders)),
    }
}

fn position(
    config: &Config,
    me: &host::Name,
    service: &catalog::Service,
    connections: u32,
    settings: &Settings,
) -> Option<usize> {
    let own = config.hosts.iter().find(|h| h.name == *me)?;
    match settings.spread {
        Spread::Candidates => {
            let mut candidates = roster::dispatchers(&config.hosts, service).into_iter();
            candidates.position(|h| h.name == *me)
        }
        Spread::AllHosts => Some(0),
        Spread::Domain if roster::can_connect_directly(config.hosts.len(), connections) => Some(0),
        Spread::Domain => {
            let sender = roster::sender(&config.hosts, &own.domain, service)?;
            Some(usize::from(sender.name != *me))
        }
    }
}

/// Groups the leafs by service.
pub(crate) fn by_service(leafs: &Leafs) -> Map<&catalog::Service, Vec<&leaf::Leaf>> {
    let mut services: Map<&catalog::Service, Vec<&leaf::Leaf>> = Map::default();
    for leaf in &leafs.leafs {
        services.entry(&leaf.service).or_default().push(leaf);
    }
    services
}
