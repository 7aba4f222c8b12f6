//! Exit codes of the process.

use std::process::{ExitCode, Termination};

/// The exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// All targets were met.
    Met = 0,
    /// The program failed.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A target was missed.
    Missed = 3,
}

impl Termination for Exit {
    fn report(self) -> ExitCode {
        ExitCode::from(self as u8)
    }
}
