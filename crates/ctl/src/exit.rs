//! Exit codes of the process.

use std::process::ExitCode;

/// The outcome of a command; the operators' guide lists the codes under the same names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded.
    Ok,
    /// The command failed for a reason without an exit code of its own.
    Failed,
    /// The command line, a file or a name is invalid.
    Input,
    /// The plan is refused; nothing was written.
    Refused,
    /// The configuration was changed concurrently; nothing was written.
    Raced,
    /// The platform cannot be reached; nothing was written.
    Unreachable,
    /// The change may have taken effect; run the same `confirm` again to find out.
    Unsettled,
    /// The change is written, but not yet accepted by more than half of the watchers.
    Unaccepted,
    /// A host does not serve, cannot be reached or has an older configuration.
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
