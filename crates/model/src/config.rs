//! The configuration that operators accept; object `config/current` of the platform.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{host, leaf, rank::Rank};

/// The number of a configuration; each accepted one is one higher.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// An accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The number of the configuration.
    pub version: Version,
    /// The roster: all entry hosts.
    pub hosts: Vec<host::Host>,
    /// The collections and the limits of their leafs.
    pub collections: Vec<Collection>,
    /// The searches that callers may run.
    pub searches: Vec<Search>,
    /// The callers and their rights.
    pub callers: Vec<Caller>,
    /// The shares of slot time that the ranks keep in a flood.
    pub floors: Floors,
}

/// A collection of records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collection {
    /// The collection's name.
    pub name: SmolStr,
    /// The number of services, which hold one shard each.
    pub services: u16,
    /// The number of leafs of each service.
    pub leafs: u16,
    /// What each leaf takes.
    pub limits: leaf::Limits,
}

/// Whether an answer should rather be early or whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Answer once the least coverage is reached and the rest is late against what its
    /// dispatcher usually takes, even if time is left.
    #[default]
    Time,
    /// Wait for the whole answer up to the longest wait.
    Coverage,
}

/// A search that callers may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Search {
    /// The search's name.
    pub name: SmolStr,
    /// The collection that it runs over.
    pub collection: SmolStr,
    /// Whether time or coverage goes first.
    #[serde(default)]
    pub priority: Priority,
    /// The least acceptable coverage, from 0 to 1.
    pub least_coverage: f64,
    /// The longest wait, in milliseconds.
    pub longest_wait_ms: u32,
}

impl Search {
    /// Returns the longest wait.
    pub fn longest_wait(&self) -> Duration {
        Duration::from_millis(self.longest_wait_ms.into())
    }
}

/// A caller and its rights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The caller's name.
    pub name: SmolStr,
    /// The SHA-256 hash of the caller's key, in lower-case hexadecimal.
    pub key_sha256: SmolStr,
    /// The most urgent rank that the caller may ask for.
    pub rank: Rank,
    /// The searches that the caller may run.
    #[serde(default)]
    pub searches: Vec<SmolStr>,
    /// The collections that the caller may send orders to.
    #[serde(default)]
    pub orders: Vec<SmolStr>,
}

/// The shares of slot time, from 0 to 1, that ranks keep in a flood of more urgent work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Floors {
    /// What urgent work keeps.
    pub urgent: f64,
    /// What routine work keeps.
    pub routine: f64,
    /// What intake keeps.
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
    /// Returns the floor of `rank`.
    pub const fn of(&self, rank: Rank) -> f64 {
        match rank {
            Rank::Urgent => self.urgent,
            Rank::Routine => self.routine,
            Rank::Intake => self.intake,
        }
    }
}

impl Config {
    /// Returns the collection named `name`.
    pub fn collection(&self, name: &str) -> Option<&Collection> {
        self.collections.iter().find(|c| c.name == name)
    }

    /// Returns the search named `name`.
    pub fn search(&self, name: &str) -> Option<&Search> {
        self.searches.iter().find(|s| s.name == name)
    }
}
