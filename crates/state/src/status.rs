//! What a host says of itself to operators; the body of `GET /v1/status` builds on it.

use rattanmast_model::{
    config::Version,
    exchange::Source,
    host::{Incarnation, Name},
};
use serde::{Deserialize, Serialize};

/// What a host has and believes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: Name,
    /// Its process run.
    pub incarnation: Incarnation,
    /// The configuration in force here.
    pub version: Version,
    /// Whether the host serves, going by the proof of its configuration.
    pub serving: bool,
    /// The age of the proof, in milliseconds; absent if there never was one.
    pub proof_age_ms: Option<u64>,
    /// How the configuration is known to be in force.
    pub source: Option<Source>,
    /// Whether the host reads the platform on behalf of others.
    pub watcher: bool,
    /// Whether the host is a watcher that cannot reach the platform.
    pub platform_down: bool,
    /// The watchers under the configuration in force here.
    pub watchers: Vec<Name>,
    /// The configuration that each host was last heard to have.
    pub heard: Vec<(Name, Version)>,
    /// The hosts among them that have an older one than this host.
    pub behind: Vec<Name>,
    /// Hosts that are suspected, leaving or not listed by the platform.
    pub unusable: Vec<Name>,
    /// Leafs that are held to be leaving.
    pub leaving_leafs: Vec<rattanmast_model::leaf::Name>,
}
