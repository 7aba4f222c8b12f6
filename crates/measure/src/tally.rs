//! Query outcomes and latencies of one run.

use std::time::Duration;

use hdrhistogram::Histogram;
use rattanmast_gather::gatherer;
use rattanmast_model::{outcome::Outcome, query::Answer, rank::Rank};
use serde::Serialize;

/// Upper limit of the histograms; larger values are recorded as this one.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The figures of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// Queries that arrived during the measured time.
    pub offered: f64,
    /// Queries refused with [`Outcome::NotRun`].
    pub refused: f64,
    /// Queries that were not refused but had no answer by the deadline.
    pub late: f64,
    /// Median latency of the queries that were not refused, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of these queries, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of these queries, in milliseconds.
    pub p999_ms: f64,
    /// The share of these queries with full coverage by the deadline.
    pub complete: f64,
    /// Mean coverage of these queries; a query without an answer in time counts as 0.
    pub coverage: f64,
    /// Ratio of requests sent to leafs to requests needed, minus 1.
    pub extra: f64,
    /// Answers per second with coverage 1.0 by the deadline.
    pub goodput: f64,
    /// The share of all slot time spent on leaf replies to this rank.
    pub slots: f64,
    /// 99th percentile of the time to a refusal, as a share of the deadline.
    pub refusal_p99: f64,
    /// The longest time to a refusal, as a share of the deadline.
    pub refusal_worst: f64,
}

impl Row {
    /// Returns the figures in the order of the fields, so that medians can be taken by position.
    pub const fn figures(&self) -> [f64; 13] {
        [
            self.offered,
            self.refused,
            self.late,
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.complete,
            self.coverage,
            self.extra,
            self.goodput,
            self.slots,
            self.refusal_p99,
            self.refusal_worst,
        ]
    }

    /// Builds a row from figures in the order of [`Row::figures`].
    pub const fn from_figures(f: [f64; 13]) -> Self {
        Self {
            offered: f[0],
            refused: f[1],
            late: f[2],
            p50_ms: f[3],
            p99_ms: f[4],
            p999_ms: f[5],
            complete: f[6],
            coverage: f[7],
            extra: f[8],
            goodput: f[9],
            slots: f[10],
            refusal_p99: f[11],
            refusal_worst: f[12],
        }
    }
}

/// One query, for figures over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Arrival time since the start of the measured time.
    pub arrival: Duration,
    /// Time from the arrival until the query ended, with or without an answer.
    pub latency: Duration,
    /// The rank.
    pub rank: Rank,
    /// Whether it was answered with coverage 1.0 by the deadline.
    pub complete: bool,
    /// The share of the lost host's keys that its answer covers by the deadline.
    pub at_risk_coverage: f64,
}

/// The counts of one rank.
#[derive(Debug)]
struct Count {
    offered: u64,
    refused: u64,
    late: u64,
    complete: u64,
    needed: u64,
    coverage: f64,
    latency: Histogram<u64>,
    refusal: Histogram<u64>,
}

/// The counts of one run.
#[derive(Debug)]
pub struct Tally {
    counts: [Count; 3],
    samples: Vec<Sample>,
}

impl Default for Tally {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid constants");
        let count = |_| Count {
            offered: 0,
            refused: 0,
            late: 0,
            complete: 0,
            needed: 0,
            coverage: 0.0,
            latency: histogram(),
            refusal: histogram(),
        };
        Self {
            counts: Rank::ALL.map(count),
            samples: Vec::new(),
        }
    }
}

/// Run parameters that convert counts into rates and shares.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// The measured time.
    pub length: Duration,
    /// Leaf requests per second that all slots can serve.
    pub capacity: f64,
}

impl Tally {
    /// Records a query with the given deadline; `needed` is the number of leaf requests that an
    /// accepted query needs.
    pub fn add(
        &mut self,
        sample: Sample,
        deadline: Duration,
        needed: u64,
        result: &gatherer::Result<Answer>,
    ) {
        let Sample {
            rank,
            latency,
            complete,
            ..
        } = sample;
        let count = &mut self.counts[rank.index()];
        count.offered += 1;
        let us = micros(latency);
        let in_time = latency <= deadline;
        match result {
            Err(Outcome::NotRun { .. }) => {
                count.refused += 1;
                // In parts per million of the deadline.
                let share = us.saturating_mul(1_000_000) / micros(deadline).max(1);
                count.refusal.saturating_record(share);
            }
            other => {
                count.latency.saturating_record(us);
                count.needed += needed;
                count.complete += u64::from(complete);
                match other {
                    Ok(answer) if in_time => count.coverage += answer.coverage,
                    _ => count.late += 1,
                }
            }
        }
        self.samples.push(sample);
    }

    /// Returns the queries in the order of completion.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// Returns the number of queries.
    pub fn queries(&self) -> u64 {
        self.counts.iter().map(|c| c.offered).sum()
    }

    /// Returns the ratio of requests sent to leafs to requests needed, minus 1.
    pub fn extra(&self, sent: [u64; 3]) -> f64 {
        let needed: u64 = self.counts.iter().map(|c| c.needed).sum();
        share(sent.iter().sum::<u64>() as f64, needed as f64) - 1.0
    }

    /// Returns, of the queries that were not refused, the share with full coverage by the deadline.
    pub fn complete(&self) -> f64 {
        let run: u64 = self.counts.iter().map(|c| c.offered - c.refused).sum();
        let complete: u64 = self.counts.iter().map(|c| c.complete).sum();
        share(complete as f64, run as f64)
    }

    /// Returns the figures by rank; `sent` and `replied` count leaf requests by rank.
    pub fn rows(&self, scale: Scale, sent: [u64; 3], replied: [u64; 3]) -> [Row; 3] {
        Rank::ALL.map(|rank| {
            let i = rank.index();
            self.counts[i].row(scale, sent[i], replied[i])
        })
    }
}

impl Count {
    fn row(&self, scale: Scale, sent: u64, replied: u64) -> Row {
        let seconds = scale.length.as_secs_f64();
        let run = self.offered - self.refused;
        // If all queries of a rank are refused it has no latency; 0 would look like a fast rank.
        let ms = |q| match run {
            0 => f64::NAN,
            _ => self.latency.value_at_quantile(q) as f64 / 1_000.0,
        };
        let ppm = |v: u64| v as f64 / 1_000_000.0;
        Row {
            offered: self.offered as f64,
            refused: self.refused as f64,
            late: self.late as f64,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            complete: share(self.complete as f64, run as f64),
            coverage: share(self.coverage, run as f64),
            extra: share(sent as f64, self.needed as f64) - 1.0,
            goodput: self.complete as f64 / seconds,
            slots: replied as f64 / (scale.capacity * seconds),
            refusal_p99: ppm(self.refusal.value_at_quantile(0.99)),
            refusal_worst: ppm(self.refusal.max()),
        }
    }
}

/// Returns `part / whole`, or NaN unless `whole` is positive.
fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { f64::NAN }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
