//! Selection of the hosts that send to leafs on behalf of their failure domain.

use std::cmp::Reverse;

use super::MAX_CANDIDATES;
use crate::{catalog::Service, hash, host::Host};

/// The minimum number of connections to each leaf that a host needs to send requests directly.
const MIN_CONNECTIONS: u32 = 2;

/// The maximum number of services to which every host sends directly.
///
/// With more of them, a host uses each connection too seldom to keep it open, and preparing the
/// requests of one wide query takes a small host longer than the query may.
const MAX_DIRECT_SERVICES: usize = 64;

/// The minimum number of senders in a failure domain, so that the loss of one matters little.
const MIN_SENDERS: usize = 3;

/// The part of a failure domain's processor capacity that its senders have together.
const SENDERS_CAPACITY_SHARE: f64 = 0.2;

/// The processor capacity of a host that does not state it, in thousandths of a core.
const DEFAULT_CPU_MILLIS: u32 = 250;

/// Returns whether every host of a fleet sends to the leafs of a service directly.
///
/// `services` is the number of all services of the fleet, and `connections` the limit of each leaf.
/// If the result is false, a few hosts of each failure domain send the requests of the others too,
/// over connections that are used often enough to stay open.
pub fn can_connect_directly(hosts: usize, services: usize, connections: u32) -> bool {
    let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
    services <= MAX_DIRECT_SERVICES && connections / hosts >= MIN_CONNECTIONS
}

/// The hosts of one failure domain, divided into its senders and the others.
///
/// The senders are the hosts with the most processor capacity. There are as few of them as have
/// [`SENDERS_CAPACITY_SHARE`] together, because each handover of a query costs its host time.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    senders: Vec<Host>,
    others: Vec<Host>,
}

impl Senders {
    /// Selects the senders among the hosts of `domain`.
    pub fn select(hosts: &[Host], domain: &str) -> Self {
        let in_domain = hosts.iter().filter(|h| h.domain == domain);
        let mut senders: Vec<Host> = in_domain.cloned().collect();
        senders.sort_by_cached_key(|host| (Reverse(cpu_millis(host)), host.name.clone()));
        let total: f64 = senders.iter().map(|host| f64::from(cpu_millis(host))).sum();
        let wanted = total * SENDERS_CAPACITY_SHARE;
        let mut capacity = 0.0;
        let enough = senders.iter().position(|host| {
            capacity += f64::from(cpu_millis(host));
            capacity >= wanted
        });
        let count = enough.map_or(0, |last| last + 1).max(MIN_SENDERS);
        let others = senders.split_off(count.min(senders.len()));
        Self { senders, others }
    }

    /// Returns the number of senders.
    pub fn count(&self) -> usize {
        self.senders.len()
    }

    /// Returns the hosts that may send to `service`, in the order of responsibility.
    ///
    /// The last one is no sender if there are other hosts, so that a domain that loses all of its
    /// senders still has one for each service.
    pub fn candidates(&self, service: &Service) -> Vec<&Host> {
        let mut candidates = ranked(&self.senders, service);
        candidates.truncate(MAX_CANDIDATES);
        candidates.extend(ranked(&self.others, service).first().copied());
        candidates
    }
}

fn cpu_millis(host: &Host) -> u32 {
    match host.cpu_millis {
        0 => DEFAULT_CPU_MILLIS,
        known => known,
    }
}

/// Returns `hosts` by weighted rendezvous hashing: each is first for a share of the services that
/// corresponds to its capacity.
fn ranked<'a>(hosts: &'a [Host], service: &Service) -> Vec<&'a Host> {
    let index = service.index.to_le_bytes();
    let weighted = |host: &'a Host| {
        let item: [&[u8]; 3] = [b"sender", service.collection.as_bytes(), &index];
        let hash = hash::stable(item.into_iter().chain([host.name.as_bytes()]));
        // The upper bits are exact as `f64`; the draw lies between 0 and 1, both excluded.
        let draw = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        (-f64::from(cpu_millis(host)) / draw.ln(), host)
    };
    let mut hosts: Vec<(f64, &Host)> = hosts.iter().map(weighted).collect();
    hosts.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
    hosts.into_iter().map(|(_, host)| host).collect()
}
