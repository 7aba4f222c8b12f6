//! How hosts tell each other of calls that crash the leafs that run them.

use std::future::Future;

use serde::{Deserialize, Serialize};

use crate::{fingerprint::Fingerprint, host, peer};

/// How a call is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// The call may run at a single leaf, on trial.
    Suspected,
    /// The call is not sent to any leaf.
    Quarantined,
}

impl Level {
    /// Returns the name of the level in the log.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Quarantined => "quarantined",
        }
    }
}

/// A call that is treated differently from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The call.
    pub fingerprint: Fingerprint,
    /// How it is treated.
    pub level: Level,
}

/// A client that tells other hosts of calls directly.
pub trait Messenger: Clone + Send + Sync + 'static {
    /// Tells `host` of a call.
    fn tell(
        &self,
        host: &host::Name,
        report: Report,
    ) -> impl Future<Output = peer::Result<()>> + Send;
}

/// Takes the reports of other hosts.
pub trait Listener: Clone + Send + Sync + 'static {
    /// Records the report of another host.
    fn hear(&self, report: Report);
}
