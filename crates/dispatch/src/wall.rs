//! Wall-clock time, for the times that orders carry.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// A source of wall-clock time.
#[derive(Clone, Copy, Debug)]
pub enum Wall {
    /// The system's clock.
    System,
    /// A clock that follows tokio's, for tests on the paused clock.
    Runtime {
        /// The instant at which the clock showed `ms`.
        at: Instant,
        /// The time at `at`, in milliseconds since the Unix epoch.
        ms: u64,
    },
}

impl Wall {
    /// Returns the time in milliseconds since the Unix epoch.
    pub fn now_ms(self) -> u64 {
        let (since, ms) = match self {
            Self::System => {
                let since = SystemTime::now().duration_since(UNIX_EPOCH);
                (since.unwrap_or_default(), 0)
            }
            Self::Runtime { at, ms } => (at.elapsed(), ms),
        };
        u64::try_from(since.as_millis())
            .unwrap_or(u64::MAX)
            .saturating_add(ms)
    }
}
