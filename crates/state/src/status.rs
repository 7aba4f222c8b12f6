//! The status that a host reports to operators, in the body of `GET /v1/status`.

use rattanmast_model::{
    config::Version,
    exchange::Source,
    host::{Incarnation, Name},
};
use serde::{Deserialize, Serialize};

/// The state of one host and its view of the other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host's name.
    pub host: Name,
    /// The host's incarnation, which identifies one run of its process.
    pub incarnation: Incarnation,
    /// The version of the configuration in force on the host.
    pub version: Version,
    /// Whether the proof of its configuration is recent enough for the host to serve.
    pub serving: bool,
    /// The age of the proof, in milliseconds; absent if there never was a proof.
    pub proof_age_ms: Option<u64>,
    /// The source of the proof.
    pub source: Option<Source>,
    /// Whether the host reads the platform on behalf of others.
    pub watcher: bool,
    /// Whether the host is a watcher that can't reach the platform.
    pub platform_down: bool,
    /// The watchers according to the configuration in force on the host.
    pub watchers: Vec<Name>,
    /// The configuration version that each other host last reported.
    pub heard: Vec<(Name, Version)>,
    /// The hosts in `heard` whose version is older than this host's.
    pub behind: Vec<Name>,
    /// The hosts that are suspected, leaving or not listed by the platform.
    pub unusable: Vec<Name>,
    /// The leafs that are considered to be leaving.
    pub leaving_leafs: Vec<rattanmast_model::leaf::Name>,
}
