//! The wall clock, which tests replace.

use std::{
    fmt,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

/// A source of wall-clock time, in milliseconds since the Unix epoch.
#[derive(Clone)]
pub struct Wall(Arc<dyn Fn() -> u64 + Send + Sync>);

impl Wall {
    /// Returns a clock that reads `now`.
    pub fn new(now: impl Fn() -> u64 + Send + Sync + 'static) -> Self {
        Self(Arc::new(now))
    }

    /// Returns the time, in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        (self.0)()
    }
}

impl Default for Wall {
    fn default() -> Self {
        Self::new(|| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH);
            since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
        })
    }
}

impl fmt::Debug for Wall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Wall")
    }
}
