//! The configuration that operators confirm, stored by the platform as object `config/current`.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{host, leaf, rank::Rank};

/// The version number of a configuration; each accepted configuration increments it by one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// An accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version number of this configuration.
    pub version: Version,
    /// The roster, which lists all entry hosts.
    pub hosts: Vec<host::Host>,
    /// The collections and the limits of their leafs.
    pub collections: Vec<Collection>,
    /// The searches that callers may run.
    pub searches: Vec<Search>,
    /// The callers and their permissions.
    pub callers: Vec<Caller>,
    /// The share of leaf slot time guaranteed to each rank under overload.
    pub floors: Floors,
}

/// A collection of records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collection {
    /// The collection's name.
    pub name: SmolStr,
    /// The number of services; each holds one shard.
    pub services: u16,
    /// The number of leafs of each service.
    pub leafs: u16,
    /// The capacity of each leaf.
    pub limits: leaf::Limits,
}

/// Whether a search prefers low latency or full coverage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Return a partial answer once the minimum coverage is reached and the outstanding replies
    /// are overdue compared with their dispatchers' usual latency, even if time is left.
    #[default]
    Time,
    /// Wait for full coverage until the maximum wait has passed.
    Coverage,
}

/// A search that callers may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Search {
    /// The search's name.
    pub name: SmolStr,
    /// The name of the collection to search.
    pub collection: SmolStr,
    /// Whether low latency or full coverage is preferred.
    #[serde(default)]
    pub priority: Priority,
    /// The minimum acceptable coverage, as a fraction of the records from 0 to 1.
    pub least_coverage: f64,
    /// The maximum time to wait for an answer, in milliseconds.
    pub longest_wait_ms: u32,
}

impl Search {
    /// Returns the maximum time to wait for an answer.
    pub fn longest_wait(&self) -> Duration {
        Duration::from_millis(self.longest_wait_ms.into())
    }
}

/// A caller and its permissions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The caller's name.
    pub name: SmolStr,
    /// The SHA-256 hash of the caller's API key, in lower-case hexadecimal.
    pub key_sha256: SmolStr,
    /// The most urgent rank that the caller may request.
    pub rank: Rank,
    /// The names of the searches that the caller may run.
    #[serde(default)]
    pub searches: Vec<SmolStr>,
    /// The names of the collections that the caller may send orders to.
    #[serde(default)]
    pub orders: Vec<SmolStr>,
}

/// The share of leaf slot time, from 0 to 1, guaranteed to each rank when more urgent work
/// would otherwise use all of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Floors {
    /// The share of leaf slot time guaranteed to urgent work.
    pub urgent: f64,
    /// The share of leaf slot time guaranteed to routine work.
    pub routine: f64,
    /// The share of leaf slot time guaranteed to intake.
    pub intake: f64,
}

impl Default for Floors {
    fn default() -> Self {
        Self {
            urgent: 0.5,
            routine: 0.2,
            intake: 0.05,
        }
    }
}

impl Floors {
    /// Returns the share of leaf slot time guaranteed to `rank`.
    pub const fn of(&self, rank: Rank) -> f64 {
        match rank {
            Rank::Urgent => self.urgent,
            Rank::Routine => self.routine,
            Rank::Intake => self.intake,
        }
    }
}

impl Config {
    /// Returns the number of services in all collections.
    pub fn services(&self) -> usize {
        let services = self.collections.iter().map(|c| usize::from(c.services));
        services.sum()
    }

    /// Returns the collection named `name`.
    pub fn collection(&self, name: &str) -> Option<&Collection> {
        self.collections.iter().find(|c| c.name == name)
    }

    /// Returns the search named `name`.
    pub fn search(&self, name: &str) -> Option<&Search> {
        self.searches.iter().find(|s| s.name == name)
    }
}
