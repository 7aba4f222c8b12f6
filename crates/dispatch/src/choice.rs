//! Which replica gets a request.

use rand::{Rng as _, rngs::SmallRng};

/// A replica that could take a request, now or when it has finished another.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// The replica's position in its service.
    pub index: usize,
    /// Requests that it has from this host.
    pub in_flight: u32,
    /// Requests that it may have.
    pub limit: u32,
    /// Its expected latency, in seconds.
    pub latency: f64,
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Whether it could take a request now.
    pub free: bool,
    /// The share of its recent replies that were not failures, from 0 to 1.
    pub success: f64,
}

/// Chooses replicas.
pub trait Choice: Send + 'static {
    /// Returns the rule for one service.
    fn new() -> Self;
    /// Returns the position of a free one of `views`; `None` if it is better to wait.
    fn choose(
        &mut self,
        rng: &mut SmallRng,
        views: impl Iterator<Item = View> + Clone,
    ) -> Option<usize>;
}

/// How much worse a replica may be than the best one to get a request in its place.
pub(crate) const MAX_SCORE_FACTOR: f64 = 2.0;

/// The replica with the least expected latency, given its queue and its failures.
#[derive(Debug)]
pub struct LeastLatency;

impl LeastLatency {
    /// Returns the expected time to a good reply, slightly varied so that equals take turns.
    fn score(view: &View, rng: &mut SmallRng) -> f64 {
        let queue = view.in_flight + if view.free { 0 } else { view.waiting };
        let load = f64::from(queue) / f64::from(view.limit.max(1));
        // A failure costs another try, so a fast failure must not look like a fast reply.
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
                Some((least, _)) if least <= score => {}
                _ => best = Some((score, view.index)),
            }
        }
        let (score, index) = best?;
        (score <= MAX_SCORE_FACTOR * best_busy).then_some(index)
    }
}

/// Any replica.
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
