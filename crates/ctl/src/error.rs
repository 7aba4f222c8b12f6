//! Errors of commands, and their exit codes.

use std::{io, path::PathBuf};

use rattanmast_state::{accept, intent, plan};
use snafu::Snafu;

use crate::exit::Code;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// An error that ends a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display(
        "{} cannot be read ({source}); check its path and permissions",
        path.display()
    ))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A file cannot be written.
    #[snafu(display("{} cannot be written ({source}); choose another file", path.display()))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A file does not contain a plan.
    #[snafu(display(
        "{}:{}: not a plan ({source}); make one with `plan --out`",
        path.display(), source.line()
    ))]
    Plan {
        /// Path of the file.
        path: PathBuf,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// An intent file is invalid.
    #[snafu(transparent)]
    Intent {
        /// The error, with its line in the file.
        source: intent::Error,
    },
    /// A plan did not take effect, or the platform could not be read.
    #[snafu(transparent)]
    Accept {
        /// The error of the configuration store.
        source: accept::Error,
    },
    /// The roster must not change before the previous version is accepted.
    #[snafu(display(
        "version {version}, which this roster change builds on, is not yet accepted; watchers \
         without it: {}; see `status`, then confirm again", lacking.join(", ")
    ))]
    BaseUnaccepted {
        /// The version that the platform holds.
        version: u64,
        /// The watchers that do not have this version.
        lacking: Vec<String>,
    },
    /// The current configuration has no entry of this name.
    #[snafu(display(
        "no search, caller, collection or host is named {name}; see `history` for removed ones"
    ))]
    NotFound {
        /// The name that was looked up.
        name: String,
    },
    /// The platform holds no configuration yet.
    #[snafu(display("platform holds no configuration; plan and confirm an intent first"))]
    NoConfig,
    /// A value cannot be encoded as JSON.
    #[snafu(display("output cannot be encoded as JSON ({source}); report this as a defect"))]
    Json {
        /// The JSON error.
        source: serde_json::Error,
    },
}

impl Error {
    /// Returns the exit code of the process for this error.
    pub fn code(&self) -> Code {
        match self {
            Self::Read { .. } | Self::Write { .. } | Self::Plan { .. } => Code::Input,
            Self::Intent { .. } | Self::NotFound { .. } | Self::NoConfig => Code::Input,
            Self::BaseUnaccepted { .. } => Code::Refused,
            Self::Json { .. } => Code::Failed,
            Self::Accept { source } => match source {
                accept::Error::Plan {
                    source: plan::Error::Altered { .. },
                } => Code::Input,
                accept::Error::Plan { .. } | accept::Error::RosterChangedRecently { .. } => {
                    Code::Refused
                }
                accept::Error::Conflict { .. } | accept::Error::BaseMismatch { .. } => Code::Raced,
                accept::Error::Unavailable { .. } => Code::Unreachable,
                accept::Error::OutcomeUnknown { .. } => Code::Unsettled,
                accept::Error::Unreadable { .. } => Code::Failed,
            },
        }
    }
}
