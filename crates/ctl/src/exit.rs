//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// It did what was asked.
    Ok,
    /// It failed for a reason that has no code of its own.
    Failed,
    /// The command line, a setting or an intent is wrong.
    Input,
    /// The plan must not take effect; nothing was written.
    Refused,
    /// Someone else changed the configuration; nothing was written.
    Raced,
    /// The platform or a host does not answer; nothing was written.
    Unreachable,
    /// The change may have taken effect; run the same confirm again.
    Unsettled,
    /// The change is written, but not yet accepted by more than half of the watchers.
    Unaccepted,
    /// Some host does not serve or has an older configuration.
    Behind,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(match code {
            Code::Ok => 0,
            Code::Failed => 1,
            Code::Input => 2,
            Code::Refused => 3,
            Code::Raced => 4,
            Code::Unreachable => 5,
            Code::Unsettled => 6,
            Code::Unaccepted => 7,
            Code::Behind => 8,
        })
    }
}
