//! Exit codes.

use std::process::ExitCode;

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The query and the order got the expected responses.
    Ok,
    /// A step failed or got an unexpected response.
    Failed,
    /// A setting is invalid; the error message names it.
    Settings,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(match code {
            Code::Ok => 0,
            Code::Failed => 1,
            Code::Settings => 2,
        })
    }
}
