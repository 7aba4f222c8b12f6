//! The objects that a host holds, with recent differences to send to peers.

use std::{collections::VecDeque, sync::Arc};

use rattanmast_model::{
    catalog::Catalog,
    exchange::{Body, Fetch, MAX_OBJECTS, MAX_REPLY_BYTES, Piece, Update},
    hash::{self, Map},
    store::{MAX_VALUE_BYTES, Version},
};
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu, ensure};

use crate::{delta, record, view::View};

/// The result type of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum number of earlier versions of an object from which differences can be sent. Further
/// differences in a received message are not applied.
const MAX_DELTA_STEPS: usize = 16;

/// An error because of which an object was rejected; the previous version stays in force.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The value can't be parsed as the type that the name implies.
    #[snafu(display(
        "failed to parse object {name} ({source}); the last valid version stays in use; repair the \
         object in the platform"
    ))]
    Unreadable {
        /// The name of the object.
        name: SmolStr,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A newer version of the object contains an older configuration.
    #[snafu(display(
        "configuration {new} was written over {held}; roll back with `rattanmast-ctl plan \
         --rollback`, which makes a higher version"
    ))]
    Reverts {
        /// The version of the configuration held.
        held: u64,
        /// The version of the rejected configuration.
        new: u64,
    },
    /// The name is not one that hosts read.
    #[snafu(display(
        "object {name} is not one that this host reads; if its collection is configured, upgrade \
         this host"
    ))]
    UnknownName {
        /// The name of the object.
        name: SmolStr,
    },
    /// The differences do not apply to the version held.
    #[snafu(display("differences of object {name} do not apply; the whole object is fetched"))]
    DeltaMismatch {
        /// The name of the object.
        name: SmolStr,
    },
}

/// A stored object.
#[derive(Debug)]
struct Entry {
    version: Version,
    value: Arc<[u8]>,
    /// The versions before this one, oldest first, each with its difference to the next version.
    steps: VecDeque<(Version, Vec<Piece>)>,
}

/// The objects that a host holds.
#[derive(Debug, Default)]
pub struct Table {
    objects: Map<SmolStr, Entry>,
    view: View,
}

impl Table {
    /// Returns the parsed objects.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the version of an object, or 0 if the object is not held.
    pub fn version(&self, name: &str) -> Version {
        self.objects
            .get(name)
            .map_or(Version(0), |entry| entry.version)
    }

    /// Returns a hash of the names and versions of all objects, independent of their order.
    pub fn summary(&self) -> u64 {
        let one = |(name, entry): (&SmolStr, &Entry)| {
            hash::stable([name.as_bytes(), &entry.version.0.to_le_bytes()])
        };
        self.objects.iter().map(one).fold(0, u64::wrapping_add)
    }

    /// Returns the names and versions of the newest objects, up to the limit of a digest.
    pub fn list(&self) -> Vec<(SmolStr, Version)> {
        let all = self
            .objects
            .iter()
            .map(|(n, entry)| (n.clone(), entry.version));
        let mut list: Vec<_> = all.collect();
        list.sort_unstable_by_key(|b| std::cmp::Reverse(b.1));
        list.truncate(MAX_OBJECTS);
        list
    }

    /// Returns a request for those of a peer's objects that are newer than the ones held.
    pub fn fetch_newer(&self, theirs: &[(SmolStr, Version)]) -> Fetch {
        let newer = theirs
            .iter()
            .filter(|(n, v)| *v > self.version(n) && self.is_relevant(n));
        Fetch {
            wants: newer.map(|(n, _)| (n.clone(), self.version(n))).collect(),
        }
    }

    /// Returns whether any object is newer than in the peer's list, or missing from it.
    pub fn has_newer(&self, theirs: &[(SmolStr, Version)]) -> bool {
        self.objects.iter().any(|(name, entry)| {
            let has = theirs.iter().find(|(n, _)| n == name).map(|(_, v)| *v);
            has.is_none_or(|v| v < entry.version)
        })
    }

    /// Returns whether this host reads the object `name`.
    ///
    /// Catalogs of collections that are not in the configuration are ignored, so that peers can't
    /// exhaust the host's memory.
    pub fn is_relevant(&self, name: &str) -> bool {
        match name {
            record::CURRENT_CONFIG | record::HOSTS | record::LEAFS => true,
            _ => name
                .strip_prefix(record::CATALOG)
                .is_some_and(|c| self.view.config.collection(c).is_some()),
        }
    }

    /// Returns the reply to a request for objects, up to the size limit of a reply.
    pub fn updates(&self, fetch: &Fetch) -> Vec<Update> {
        let mut remaining = MAX_REPLY_BYTES;
        let wants = fetch.wants.iter().take(MAX_OBJECTS);
        let updates = wants.filter_map(|(n, have)| self.update(n, *have));
        updates
            .take_while(|u| {
                let fits = u.max_encoded_len() <= remaining;
                remaining = remaining.saturating_sub(u.max_encoded_len());
                fits
            })
            .collect()
    }

    fn update(&self, name: &str, have: Version) -> Option<Update> {
        let (name, entry) = self.objects.get_key_value(name)?;
        if entry.version <= have {
            return None;
        }
        let from = entry.steps.iter().position(|(v, _)| *v == have);
        let steps = from.map(|i| entry.steps.iter().skip(i).map(|(_, p)| p.clone()));
        let steps = steps.map(Iterator::collect::<Vec<_>>);
        let is_small = |s: &Vec<Vec<Piece>>| {
            let cost: usize = s.iter().flatten().map(Piece::max_encoded_len).sum();
            cost < entry.value.len() / 2
        };
        Some(Update {
            name: name.clone(),
            version: entry.version,
            check: checksum(&entry.value),
            body: match steps.filter(is_small) {
                Some(steps) => Body::Steps(steps),
                None => Body::Whole(entry.value.to_vec()),
            },
        })
    }

    /// Applies an update from a peer if it is newer; returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns an error if the object can't be parsed or the differences do not apply.
    pub fn receive(&mut self, update: Update) -> Result<bool> {
        let Update {
            name,
            version,
            check: expected,
            body,
        } = update;
        if version <= self.version(&name) {
            return Ok(false);
        }
        let value = match body {
            Body::Whole(value) => Some(value),
            Body::Steps(steps) => {
                let old = self
                    .objects
                    .get(&name)
                    .map_or(&[][..], |entry| &entry.value);
                steps
                    .iter()
                    .take(MAX_DELTA_STEPS)
                    .try_fold(old.to_vec(), |v, s| delta::apply(&v, s))
            }
        };
        let value = value.filter(|v| v.len() <= MAX_VALUE_BYTES && checksum(v) == expected);
        let Some(value) = value else {
            return DeltaMismatchSnafu { name }.fail();
        };
        self.offer(&name, version, value)
    }

    /// Stores an object if it is newer than the one held; returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns an error if the object can't be parsed or would revert the configuration.
    pub fn offer(&mut self, name: &str, version: Version, value: Vec<u8>) -> Result<bool> {
        if version <= self.version(name) {
            return Ok(false);
        }
        self.parse(name, &value)?;
        let value: Arc<[u8]> = value.into();
        match self.objects.get_mut(name) {
            None => {
                let steps = VecDeque::new();
                let entry = Entry {
                    version,
                    value,
                    steps,
                };
                self.objects.insert(SmolStr::new(name), entry);
            }
            Some(entry) => {
                let pieces = delta::diff(&entry.value, &value);
                if pieces.iter().map(Piece::max_encoded_len).sum::<usize>() * 4 < value.len() {
                    entry.steps.push_back((entry.version, pieces));
                    let excess = entry.steps.len().saturating_sub(MAX_DELTA_STEPS);
                    entry.steps.drain(..excess);
                } else {
                    entry.steps.clear();
                }
                entry.version = version;
                entry.value = value;
            }
        }
        Ok(true)
    }

    /// Parses the object into the view.
    fn parse(&mut self, name: &str, value: &[u8]) -> Result<()> {
        let unreadable = UnreadableSnafu { name };
        match name {
            record::CURRENT_CONFIG => {
                let config: rattanmast_model::config::Config =
                    serde_json::from_slice(value).context(unreadable)?;
                let (held, new) = (self.view.config.version.0, config.version.0);
                ensure!(new > held, RevertsSnafu { held, new });
                self.view.config = Arc::new(config);
                self.remove_unused_catalogs();
            }
            record::HOSTS => {
                let hosts = serde_json::from_slice(value).context(unreadable)?;
                self.view.hosts = Arc::new(hosts);
            }
            record::LEAFS => {
                let leafs = serde_json::from_slice(value).context(unreadable)?;
                self.view.leafs = Arc::new(leafs);
            }
            _ => {
                ensure!(self.is_relevant(name), UnknownNameSnafu { name });
                let catalog: Catalog = serde_json::from_slice(value).context(unreadable)?;
                let collection = SmolStr::new(&name[record::CATALOG.len()..]);
                Arc::make_mut(&mut self.view.catalogs).insert(collection, Arc::new(catalog));
            }
        }
        Ok(())
    }

    /// Removes the catalogs of collections that are no longer in the configuration.
    fn remove_unused_catalogs(&mut self) {
        let config = self.view.config.clone();
        let kept = |c: &str| config.collection(c).is_some();
        self.objects
            .retain(|n, _| n.strip_prefix(record::CATALOG).is_none_or(kept));
        if self.view.catalogs.keys().any(|c| !kept(c)) {
            Arc::make_mut(&mut self.view.catalogs).retain(|c, _| kept(c));
        }
    }
}

/// Returns the first 8 bytes of the SHA-256 hash of `value`.
fn checksum(value: &[u8]) -> [u8; 8] {
    let hash = Sha256::digest(value);
    std::array::from_fn(|i| hash[i])
}
