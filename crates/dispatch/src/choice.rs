//! Replica choice.

use rand::{Rng as _, rngs::SmallRng};

/// A replica that could take a request, now or after it has finished another one.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// The replica's position in its service.
    pub index: usize,
    /// Requests of this host in flight at the replica.
    pub in_flight: u32,
    /// Maximum number of requests in flight.
    pub limit: u32,
    /// Expected latency, in seconds.
    pub latency: f64,
    /// Queued requests of the service.
    pub queued: u32,
    /// Whether the replica could take a request now.
    pub free: bool,
    /// Success rate of recent requests, from 0 to 1.
    pub success: f64,
}

/// Chooses replicas.
pub trait Choice: Send + 'static {
    /// Returns the initial state for one service.
    fn new() -> Self;
    /// Returns the [`View::index`] of a free replica; `None` if it is better to wait.
    fn choose(
        &mut self,
        rng: &mut SmallRng,
        views: impl Iterator<Item = View> + Clone,
    ) -> Option<usize>;
}

/// Maximum ratio of the score of a free replica to that of the best busy one; lower scores are
/// better.
///
/// Beyond it, a request waits for the busy one.
pub(crate) const MAX_SCORE_FACTOR: f64 = 2.0;

/// Chooses the replica with the lowest expected latency, given its load and its success rate.
#[derive(Debug)]
pub struct LeastLatency;

impl LeastLatency {
    /// Returns the expected time to a successful reply, with jitter so that equal replicas take
    /// turns.
    fn score(view: &View, rng: &mut SmallRng) -> f64 {
        let queue = view.in_flight + if view.free { 0 } else { view.queued };
        let load = f64::from(queue) / f64::from(view.limit.max(1));
        // A failure costs another attempt, so a fast failure must not score like a fast reply.
        let success = view.success.max(0.01);
        view.latency * (1.0 + load) / (success * success) * rng.random_range(0.95..1.05)
    }
}

impl Choice for LeastLatency {
    fn new() -> Self {
        Self
    }

    fn choose(
        &mut self,
        rng: &mut SmallRng,
        views: impl Iterator<Item = View> + Clone,
    ) -> Option<usize> {
        let (mut best, mut best_busy) = (None, f64::INFINITY);
        for view in views {
            let score = Self::score(&view, rng);
            match best {
                _ if !view.free => best_busy = best_busy.min(score),
                Some((lowest, _)) if lowest <= score => {}
                _ => best = Some((score, view.index)),
            }
        }
        let (score, index) = best?;
        (score <= MAX_SCORE_FACTOR * best_busy).then_some(index)
    }
}

/// Chooses a free replica at random.
#[derive(Debug)]
pub struct Random;

impl Choice for Random {
    fn new() -> Self {
        Self
    }

    fn choose(
        &mut self,
        rng: &mut SmallRng,
        views: impl Iterator<Item = View> + Clone,
    ) -> Option<usize> {
        let mut views = views.filter(|v| v.free);
        let count = views.clone().count();
        let chosen = if count < 2 {
            0
        } else {
            rng.random_range(0..count)
        };
        views.nth(chosen).map(|v| v.index)
    }
}
