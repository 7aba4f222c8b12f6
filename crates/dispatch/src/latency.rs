//! Latency estimates per leaf and rank.

use std::time::Duration;

use rattanmast_model::rank::Rank;
use tokio::time::Instant;

/// A quantile of the learned latencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantile {
    /// Half of the replies take longer.
    P50,
    /// One in 10 replies takes longer.
    P90,
    /// One in 20 replies takes longer.
    P95,
    /// Three in 100 replies take longer.
    P97,
    /// One in 100 replies takes longer.
    P99,
}

const QUANTILES: [f64; 5] = [0.5, 0.9, 0.95, 0.97, 0.99];

/// Buckets per doubling of latency, for a resolution of 9%.
const BUCKETS_PER_OCTAVE: u32 = 8;
/// Doublings covered from 64 microseconds: up to 67 s.
const OCTAVES: u32 = 20;
const BUCKETS: usize = (BUCKETS_PER_OCTAVE * OCTAVES) as usize;
/// Samples required before the quantiles are used.
const MIN_SAMPLES: f32 = 32.0;
/// Total weight at which all samples are halved.
const MAX_TOTAL_WEIGHT: f32 = 1024.0;
/// Samples between two updates of the quantiles.
const SAMPLES_PER_QUANTILE_UPDATE: u32 = 16;
/// Half-life of a leaf's mean latency without new replies.
const MEAN_HALF_LIFE_SECS: f64 = 1.0;

/// A histogram with logarithmic buckets whose old samples decay.
#[derive(Debug)]
struct Histogram {
    buckets: Box<[f32; BUCKETS]>,
    total: f32,
    since_refresh: u32,
    quantiles: [Duration; QUANTILES.len()],
}

impl Histogram {
    fn new() -> Self {
        Self {
            buckets: Box::new([0.0; BUCKETS]),
            total: 0.0,
            since_refresh: 0,
            quantiles: [Duration::ZERO; QUANTILES.len()],
        }
    }

    fn record(&mut self, sample: Duration) {
        let octaves = (sample.as_secs_f64() / 64e-6).max(1.0).log2();
        // The value is finite and not negative; the cast saturates.
        let bucket = (octaves * f64::from(BUCKETS_PER_OCTAVE)) as usize;
        self.buckets[bucket.min(BUCKETS - 1)] += 1.0;
        self.total += 1.0;
        if self.total >= MAX_TOTAL_WEIGHT {
            self.buckets.iter_mut().for_each(|b| *b /= 2.0);
            self.total /= 2.0;
        }
        self.since_refresh += 1;
        if self.since_refresh >= SAMPLES_PER_QUANTILE_UPDATE {
            self.since_refresh = 0;
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        let (mut sum, mut quantile) = (0.0, 0);
        for (i, count) in (1_u32..).zip(self.buckets.iter()) {
            sum += count;
            while quantile < QUANTILES.len()
                && f64::from(sum) >= QUANTILES[quantile] * f64::from(self.total)
            {
                let upper = 64e-6 * (f64::from(i) / f64::from(BUCKETS_PER_OCTAVE)).exp2();
                self.quantiles[quantile] = Duration::from_secs_f64(upper);
                quantile += 1;
            }
        }
    }

    fn quantile(&self, quantile: Quantile) -> Option<Duration> {
        (self.total >= MIN_SAMPLES).then_some(self.quantiles[quantile as usize])
    }
}

/// Returns the weight that an estimate from `last` still has.
fn remaining_weight(last: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(last).as_secs_f64();
    (-age / MEAN_HALF_LIFE_SECS).exp2()
}

/// Processing times at the leafs of all services, without network time.
///
/// A host sends too few requests to a single leaf to learn quantiles from it alone.
#[derive(Debug)]
pub(crate) struct ProcessingTimes([Histogram; 3]);

impl ProcessingTimes {
    pub(crate) fn new() -> Self {
        Self(std::array::from_fn(|_| Histogram::new()))
    }

    /// Records the time that a leaf spent on a request of `rank`.
    pub(crate) fn record(&mut self, rank: Rank, sample: Duration) {
        self.0[rank.index()].record(sample);
    }

    /// Returns a quantile for requests of `rank`; `None` while there are too few samples.
    pub(crate) fn quantile(&self, rank: Rank, quantile: Quantile) -> Option<Duration> {
        self.0[rank.index()].quantile(quantile)
    }
}

/// Latency estimates for one leaf.
#[derive(Debug)]
pub(crate) struct Latency {
    by_rank: [Histogram; 3],
    all: Histogram,
    mean_secs: Option<f64>,
    updated_at: Option<Instant>,
}

impl Latency {
    pub(crate) fn new() -> Self {
        Self {
            by_rank: std::array::from_fn(|_| Histogram::new()),
            all: Histogram::new(),
            mean_secs: None,
            updated_at: None,
        }
    }

    /// Records the latency of a reply to a request of `rank`.
    pub(crate) fn record(&mut self, rank: Rank, sample: Duration, prior_secs: f64, now: Instant) {
        self.record_sample(rank, sample);
        self.update_mean(sample.as_secs_f64(), prior_secs, now);
    }

    /// Records the time after which a request was given up, a lower bound of its latency.
    pub(crate) fn record_unfinished(
        &mut self,
        rank: Rank,
        elapsed: Duration,
        prior_secs: f64,
        now: Instant,
    ) {
        self.record_sample(rank, elapsed);
        let seconds = elapsed.as_secs_f64();
        if seconds > self.expected_secs(prior_secs, now) {
            self.update_mean(seconds, prior_secs, now);
        }
    }

    fn update_mean(&mut self, seconds: f64, prior_secs: f64, now: Instant) {
        // Bounds the influence of a single straggler; after a long time without replies the sample
        // gets most of the weight, since the old estimate has expired.
        let weight = self
            .updated_at
            .map_or(1.0, |last| 1.0 - remaining_weight(last, now));
        let mean = self.mean_secs.map_or(seconds, |_| {
            let mean = self.expected_secs(prior_secs, now);
            mean + weight.max(0.1) * (seconds.min(4.0 * mean) - mean)
        });
        self.mean_secs = Some(mean);
        self.updated_at = Some(now);
    }

    /// Adds a sample to the histograms. Abandoned requests count too, so that the tail is not lost.
    fn record_sample(&mut self, rank: Rank, elapsed: Duration) {
        self.by_rank[rank.index()].record(elapsed);
        self.all.record(elapsed);
    }

    /// Returns a quantile for requests of `rank`, or of all ranks while there are too few samples.
    pub(crate) fn quantile(&self, rank: Rank, quantile: Quantile) -> Option<Duration> {
        self.by_rank[rank.index()]
            .quantile(quantile)
            .or_else(|| self.all.quantile(quantile))
    }

    /// Returns the expected latency; without recent replies it approaches `prior_secs`.
    ///
    /// Otherwise a leaf that was slow once would never get the request that shows its recovery.
    pub(crate) fn expected_secs(&self, prior_secs: f64, now: Instant) -> f64 {
        let (Some(mean), Some(last)) = (self.mean_secs, self.updated_at) else {
            return prior_secs;
        };
        prior_secs + (mean - prior_secs) * remaining_weight(last, now)
    }

    pub(crate) fn mean_secs(&self) -> Option<f64> {
        self.mean_secs
    }
}
