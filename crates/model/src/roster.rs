//! Assignment of responsibilities to hosts by rendezvous hashing.

use crate::{catalog::Service, hash, hash::Set, host, host::Host};

mod senders;

pub use senders::{Senders, can_connect_directly};

/// The number of hosts that may dispatch to a service, or write claims for a partition.
pub const MAX_CANDIDATES: usize = 3;

/// The maximum number of watchers, which read the platform on behalf of all hosts.
pub const MAX_WATCHERS: usize = 9;

/// The number of adjacent roster versions that may be in force at once during a rollout.
const MAX_CONCURRENT_VERSIONS: usize = 2;

/// Returns the `count` hosts with the highest rendezvous weight for `item`.
///
/// Each pass selects at most one host per failure domain, so that the loss of one domain
/// leaves candidates in the others. Hosts are returned in the order of responsibility.
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

/// Returns the hosts that may dispatch to `service`, in the order of responsibility.
pub fn dispatchers<'a>(hosts: &'a [Host], service: &Service) -> Vec<&'a Host> {
    let index = service.index.to_le_bytes();
    let item: [&[u8]; 3] = [b"service", service.collection.as_bytes(), &index];
    candidates(hosts, &item, MAX_CANDIDATES)
}

/// Returns the hosts of `domain`, in the order of responsibility for `item`.
pub fn ranked_in_domain<'a>(hosts: &'a [Host], domain: &str, item: &[&[u8]]) -> Vec<&'a Host> {
    let weight = |host: &Host| hash::stable(item.iter().copied().chain([host.name.as_bytes()]));
    let mut hosts: Vec<&Host> = hosts.iter().filter(|h| h.domain == domain).collect();
    hosts.sort_by_cached_key(|host| (std::cmp::Reverse(weight(host)), host.name.clone()));
    hosts
}

/// The maximum number of readers in each failure domain.
pub const MAX_READERS: usize = 3;

/// Returns the hosts of `domain` that read the platform on behalf of the other hosts there.
///
/// Each reader sends the full state to many hosts at once, so hosts with the highest link
/// bandwidth are preferred.
pub fn readers<'a>(hosts: &'a [Host], domain: &str) -> Vec<&'a Host> {
    let mut readers = ranked_in_domain(hosts, domain, &[b"readers"]);
    readers.sort_by_key(|host| std::cmp::Reverse(host.link_mbps));
    readers.truncate(MAX_READERS);
    readers
}

/// Returns the hosts that may write claims for `partition`, in the order of responsibility.
pub fn claimers(hosts: &[Host], partition: u16) -> Vec<&Host> {
    let partition = partition.to_le_bytes();
    candidates(hosts, &[b"claims", &partition], MAX_CANDIDATES)
}

/// Returns the watchers, which read the platform on behalf of all hosts.
pub fn watchers(hosts: &[Host]) -> Vec<&Host> {
    candidates(hosts, &[b"watchers"], MAX_WATCHERS)
}

/// Returns how many of a leaf's `connections` each candidate may hold.
///
/// The candidates of two adjacent roster versions together never hold more than `connections`, even
/// if several of them consider themselves the first candidate. The result is 0 if the two versions
/// together may have more candidates than `connections`; planning rejects such a collection.
pub fn connections_per_candidate(hosts: usize, connections: u32) -> u32 {
    let holders = hosts.clamp(1, MAX_CANDIDATES * MAX_CONCURRENT_VERSIONS);
    connections / u32::try_from(holders).unwrap_or(u32::MAX)
}
