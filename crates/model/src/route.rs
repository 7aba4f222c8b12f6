//! The routing table: which services answer which calls, and under what limits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    catalog::{Service, Snapshot},
    hash::Map,
    rank::Rank,
};

/// The destination of a route's calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// One of these services, chosen in proportion to the weights.
    One(Vec<Destination>),
    /// All of these services; their replies are merged.
    All(Gather),
}

impl Target {
    /// Returns the name of the target kind in logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::One(_) => "one",
            Self::All(_) => "all",
        }
    }
}

/// A service and its weight in a weighted route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Destination {
    /// The service that receives the calls.
    pub service: Service,
    /// The weight, relative to the other services of the route.
    pub weight: f64,
}

/// How the replies of several services are merged into one answer (scatter-gather).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gather {
    /// The services, one per shard.
    pub services: Vec<Service>,
    /// The number of top records to keep in the merged answer.
    #[serde(rename = "top")]
    pub top_k: usize,
    /// The size of a record, in bytes; records are compared bytewise.
    #[serde(rename = "record")]
    pub record_bytes: usize,
    /// The minimum acceptable fraction of services that reply, from 0 to 1.
    #[serde(rename = "least")]
    pub min_share: f64,
}

/// A rule that maps calls by authority and path prefix to a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route in logs.
    pub name: SmolStr,
    /// The HTTP authority that the route matches, case-insensitively.
    pub authority: SmolStr,
    /// The path prefix that the route matches; it ends with a slash.
    pub prefix: SmolStr,
    /// Whether calls are safe to run more than once.
    #[serde(rename = "repeatable")]
    pub idempotent: bool,
    /// The maximum number of leafs of one service that may run one call.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// The maximum time that a caller waits for an answer.
    pub longest_wait: Duration,
    /// The latency goal: the time within which an answer has its full value.
    pub goal: Duration,
    /// The priority class in which calls of this route are served.
    pub rank: Rank,
    /// The destination of the calls.
    pub target: Target,
}

/// The routes of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The version of the configuration; it increases with each change.
    pub version: Snapshot,
    /// Routes by lower-case authority, longest prefix first.
    routes: Map<SmolStr, Vec<Route>>,
}

impl Table {
    /// Builds a table from `routes`.
    pub fn new(version: Snapshot, routes: impl IntoIterator<Item = Route>) -> Self {
        let mut table: Map<SmolStr, Vec<Route>> = Map::default();
        for route in routes {
            table
                .entry(route.authority.to_ascii_lowercase().into())
                .or_default()
                .push(route);
        }
        for routes in table.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: table,
        }
    }

    /// Returns the route of `authority` with the longest prefix that matches `path`.
    pub fn find(&self, authority: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(authority.to_ascii_lowercase().as_str())?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
