//! Placement: which hosts are responsible for what, by rendezvous hashing.

use crate::{catalog::Service, hash, hash::Set, host, host::Host};

/// Hosts that may dispatch to a service, or claim for a partition.
pub const CANDIDATES: usize = 3;

/// The most hosts that read the platform on behalf of the others.
pub const WATCHERS: usize = 9;

/// Adjacent roster versions that may be in force at once while one spreads.
const MAX_CONCURRENT_VERSIONS: usize = 2;

/// Returns the `count` hosts with the highest rendezvous weight for `item`.
///
/// Hosts in failure domains that are not yet represented go first, so that the
/// loss of one domain leaves the others. The order is the order of responsibility.
pub fn candidates<'a>(hosts: &'a [Host], item: &[&[u8]], count: usize) -> Vec<&'a Host> {
    let mut remaining: Vec<(u64, &Host)> = hosts
        .iter()
        .map(|host| {
            let parts = item.iter().copied().chain([host.name.as_bytes()]);
            (hash::stable(parts), host)
        })
        .collect();
    remaining.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));

    let mut chosen = Vec::with_capacity(count.min(hosts.len()));
    while chosen.len() < count && !remaining.is_empty() {
        let mut domains: Set<&host::Domain> = Set::default();
        remaining.retain(|(_, host)| {
            let is_chosen = chosen.len() < count && domains.insert(&host.domain);
            if is_chosen {
                chosen.push(*host);
            }
            !is_chosen
        });
    }
    chosen
}

/// Returns the hosts that may dispatch to `service`, the first one first.
pub fn dispatchers<'a>(hosts: &'a [Host], service: &Service) -> Vec<&'a Host> {
    let index = service.index.to_le_bytes();
    let item: [&[u8]; 3] = [b"service", service.collection.as_bytes(), &index];
    candidates(hosts, &item, CANDIDATES)
}

/// Returns the hosts of `domain` by their responsibility for `item`, the first one first.
pub fn within<'a>(hosts: &'a [Host], domain: &str, item: &[&[u8]]) -> Vec<&'a Host> {
    let weight = |host: &Host| hash::stable(item.iter().copied().chain([host.name.as_bytes()]));
    let mut hosts: Vec<&Host> = hosts.iter().filter(|h| h.domain == domain).collect();
    hosts.sort_by_cached_key(|host| (std::cmp::Reverse(weight(host)), host.name.clone()));
    hosts
}

/// Connections to each leaf that a host needs to send requests itself.
const MIN_CONNECTIONS: u32 = 2;

/// Tells whether all hosts may hold connections to the same leafs.
///
/// Where they may not, one host of each failure domain sends the requests of the others too, over
/// connections that are used often enough to stay open.
pub fn is_direct(hosts: usize, connections: u32) -> bool {
    let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
    connections / hosts >= MIN_CONNECTIONS
}

/// Returns the host of `domain` that sends requests to `service` for the others.
pub fn sender<'a>(hosts: &'a [Host], domain: &str, service: &Service) -> Option<&'a Host> {
    let index = service.index.to_le_bytes();
    let item: [&[u8]; 3] = [b"sender", service.collection.as_bytes(), &index];
    within(hosts, domain, &item).first().copied()
}

/// Hosts of each failure domain that read the platform on behalf of the others.
pub const READERS: usize = 3;

/// Returns the hosts of `domain` that read the platform on behalf of the others.
///
/// Each sends all that is known to many hosts at once, so those with the widest links go first.
pub fn readers<'a>(hosts: &'a [Host], domain: &str) -> Vec<&'a Host> {
    let mut readers = within(hosts, domain, &[b"readers"]);
    readers.sort_by_key(|host| std::cmp::Reverse(host.link_mbps));
    readers.truncate(READERS);
    readers
}

/// Returns the hosts that may write claims for `partition`, the first one first.
pub fn claimers(hosts: &[Host], partition: u16) -> Vec<&Host> {
    let partition = partition.to_le_bytes();
    candidates(hosts, &[b"claims", &partition], CANDIDATES)
}

/// Returns the hosts that read the platform on behalf of the others.
pub fn watchers(hosts: &[Host]) -> Vec<&Host> {
    candidates(hosts, &[b"watchers"], WATCHERS)
}

/// Returns how many of a leaf's `connections` one candidate may hold.
///
/// The candidates of two adjacent roster versions together never hold more than
/// `connections`, whichever of them believes to be first. It is 0 if there are
/// fewer connections than candidates; a plan refuses such a collection.
pub fn share(hosts: usize, connections: u32) -> u32 {
    let holders = hosts.clamp(1, CANDIDATES * MAX_CONCURRENT_VERSIONS);
    connections / u32::try_from(holders).unwrap_or(u32::MAX)
}
