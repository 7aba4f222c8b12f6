//! The wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the nanoseconds since the Unix epoch, used as incarnation number and default seed.
pub fn unix_ns() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| u64::try_from(d.as_nanos()).unwrap_or(u64::MAX))
}
