//! Recovery time of the fleet after the loss of a host.

use std::time::Duration;

use rattanmast_model::rank::Rank;

use crate::tally::Sample;

/// Width of the windows over which coverage is averaged.
///
/// A window of 100 ms holds only 48 queries, so two answers that are partial without any
/// fault already cost 1% of it.
const COVERAGE_WINDOW: Duration = Duration::from_millis(500);

/// Time between the starts of successive percentile windows.
const P99_WINDOW_INTERVAL: Duration = Duration::from_millis(100);

/// Mean coverage of the lost host's keys from which they count as served.
const MIN_SERVED_COVERAGE: f64 = 0.99;

/// Length of a percentile window; shorter windows hold too few urgent queries.
const P99_WINDOW: Duration = Duration::from_secs(5);

/// Largest ratio to the p99 before the loss that counts as normal.
const NORMAL_P99_FACTOR: f64 = 1.2;

/// Returns the seconds after which every window covers at least [`MIN_SERVED_COVERAGE`] of the lost
/// host's keys.
///
/// Returns infinity if the last window is still below it, and NaN without samples.
pub fn service_recovery_secs(samples: &[Sample]) -> f64 {
    let window = |s: &Sample| (s.arrival.as_micros() / COVERAGE_WINDOW.as_micros()) as usize;
    let Some(last) = samples.iter().map(window).max() else {
        return f64::NAN;
    };
    let mut counts = vec![(0_u32, 0.0); last + 1];
    for sample in samples {
        let (all, share) = &mut counts[window(sample)];
        *all += 1;
        *share += sample.at_risk_coverage;
    }
    let is_underserved = |(all, share): &(u32, f64)| *share < MIN_SERVED_COVERAGE * f64::from(*all);
    match counts.iter().rposition(is_underserved) {
        Some(index) if index == last => f64::INFINITY,
        Some(index) => (index + 1) as f64 * COVERAGE_WINDOW.as_secs_f64(),
        None => 0.0,
    }
}

/// Returns the seconds until the urgent p99 over the following [`P99_WINDOW`] is normal.
///
/// `before_loss` holds the samples before the loss. Returns infinity if the p99 never recovers, and
/// NaN if `before_loss` has no urgent sample.
pub fn latency_recovery_secs(samples: &[Sample], before_loss: &[Sample]) -> f64 {
    let Some(normal_p99) = p99(before_loss.iter()) else {
        return f64::NAN;
    };
    let last_arrival = samples.iter().map(|s| s.arrival).max().unwrap_or_default();
    let steps =
        last_arrival.saturating_sub(P99_WINDOW).as_micros() / P99_WINDOW_INTERVAL.as_micros();
    let starts = (0..=u32::try_from(steps).unwrap_or(u32::MAX)).map(|i| P99_WINDOW_INTERVAL * i);
    let is_normal = |start: &Duration| {
        let within = |s: &&Sample| s.arrival >= *start && s.arrival < *start + P99_WINDOW;
        let p99 = p99(samples.iter().filter(within));
        p99.is_some_and(|p| p.as_secs_f64() <= NORMAL_P99_FACTOR * normal_p99.as_secs_f64())
    };
    let found = starts.into_iter().find(is_normal);
    found.map_or(f64::INFINITY, |start| start.as_secs_f64())
}

fn p99<'a>(samples: impl Iterator<Item = &'a Sample>) -> Option<Duration> {
    let urgent = samples.filter(|s| s.rank == Rank::Urgent);
    let mut latencies: Vec<_> = urgent.map(|s| s.latency).collect();
    latencies.sort_unstable();
    let index = (latencies.len() * 99).div_ceil(100).checked_sub(1)?;
    latencies.get(index).copied()
}
