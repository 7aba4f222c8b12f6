//! Why a command failed, and the exit code that goes with it.

use std::{io, path::PathBuf};

use rattanmast_state::{accept, intent, plan};
use snafu::Snafu;

use crate::exit::Code;

/// A result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("{} cannot be read ({source}); check its name and rights", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file or the output cannot be written.
    #[snafu(display("{} cannot be written ({source}); choose another file", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is no plan.
    #[snafu(display(
        "{}:{}: not a plan ({source}); make one with `plan --out`",
        path.display(), source.line()
    ))]
    Plan {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// An intent has a fault.
    #[snafu(transparent)]
    Intent {
        /// Where and what.
        source: intent::Error,
    },
    /// A plan did not take effect, or the platform could not be read.
    #[snafu(transparent)]
    Accept {
        /// Why.
        source: accept::Error,
    },
    /// The roster must not change yet.
    #[snafu(display(
        "version {version}, which this roster change builds on, is not yet accepted; watchers \
         without it: {}; see `status`, then confirm again", lacking.join(", ")
    ))]
    Unaccepted {
        /// The version in the platform.
        version: u64,
        /// The watchers that lack it.
        lacking: Vec<String>,
    },
    /// Nothing of this name is in force.
    #[snafu(display("nothing named {name} is in force; see `history` for what was removed"))]
    Unnamed {
        /// The name.
        name: String,
    },
    /// There is no configuration yet.
    #[snafu(display("platform holds no configuration; plan and confirm an intent first"))]
    Empty,
    /// Output cannot be made.
    #[snafu(display("output cannot be made ({source}); report this as a defect"))]
    Json {
        /// Why.
        source: serde_json::Error,
    },
}

impl Error {
    /// Returns the exit code.
    pub fn code(&self) -> Code {
        match self {
            Self::Read { .. } | Self::Write { .. } | Self::Plan { .. } => Code::Input,
            Self::Intent { .. } | Self::Unnamed { .. } | Self::Empty => Code::Input,
            Self::Unaccepted { .. } => Code::Refused,
            Self::Json { .. } => Code::Failed,
            Self::Accept { source } => match source {
                accept::Error::Plan {
                    source: plan::Error::Altered { .. },
                } => Code::Input,
                accept::Error::Plan { .. } | accept::Error::Soon { .. } => Code::Refused,
                accept::Error::Raced { .. } | accept::Error::Differs { .. } => Code::Raced,
                accept::Error::Unwritten { .. } => Code::Unreachable,
                accept::Error::Unsettled { .. } => Code::Unsettled,
                accept::Error::Unreadable { .. } => Code::Failed,
            },
        }
    }
}
