//! The platform's objects for an installation, and changes to the placement of its data.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rattanmast_model::{
    catalog::{Catalog, Hosts, Leafs, Part, Placement, Service, Snapshot},
    config::{self, Caller, Config, Floors, Priority},
    hash::Map,
    host::{self, Host},
    leaf,
    preset::Preset,
    range::{KEY_SPACE_END, Range, Set},
    rank::Rank,
};
use sha2::{Digest as _, Sha256};
use smol_str::{SmolStr, format_smolstr};

use crate::records;

/// The number of newest snapshots of a collection that are retained.
const MAX_SNAPSHOTS: usize = 2;

/// The first port of the hosts; each host uses three consecutive ports.
pub const FIRST_HOST_PORT: u16 = 17_000;

/// The first port of the leafs; each leaf uses one.
pub const FIRST_LEAF_PORT: u16 = 20_000;

/// An installation's hosts, leafs and records.
#[derive(Clone, Debug)]
pub struct Data {
    /// The preset that defines the size of the installation.
    pub preset: Preset,
    /// The entry hosts.
    pub hosts: Vec<Host>,
    /// The leafs, ordered by collection, service and replica.
    pub leafs: Leafs,
    /// The catalogs, one per collection.
    pub catalogs: Vec<Catalog>,
}

/// Returns the key of the caller `name` of the default configuration.
pub fn caller_key(name: &str) -> String {
    format!("{name}-key")
}

/// Returns `127.0.0.1:port`.
pub const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

impl Data {
    /// Returns an installation with snapshot 1 of each collection, split evenly.
    ///
    /// Addresses are on the loopback interface from [`FIRST_HOST_PORT`] and [`FIRST_LEAF_PORT`].
    pub fn new(preset: Preset) -> Self {
        let domain = |i: usize| SmolStr::new_static(preset.domains[i % preset.domains.len()]);
        let hosts = (0..preset.hosts)
            .zip((FIRST_HOST_PORT..).step_by(3))
            .map(|(i, port)| Host {
                name: format_smolstr!("{}-{}", preset.name, i + 1),
                domain: domain(i),
                http: loopback(port),
                hop: loopback(port + 1),
                exchange: loopback(port + 2),
                link_mbps: 0,
                cpu_millis: 0,
            })
            .collect();
        let leafs = preset
            .collections
            .iter()
            .flat_map(|c| (0..c.services).flat_map(move |s| (0..c.leafs).map(move |l| (c, s, l))))
            .zip(FIRST_LEAF_PORT..)
            .map(|((c, service, replica), port)| leaf::Leaf {
                name: format_smolstr!("{}-{service:02}-{replica}", c.name),
                addr: loopback(port),
                domain: domain(usize::from(service + replica)),
                service: Service {
                    collection: c.name.clone(),
                    index: service,
                },
                state: host::State::Live,
                lifetime: host::Incarnation::default(),
            })
            .collect();
        let mut data = Self {
            preset,
            hosts,
            leafs: Leafs { leafs },
            catalogs: Vec::new(),
        };
        for collection in data.preset.collections.clone() {
            data.catalogs.push(Catalog {
                collection: collection.name.clone(),
                versions: Vec::new(),
            });
            data.publish(&collection.name);
        }
        data
    }

    /// Returns the catalog of `collection`.
    ///
    /// # Panics
    ///
    /// If the preset has no such collection.
    pub fn catalog(&self, collection: &str) -> &Catalog {
        let mut catalogs = self.catalogs.iter();
        let found = catalogs.find(|c| c.collection == collection);
        found.expect("the collection is one of the preset's")
    }

    /// Returns the newest version of `collection`.
    pub fn newest(&self, collection: &str) -> &Placement {
        let newest = self.catalog(collection).versions.last();
        newest.expect("a catalog has a version from the start")
    }

    /// Publishes the next snapshot of `collection` with the placement of the newest one.
    ///
    /// Only the newest two snapshots are retained.
    pub fn publish(&mut self, collection: &str) -> Snapshot {
        let last = self.catalog(collection).versions.last().cloned();
        let snapshot = Snapshot(last.as_ref().map_or(1, |v| v.snapshot.0 + 1));
        let placement: Vec<(Range, u16)> = match last {
            Some(version) => version.parts.iter().map(|p| (p.range, p.service)).collect(),
            None => self.even_placement(collection),
        };
        let parts = placement
            .into_iter()
            .map(|(range, service)| self.part(collection, snapshot, range, service))
            .collect();
        let versions = &mut self.catalog_mut(collection).versions;
        versions.push(Placement { snapshot, parts });
        versions.drain(..versions.len().saturating_sub(MAX_SNAPSHOTS));
        snapshot
    }

    /// Splits the part at `index` of the newest version into two ranges of equal width.
    pub fn split_part(&mut self, collection: &str, index: usize) {
        let Placement { snapshot, parts } = self.newest(collection);
        let (snapshot, original) = (*snapshot, parts[index].clone());
        let middle = original.range.start.midpoint(original.range.end);
        let halves = [
            Range::new(original.range.start, middle),
            Range::new(middle, original.range.end),
        ];
        let halves = halves.map(|r| self.part(collection, snapshot, r, original.service));
        self.parts_mut(collection).splice(index..=index, halves);
    }

    /// Merges the part at `index` of the newest version with the next one.
    ///
    /// The merged part stays on the service of the first.
    pub fn merge_parts(&mut self, collection: &str, index: usize) {
        let Placement { snapshot, parts } = self.newest(collection);
        let (first, second) = (&parts[index], &parts[index + 1]);
        let range = Range::new(first.range.start, second.range.end);
        let merged = self.part(collection, *snapshot, range, first.service);
        self.parts_mut(collection)
            .splice(index..=index + 1, [merged]);
    }

    /// Moves the part at `index` of the newest version to `service`.
    pub fn move_part(&mut self, collection: &str, index: usize, service: u16) {
        let Placement { snapshot, parts } = self.newest(collection);
        let moved = self.part(collection, *snapshot, parts[index].range, service);
        self.parts_mut(collection)[index] = moved;
    }

    /// Returns the snapshots and keys that each leaf holds.
    pub fn holdings(&self) -> Map<leaf::Name, Vec<(Snapshot, Set)>> {
        let mut holdings: Map<leaf::Name, Vec<(Snapshot, Set)>> = Map::default();
        for version in self.catalogs.iter().flat_map(|c| &c.versions) {
            for part in &version.parts {
                for leaf in &part.leafs {
                    let held = holdings.entry(leaf.clone()).or_default();
                    if held.last().is_none_or(|(s, _)| *s != version.snapshot) {
                        held.push((version.snapshot, Set::new()));
                    }
                    held.iter_mut()
                        .last()
                        .into_iter()
                        .for_each(|(_, set)| set.insert(part.range));
                }
            }
        }
        holdings
    }

    /// Returns the default configuration: one search per collection and three callers.
    ///
    /// Each caller may use all searches and submit orders for all collections.
    ///
    /// The callers are `bench` (urgent), `desk` (routine) and `intake`; see [`caller_key`].
    /// Each search is named after its collection.
    pub fn config(&self) -> Config {
        let names: Vec<SmolStr> = self
            .preset
            .collections
            .iter()
            .map(|c| c.name.clone())
            .collect();
        let priority = match self.preset.name {
            "switzerland" => Priority::Coverage,
            _ => Priority::Time,
        };
        let search = |name: &SmolStr| config::Search {
            name: name.clone(),
            collection: name.clone(),
            priority,
            least_coverage: 0.9,
            longest_wait_ms: 2_000,
        };
        let caller = |(name, rank): (&str, Rank)| Caller {
            name: SmolStr::new(name),
            key_sha256: sha256_hex(&caller_key(name)),
            rank,
            searches: names.clone(),
            orders: names.clone(),
        };
        let ranks = [
            ("bench", Rank::Urgent),
            ("desk", Rank::Routine),
            ("intake", Rank::Intake),
        ];
        Config {
            version: config::Version(1),
            hosts: self.hosts.clone(),
            collections: self.preset.collections.clone(),
            searches: names.iter().map(search).collect(),
            callers: ranks.into_iter().map(caller).collect(),
            floors: Floors::default(),
        }
    }

    /// Returns the object `hosts` with all hosts live.
    pub fn live_hosts(&self) -> Hosts {
        let live = |h: &Host| (h.name.clone(), host::State::Live);
        Hosts {
            hosts: self.hosts.iter().map(live).collect(),
        }
    }

    /// Returns the names and JSON values of the platform's objects.
    pub fn objects(&self) -> Vec<(String, Vec<u8>)> {
        let config = json(&self.config());
        let mut objects = vec![
            ("config/current".to_owned(), config.clone()),
            ("config/history/1".to_owned(), config),
            ("hosts".to_owned(), json(&self.live_hosts())),
            ("leafs".to_owned(), json(&self.leafs)),
        ];
        objects.extend(self.catalogs.iter().map(encode_catalog));
        objects
    }

    /// Returns the name and JSON of the catalog of `collection`.
    pub fn encode_catalog(&self, collection: &str) -> (String, Vec<u8>) {
        encode_catalog(self.catalog(collection))
    }

    fn even_placement(&self, collection: &str) -> Vec<(Range, u16)> {
        let mut collections = self.preset.collections.iter();
        let services = collections
            .find(|c| c.name == collection)
            .map_or(1, |c| c.services);
        let boundary = |i: u16| KEY_SPACE_END * u64::from(i) / u64::from(services);
        (0..services)
            .map(|i| (Range::new(boundary(i), boundary(i + 1)), i))
            .collect()
    }

    fn part(&self, collection: &str, snapshot: Snapshot, range: Range, service: u16) -> Part {
        let serves =
            |l: &&leaf::Leaf| l.service.collection == collection && l.service.index == service;
        let leafs = self.leafs.leafs.iter().filter(serves);
        Part {
            range,
            records: records::count(collection, snapshot, range),
            service,
            leafs: leafs.map(|l| l.name.clone()).collect(),
        }
    }

    fn catalog_mut(&mut self, collection: &str) -> &mut Catalog {
        let mut catalogs = self.catalogs.iter_mut();
        let found = catalogs.find(|c| c.collection == collection);
        found.expect("the collection is one of the preset's")
    }

    fn parts_mut(&mut self, collection: &str) -> &mut Vec<Part> {
        let newest = self.catalog_mut(collection).versions.last_mut();
        &mut newest
            .expect("a catalog has a version from the start")
            .parts
    }
}

fn encode_catalog(catalog: &Catalog) -> (String, Vec<u8>) {
    (format!("catalog/{}", catalog.collection), json(catalog))
}

fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("the model's types have text keys only")
}

fn sha256_hex(key: &str) -> SmolStr {
    let hash = Sha256::digest(key.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}
