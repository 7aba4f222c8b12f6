//! How long the fleet takes to recover from the loss of a host.

use std::time::Duration;

use rattanmast_model::rank::Rank;

use crate::tally::Sample;

/// The width of the windows in which answers are counted.
///
/// One of 100 ms holds 48 queries, and two that are partial without any fault make 1% of it.
const COVERAGE_WINDOW: Duration = Duration::from_millis(500);

/// The time between the moments at which the percentile is taken.
const P99_STEP: Duration = Duration::from_millis(100);

/// The share of the lost host's keys in answers at which its share is served.
const SERVED_SHARE: f64 = 0.99;

/// The length over which a percentile is taken; shorter ones hold too few urgent queries.
const P99_WINDOW: Duration = Duration::from_secs(5);

/// The factor on the percentile before the loss up to which it is normal.
const NORMAL_P99_FACTOR: f64 = 1.2;

/// Returns the seconds after which answers of every window hold [`SERVED_SHARE`] of the lost share.
///
/// It is infinite if the last window has not.
pub fn service_recovery_secs(samples: &[Sample]) -> f64 {
    let window = |s: &Sample| (s.at.as_micros() / COVERAGE_WINDOW.as_micros()) as usize;
    let Some(last) = samples.iter().map(window).max() else {
        return f64::NAN;
    };
    let mut counts = vec![(0_u32, 0.0); last + 1];
    for sample in samples {
        let (all, share) = &mut counts[window(sample)];
        *all += 1;
        *share += sample.share;
    }
    let is_underserved = |(all, share): &(u32, f64)| *share < SERVED_SHARE * f64::from(*all);
    match counts.iter().rposition(is_underserved) {
        Some(index) if index == last => f64::INFINITY,
        Some(index) => (index + 1) as f64 * COVERAGE_WINDOW.as_secs_f64(),
        None => 0.0,
    }
}

/// Returns the seconds until the urgent p99 over the next [`P99_WINDOW`] is normal.
///
/// `before` are the samples before the loss. It is infinite if that never happens.
pub fn latency_recovery_secs(samples: &[Sample], before: &[Sample]) -> f64 {
    let Some(normal_p99) = p99(before.iter()) else {
        return f64::NAN;
    };
    let last_arrival = samples.iter().map(|s| s.at).max().unwrap_or_default();
    let steps = last_arrival.saturating_sub(P99_WINDOW).as_micros() / P99_STEP.as_micros();
    let starts = (0..=u32::try_from(steps).unwrap_or(u32::MAX)).map(|i| P99_STEP * i);
    let is_normal = |start: &Duration| {
        let within = |s: &&Sample| s.at >= *start && s.at < *start + P99_WINDOW;
        let p99 = p99(samples.iter().filter(within));
        p99.is_some_and(|p| p.as_secs_f64() <= NORMAL_P99_FACTOR * normal_p99.as_secs_f64())
    };
    let found = starts.into_iter().find(is_normal);
    found.map_or(f64::INFINITY, |start| start.as_secs_f64())
}

fn p99<'a>(samples: impl Iterator<Item = &'a Sample>) -> Option<Duration> {
    let urgent = samples.filter(|s| s.rank == Rank::Urgent);
    let mut took: Vec<_> = urgent.map(|s| s.took).collect();
    took.sort_unstable();
    let index = (took.len() * 99).div_ceil(100).checked_sub(1)?;
    took.get(index).copied()
}
