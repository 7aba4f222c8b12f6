//! Plans: what an intent would change, bound to the version that it was made on.

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

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a plan cannot be confirmed as it is.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The plan is not what `plan` wrote.
    #[snafu(display("plan does not match its digest {digest}; make it again with `plan`"))]
    Altered {
        /// The digest that the plan names.
        digest: SmolStr,
    },
    /// The plan has an effect that must not be.
    #[snafu(display("plan is refused: {text}"))]
    Refused {
        /// The effect and its remedy.
        text: String,
    },
    /// The plan changes nothing.
    #[snafu(display("plan changes nothing; there is nothing to confirm"))]
    Empty,
}

/// What an intent would change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The version that the plan was made on; confirming it makes the next one.
    pub base: Version,
    /// The SHA-256 hash of the configuration that the plan was made on.
    pub base_sha256: SmolStr,
    /// The configuration that confirming the plan puts in force.
    pub target: Config,
    /// What differs.
    pub changes: Vec<Change>,
    /// What that does to capacity and rights.
    pub effects: Vec<Effect>,
    /// The SHA-256 hash of all of the above.
    pub digest: SmolStr,
}

/// Returns the plan that leads from `current` to `intent`.
pub fn make(current: &Config, intent: &Intent) -> Plan {
    let mut target = Config {
        version: Version(current.version.0 + 1),
        hosts: intent.hosts.clone(),
        collections: intent.collections.clone(),
        searches: intent.searches.clone(),
        callers: intent.callers.clone(),
        floors: intent.floors,
    };
    // Equal intents give equal plans, and a small change gives a small difference in bytes.
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
    // A configuration holds text and finite numbers only, so it always serializes.
    let bytes = serde_json::to_vec(config).unwrap_or_default();
    SmolStr::new(record::sha256(&bytes))
}

impl Plan {
    /// Checks that the plan is as it was made and may be confirmed.
    ///
    /// # Errors
    ///
    /// If it was altered, has an effect that is refused, or changes nothing.
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

    /// Tells whether the plan changes the roster.
    pub fn moves_roster(&self) -> bool {
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
        // Plans hold text and finite numbers only, so they always serialize.
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
