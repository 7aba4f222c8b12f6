//! Limits on the age of a host's state.
//!
//! The *age* is the time since the state was last known to equal the platform's. Each host derives it
//! from the platform's own answers, over however many hosts they came, so limits on it don't add up
//! along the way. The limits are staggered: the hosts that read for others act first, and a host
//! asks the platform itself while there is time left for it to answer.

use std::time::Duration;

/// Ages at which a host acts, and how long its sources may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum interval between two answers that show a reader's state to be current.
    pub refresh: Duration,
    /// Age at which a reader that follows another one takes over.
    pub reader: Duration,
    /// Age at which any other host leaves the host that it follows.
    pub follower: Duration,
    /// Age at which a host reads the platform itself.
    pub direct: Duration,
    /// Time within which another host has to bring the state up to date.
    pub join: Duration,
    /// Time within which the platform has to answer a read.
    pub call: Duration,
    /// Time without an answer after which a read of changes is sent again, on another connection.
    pub resend: Duration,
}

impl Limits {
    /// Returns the limits with which a change is in force everywhere within `bound`.
    pub fn new(bound: Duration) -> Self {
        Self {
            refresh: bound / 3,
            reader: bound.mul_f64(0.45),
            follower: bound.mul_f64(0.55),
            direct: bound.mul_f64(0.65),
            join: bound / 8,
            call: bound / 6,
            resend: bound / 12,
        }
    }
}
