//! Exit codes.

use std::process::ExitCode;

/// How the program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The query and the order were answered as expected.
    Ok,
    /// A step did not do what it should.
    Failed,
    /// A setting is wrong; the message names it.
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
