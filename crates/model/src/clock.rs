//! Wall-clock time, for timestamps that keys and orders carry between machines.

use std::{
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::time::Instant;

/// A source of wall-clock time.
#[derive(Clone, Debug, Default)]
pub enum Clock {
    /// The system's clock.
    #[default]
    System,
    /// A clock that advances with tokio's clock, for tests that pause time.
    Simulated(Arc<Simulated>),
}

/// A clock that advances with tokio's clock, with an adjustable skew.
#[derive(Debug)]
pub struct Simulated {
    origin: Instant,
    origin_ms: u64,
    skew_ms: AtomicI64,
}

impl Clock {
    /// Returns a simulated clock that shows `ms` now, in milliseconds since the Unix epoch.
    pub fn simulated(ms: u64) -> Self {
        Self::Simulated(Arc::new(Simulated::new(Instant::now(), ms)))
    }

    /// Returns the time in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        match self {
            Self::System => millis(
                SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default(),
            ),
            Self::Simulated(clock) => clock.now_ms(),
        }
    }
}

impl Simulated {
    /// Returns a clock that shows `origin_ms` at `origin`, in milliseconds since the Unix epoch.
    pub const fn new(origin: Instant, origin_ms: u64) -> Self {
        Self {
            origin,
            origin_ms,
            skew_ms: AtomicI64::new(0),
        }
    }

    /// Returns the time in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        let skew = self.skew_ms.load(Ordering::Relaxed);
        (self.origin_ms + millis(self.origin.elapsed())).saturating_add_signed(skew)
    }

    /// Sets the offset that is added to the time, in milliseconds.
    pub fn set_skew(&self, skew_ms: i64) {
        self.skew_ms.store(skew_ms, Ordering::Relaxed);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
