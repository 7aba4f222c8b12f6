//! Process exit codes.

use std::process::ExitCode;

/// The reason why the process exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The host stopped as requested.
    Ok,
    /// A setting is invalid; the message on standard error names it.
    Settings,
    /// A listen address cannot be bound.
    Address,
    /// The logger or the async runtime cannot be started.
    Software,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(match code {
            Code::Ok => 0,
            Code::Settings => 2,
            Code::Address => 3,
            Code::Software => 70,
        })
    }
}
