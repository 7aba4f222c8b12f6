//! The objects of the platform that hold configurations.

use rattanmast_model::config::{Config, Version};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;

/// The object that holds the newest configuration.
pub const CURRENT: &str = "config/current";

/// The prefix of the objects that hold all configurations.
pub const HISTORY: &str = "config/history/";

/// The object that lists hosts.
pub const HOSTS: &str = "hosts";

/// The object that lists leafs.
pub const LEAFS: &str = "leafs";

/// The prefix of catalogs.
pub const CATALOG: &str = "catalog/";

/// A configuration as it is stored, with who made it.
///
/// A reader that needs only the configuration reads the same bytes as a [`Config`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The configuration.
    #[serde(flatten)]
    pub config: Config,
    /// Where it comes from; absent if it was not written by a plan.
    #[serde(default)]
    pub change: Option<Change>,
}

/// Where a configuration comes from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that the plan was made on.
    pub base: Version,
    /// The plan's digest.
    pub plan: SmolStr,
    /// Who confirmed it.
    pub by: SmolStr,
    /// When, by the operator's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// When the roster last changed, in the same unit; 0 if it never did.
    pub roster_ms: u64,
    /// What changed, one line each.
    pub lines: Vec<String>,
}

/// Returns the name of the history object of `version`; names sort by version.
pub fn history(version: Version) -> String {
    format!("{HISTORY}{:012}", version.0)
}

/// Returns the SHA-256 hash of `bytes` in lower-case hexadecimal.
pub fn sha256(bytes: &[u8]) -> String {
    let hash = Sha256::digest(bytes);
    hash.iter().map(|b| format!("{b:02x}")).collect()
}
