//! Times of the record.

use std::{
    sync::OnceLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the time since the case began.
pub fn elapsed() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Returns the time of day in Unix milliseconds.
pub fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
