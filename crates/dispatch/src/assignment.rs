//! Assigns services and shares of their connections to this host.

use std::sync::Arc;

use rattanmast_model::{
    catalog::{self, Leafs},
    config::Config,
    hash::{Map, Set},
    host, leaf,
    roster::{self, Senders},
};
use smol_str::SmolStr;

use crate::{
    hedge,
    settings::{Settings, Spread},
    state::Role,
};

/// Connections to a leaf that a host may open if it is no candidate of the service.
const STANDBY_CONNECTIONS: u32 = 1;

/// Minimum burst of a divided hedge budget: below one, no hedge could ever be sent.
const MIN_HEDGE_BURST: f64 = 1.0;

/// Connections to each leaf that a host keeps open if every host sends directly.
const WARM_CONNECTIONS_OF_EACH_HOST: u32 = 1;

/// Connections to each leaf that the sender of a failure domain keeps open.
const WARM_CONNECTIONS_OF_SENDER: u32 = 2;

/// The positions of this host among the candidates of each service.
///
/// They are cached until the roster or the number of services changes.
#[derive(Debug, Default)]
pub(crate) struct Assignment {
    config: Option<Arc<Config>>,
    positions: Map<catalog::Service, Option<usize>>,
    /// The number of failure domains in the roster.
    domains: u32,
    /// The number of services in all collections.
    services: usize,
    limits: Map<SmolStr, leaf::Limits>,
    /// The senders of this host's failure domain.
    senders: Senders,
}

impl Assignment {
    /// Sets the configuration, and clears the cached positions if they may differ.
    pub(crate) fn apply(&mut self, me: &host::Name, config: &Arc<Config>) {
        let same_hosts = self
            .config
            .as_ref()
            .is_some_and(|c| c.hosts == config.hosts);
        let services = config.services();
        if !same_hosts {
            let domains: Set<&host::Domain> = config.hosts.iter().map(|h| &h.domain).collect();
            self.domains = u32::try_from(domains.len().max(1)).unwrap_or(u32::MAX);
            let own = config.hosts.iter().find(|h| h.name == *me);
            self.senders = own.map_or_else(Senders::default, |own| {
                Senders::select(&config.hosts, &own.domain)
            });
        }
        if !same_hosts || services != self.services {
            self.positions.clear();
        }
        self.services = services;
        let limits = config.collections.iter();
        self.limits = limits.map(|c| (c.name.clone(), c.limits)).collect();
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
        let limits = *self.limits.get(&service.collection)?;
        let hosts = config.hosts.len();
        let direct = match settings.spread {
            Spread::Candidates => false,
            Spread::AllHosts => true,
            Spread::Domain => {
                roster::can_connect_directly(hosts, self.services, limits.connections)
            }
        };
        let position = match self.positions.get(service) {
            Some(position) => *position,
            None => {
                let position = self.position(me, service, direct, settings);
                self.positions.insert(service.clone(), position);
                position
            }
        };
        let allotment = match settings.spread {
            Spread::Candidates => Allotment {
                share: roster::connections_per_candidate(hosts, limits.connections),
                warm: limits.slots + 1,
                hedges: settings.hedges,
                holders: count(hosts),
            },
            _ if direct => Allotment::of_each_host(hosts, limits.connections, settings.hedges),
            _ => Allotment::in_domain(position, self.domains, limits.connections, settings.hedges),
        };
        Some(Role {
            position,
            limits,
            share: allotment.share,
            holders: allotment.holders,
            warm: allotment.warm,
            floors: config.floors,
            hedges: allotment.hedges,
        })
    }

    fn position(
        &self,
        me: &host::Name,
        service: &catalog::Service,
        direct: bool,
        settings: &Settings,
    ) -> Option<usize> {
        let config = self.config.as_ref()?;
        config.hosts.iter().find(|h| h.name == *me)?;
        match settings.spread {
            Spread::Candidates => {
                let mut candidates = roster::dispatchers(&config.hosts, service).into_iter();
                candidates.position(|h| h.name == *me)
            }
            _ if direct => Some(0),
            _ => {
                let candidates = self.senders.candidates(service);
                let position = candidates.iter().position(|h| h.name == *me);
                Some(position.unwrap_or(candidates.len()))
            }
        }
    }
}

/// The part of a service's limits that a host may use.
struct Allotment {
    share: u32,
    warm: u32,
    hedges: hedge::Budget,
    /// The number of hosts among which limits are divided into parts such as this one.
    holders: u32,
}

impl Allotment {
    /// Divides the limits equally among all hosts.
    fn of_each_host(hosts: usize, connections: u32, hedges: hedge::Budget) -> Self {
        let holders = count(hosts);
        Self {
            share: (connections / holders).max(1),
            warm: WARM_CONNECTIONS_OF_EACH_HOST,
            hedges: divide_budget(hedges, holders),
            holders,
        }
    }

    /// Divides the limits among the failure domains: half of a domain's connections are for its
    /// sender, and the rest for hosts that send while the sender is silent.
    fn in_domain(
        position: Option<usize>,
        domains: u32,
        connections: u32,
        hedges: hedge::Budget,
    ) -> Self {
        let share = connections / domains / 2;
        // The budget of a stand-in has to be earned, as the sender may have spent its own.
        let unearned = |divisor| hedge::Budget {
            start: 0.0,
            ..divide_budget(hedges, divisor)
        };
        // Each stand-in has half of what the candidate before it has.
        let holders = match position {
            Some(position @ 0..=2) => domains.saturating_mul(1 << position),
            _ => u32::MAX,
        };
        match position {
            Some(0) => Self {
                share: share.max(1),
                warm: WARM_CONNECTIONS_OF_SENDER,
                hedges: divide_budget(hedges, holders),
                holders,
            },
            Some(position @ 1..=2) => Self {
                share: (share >> position).max(STANDBY_CONNECTIONS),
                warm: 0,
                hedges: unearned(holders),
                holders,
            },
            _ => Self {
                share: STANDBY_CONNECTIONS,
                warm: 0,
                hedges: unearned(holders),
                holders,
            },
        }
    }
}

/// Returns a number of hosts, at least one.
fn count(hosts: usize) -> u32 {
    u32::try_from(hosts.max(1)).unwrap_or(u32::MAX)
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

/// Groups the leafs by service.
pub(crate) fn by_service(leafs: &Leafs) -> Map<&catalog::Service, Vec<&leaf::Leaf>> {
    let mut services: Map<&catalog::Service, Vec<&leaf::Leaf>> = Map::default();
    for leaf in &leafs.leafs {
        services.entry(&leaf.service).or_default().push(leaf);
    }
    services
}
