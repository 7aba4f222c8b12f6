//! W3C Trace Context (`traceparent`).

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

/// The result of parsing a `traceparent`.
pub type Result<T> = std::result::Result<T, Error>;

/// A malformed `traceparent`.
#[derive(Debug, Snafu)]
#[snafu(display("traceparent is not of the form 00-<32 hex>-<16 hex>-<2 hex>; leave it out"))]
pub struct Error;

/// The trace and parent span that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Context {
    /// The trace identifier, shared by all spans of a request; never zero.
    pub trace: u128,
    /// The span identifier of the sender; never zero.
    pub span: u64,
    /// Whether the sender records the trace.
    pub sampled: bool,
}

impl Context {
    /// Returns the context of a child span `span`.
    #[must_use]
    pub const fn child(self, span: u64) -> Self {
        Self { span, ..self }
    }
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(f, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}

impl FromStr for Context {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let hex = |s: &str, len: usize| {
            let is_hex = s.len() == len && s.bytes().all(|b| b.is_ascii_hexdigit());
            is_hex.then(|| u128::from_str_radix(s, 16).ok()).flatten()
        };
        let mut fields = text.splitn(4, '-');
        let mut field = |len| fields.next().and_then(|s| hex(s, len)).context(Snafu);
        let version = field(2)?;
        let (trace, span, flags) = (field(32)?, field(16)?, field(2)?);
        let span = u64::try_from(span)
            .ok()
            .filter(|s| *s != 0)
            .context(Snafu)?;
        (version == 0 && trace != 0).then_some(()).context(Snafu)?;
        Ok(Self {
            trace,
            span,
            sampled: flags & 1 == 1,
        })
    }
}
