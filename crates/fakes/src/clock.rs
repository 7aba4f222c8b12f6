//! Wall-clock time, either real or derived from tokio's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// The wall-clock time at which simulated clocks start, in milliseconds since the Unix epoch.
pub const SIMULATED_START_MS: u64 = 1_800_000_000_000;

/// A source of wall-clock time.
#[derive(Clone, Copy, Debug)]
pub enum Wall {
    /// The system's clock.
    System,
    /// A clock that reads [`SIMULATED_START_MS`] at the given instant and advances with tokio's
    /// clock.
    Simulated(Instant),
}

impl Wall {
    /// Returns a simulated clock that reads [`SIMULATED_START_MS`] now.
    pub fn simulated() -> Self {
        Self::Simulated(Instant::now())
    }

    /// Returns the time in milliseconds since the Unix epoch.
    pub fn now_ms(self) -> u64 {
        self.now_ns() / 1_000_000
    }

    /// Returns the time in nanoseconds since the Unix epoch.
    pub fn now_ns(self) -> u64 {
        let time = match self {
            Self::System => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
            Self::Simulated(start) => Duration::from_millis(SIMULATED_START_MS) + start.elapsed(),
        };
        u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
    }
}

/// Rounds `time` to whole milliseconds; the probability of rounding up is the fractional part.
///
/// Tokio's timers round up to whole milliseconds, which would turn 0.2 ms into 1 ms.
/// If `uniform` is uniformly distributed between 0 and 1, this rounding preserves the mean.
pub fn round_to_millis(time: Duration, uniform: f64) -> Duration {
    let fraction = f64::from(time.subsec_micros() % 1_000) / 1_000.0;
    let whole = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(whole.saturating_add(u64::from(uniform < fraction)))
}
