//! Slot time used by one service, and the expected wait of its requests.

use std::time::Duration;

use rattanmast_model::rank::Rank;
use tokio::time::Instant;

/// Time constant of the decay of used slot time.
const USAGE_DECAY_SECS: f64 = 0.5;
/// Assumed cost of a request before the first reply.
const INITIAL_COST_SECS: f64 = 2e-3;

/// Slot time used at the leafs of a service, by rank.
#[derive(Debug)]
pub(crate) struct Usage {
    /// Mean time that a request spends at a leaf.
    cost_secs: [f64; 3],
    /// Slot time used within the window.
    used_secs: [f64; 3],
    updated_at: Option<Instant>,
}

impl Usage {
    pub(crate) fn new() -> Self {
        Self {
            cost_secs: [INITIAL_COST_SECS; 3],
            used_secs: [0.0; 3],
            updated_at: None,
        }
    }

    /// Returns the mean time that a request of `rank` spends at a leaf.
    pub(crate) fn cost(&self, rank: Rank) -> Duration {
        Duration::from_secs_f64(self.cost_secs[rank.index()])
    }

    /// Records the time that a request of `rank` spent at a leaf.
    ///
    /// Only a request that was `replied` to updates the mean.
    pub(crate) fn record(&mut self, rank: Rank, secs: f64, replied: bool, now: Instant) {
        self.used_secs = self.used_at(now);
        self.updated_at = Some(now);
        self.used_secs[rank.index()] += secs;
        if replied {
            let cost = &mut self.cost_secs[rank.index()];
            *cost += 0.05 * (secs.min(4.0 * *cost) - *cost);
        }
    }

    fn used_at(&self, now: Instant) -> [f64; 3] {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let keep = (-age.as_secs_f64() / USAGE_DECAY_SECS).exp();
        self.used_secs.map(|u| u * keep)
    }

    /// Returns the expected wait by rank, for leafs that take `capacity` requests concurrently.
    ///
    /// A rank waits for the queued work of its own and more urgent ranks. That work is done at the
    /// rate that is left by the recent use of the more urgent ranks and by the floors of the less
    /// urgent ranks with queued requests. The wait is no longer than the rank's own floor takes for
    /// the queued work of the rank and one more request.
    pub(crate) fn expected_waits(
        &self,
        queued: [u32; 3],
        capacity: u32,
        floors: [f64; 3],
        now: Instant,
    ) -> [Duration; 3] {
        if queued == [0; 3] {
            return [Duration::ZERO; 3];
        }
        let capacity = f64::from(capacity);
        let work: [f64; 3] = std::array::from_fn(|r| f64::from(queued[r]) * self.cost_secs[r]);
        let used = self.used_at(now).map(|u| u / USAGE_DECAY_SECS / capacity);
        std::array::from_fn(|r| {
            let urgent: f64 = used[..r].iter().sum();
            let owed: f64 = (r + 1..3)
                .filter(|s| queued[*s] > 0)
                .map(|s| floors[s])
                .sum();
            let rate = (1.0 - urgent - owed).clamp(0.02, 1.0);
            let ahead: f64 = work[..=r].iter().sum();
            let ranked = ahead / rate;
            // The floor admits it after the queued work of its own rank and one more request.
            let by_floor = (work[r] + self.cost_secs[r]) / floors[r].max(1e-6);
            Duration::from_secs_f64((ranked.min(by_floor) / capacity).min(3600.0))
        })
    }
}
