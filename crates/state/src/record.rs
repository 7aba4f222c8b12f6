//! Names and contents of the platform objects that hold the configuration and its history.

use rattanmast_model::config::{Config, Version};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;

/// Name of the object that holds the newest configuration.
pub const CURRENT_CONFIG: &str = "config/current";

/// Name prefix of the objects that hold every configuration, one per version.
pub const HISTORY: &str = "config/history/";

/// Name of the object that lists the registered hosts.
pub const HOSTS: &str = "hosts";

/// Name of the object that lists the leafs.
pub const LEAFS: &str = "leafs";

/// Name prefix of the catalog objects, one per collection.
pub const CATALOG: &str = "catalog/";

/// A stored configuration and the change that produced it.
///
/// The configuration's fields are at the top level, so the same bytes also parse as a [`Config`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The configuration.
    #[serde(flatten)]
    pub config: Config,
    /// The change that produced it; absent if it was not written by a plan.
    #[serde(default)]
    pub change: Option<Change>,
}

/// The plan and the operator that produced a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that the plan was based on.
    pub base: Version,
    /// The plan's digest.
    pub plan: SmolStr,
    /// The operator who confirmed the plan.
    pub by: SmolStr,
    /// Time of the confirmation by the operator's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Time of the last roster change, in milliseconds since the Unix epoch; 0 if there was none.
    pub roster_ms: u64,
    /// A description of the changes, one line for each changed entry.
    pub lines: Vec<String>,
}

/// Returns the name of the history object of `version`.
///
/// The version is zero-padded, so that names sort by version.
pub fn history(version: Version) -> String {
    format!("{HISTORY}{:012}", version.0)
}

/// Returns the SHA-256 hash of `bytes` in lower-case hexadecimal.
pub fn sha256(bytes: &[u8]) -> String {
    let hash = Sha256::digest(bytes);
    hash.iter().map(|b| format!("{b:02x}")).collect()
}
