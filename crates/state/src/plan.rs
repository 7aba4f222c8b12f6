//! Plans: the changes and effects of an intent, bound to the version they were computed from.

use rattanmast_model::config::{Config, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{Snafu, ensure};

use crate::{
    change::{self, Change},
    effect::{self, Effect, Level},
    intent::Intent,
    record,
};

/// The result type of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// An error because of which a plan can't be confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The plan was modified after it was made.
    #[snafu(display("plan does not match its digest {digest}; make it again with `plan`"))]
    Altered {
        /// The digest stored in the plan.
        digest: SmolStr,
    },
    /// The plan has an effect that is not allowed.
    #[snafu(display("plan is refused: {text}"))]
    Refused {
        /// The description of the effect, with its remedy.
        text: String,
    },
    /// The plan changes nothing.
    #[snafu(display("plan changes nothing; there is nothing to confirm"))]
    Empty,
}

/// A configuration change that is ready to be confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The version that the plan is based on; confirming the plan produces the next version.
    pub base: Version,
    /// The SHA-256 hash of the configuration that the plan is based on.
    pub base_sha256: SmolStr,
    /// The configuration that comes into force when the plan is confirmed.
    pub target: Config,
    /// The differences between the two configurations.
    pub changes: Vec<Change>,
    /// The effects of the changes on capacity and callers' rights.
    pub effects: Vec<Effect>,
    /// The SHA-256 hash of the fields above, to detect modified plans.
    pub digest: SmolStr,
}

/// Returns the plan that changes `current` to `intent`.
pub fn make(current: &Config, intent: &Intent) -> Plan {
    let mut target = Config {
        version: Version(current.version.0 + 1),
        hosts: intent.hosts.clone(),
        collections: intent.collections.clone(),
        searches: intent.searches.clone(),
        callers: intent.callers.clone(),
        floors: intent.floors,
    };
    // Sorted entries make plans independent of the order in the intent, and keep the byte
    // difference between two versions small, which peers send instead of the whole object.
    target.hosts.sort_by(|a, b| a.name.cmp(&b.name));
    target.collections.sort_by(|a, b| a.name.cmp(&b.name));
    target.searches.sort_by(|a, b| a.name.cmp(&b.name));
    target.callers.sort_by(|a, b| a.name.cmp(&b.name));
    let mut plan = Plan {
        base: current.version,
        base_sha256: config_hash(current),
        changes: change::diff(current, &target),
        effects: effect::assess(current, &target),
        target,
        digest: SmolStr::default(),
    };
    plan.digest = plan.compute_digest();
    plan
}

/// Returns the SHA-256 hash of a configuration.
pub fn config_hash(config: &Config) -> SmolStr {
    // A configuration contains only text and finite numbers, so serialization can't fail.
    let bytes = serde_json::to_vec(config).unwrap_or_default();
    SmolStr::new(record::sha256(&bytes))
}

impl Plan {
    /// Checks that the plan is unmodified and may be confirmed.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan was modified, has a refused effect, or changes nothing.
    pub fn check(&self) -> Result<()> {
        let intact =
            self.digest == self.compute_digest() && self.target.version.0 == self.base.0 + 1;
        ensure!(
            intact,
            AlteredSnafu {
                digest: self.digest.clone()
            }
        );
        ensure!(!self.changes.is_empty(), EmptySnafu);
        let refusal = self.effects.iter().find(|e| e.level == Level::Refusal);
        refusal.map_or(Ok(()), |e| {
            let text = e.text.clone();
            RefusedSnafu { text }.fail()
        })
    }

    /// Returns whether the plan changes the roster.
    pub fn changes_roster(&self) -> bool {
        self.changes.iter().any(|c| c.kind == change::Kind::Host)
    }

    fn compute_digest(&self) -> SmolStr {
        let parts = (
            self.base,
            &self.base_sha256,
            &self.target,
            &self.changes,
            &self.effects,
        );
        // A plan contains only text and finite numbers, so serialization can't fail.
        let bytes = serde_json::to_vec(&parts).unwrap_or_default();
        SmolStr::new(record::sha256(&bytes))
    }
}

impl From<&Config> for Intent {
    fn from(config: &Config) -> Self {
        Self {
            hosts: config.hosts.clone(),
            collections: config.collections.clone(),
            searches: config.searches.clone(),
            callers: config.callers.clone(),
            floors: config.floors,
        }
    }
}
