//! Response times of dispatchers, and when each last replied.

use std::{sync::Mutex, time::Duration};

use rattanmast_model::{
    hash::{Map, Set},
    host,
    rank::Rank,
};
use tokio::time::Instant;

/// Weights of a new sample in the moving mean and deviation, as for TCP's round-trip time
/// (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations above the mean after which a reply is overdue.
const OVERDUE_DEVIATIONS: f64 = 4.0;

/// Minimum multiple of the mean after which a reply is overdue, for hosts with little deviation.
const MIN_OVERDUE_FACTOR: f64 = 1.5;

/// Moving averages of the response times of all dispatchers.
#[derive(Debug, Default)]
pub(crate) struct Latencies(Mutex<Map<host::Name, HostLatency>>);

#[derive(Debug, Default)]
struct HostLatency {
    last_reply: Option<Instant>,
    /// The mean network round-trip time, in seconds.
    round_trip: Option<f64>,
    ranks: [Option<Estimate>; 3],
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

impl Latencies {
    /// Records that `host` replied to a sub-query of `rank` after `total`, of which `round_trip`
    /// was network time.
    pub(crate) fn record(
        &self,
        host: &host::Name,
        rank: Rank,
        total: Duration,
        round_trip: Duration,
    ) {
        let (total, round_trip) = (total.as_secs_f64(), round_trip.as_secs_f64());
        let mut by_host = self.0.lock().expect("no holder panics");
        if !by_host.contains_key(host) {
            by_host.insert(host.clone(), HostLatency::default());
        }
        let Some(entry) = by_host.get_mut(host) else {
            return;
        };
        entry.last_reply = Some(Instant::now());
        let previous = entry.round_trip.unwrap_or(round_trip);
        entry.round_trip = Some(previous + MEAN_WEIGHT * (round_trip - previous));
        let estimate = &mut entry.ranks[rank.index()];
        *estimate = Some(match *estimate {
            None => Estimate {
                mean: total,
                deviation: total / 2.0,
            },
            Some(previous) => Estimate {
                mean: previous.mean + MEAN_WEIGHT * (total - previous.mean),
                deviation: previous.deviation
                    + DEVIATION_WEIGHT * ((total - previous.mean).abs() - previous.deviation),
            },
        });
    }

    /// Returns the mean response time of `host` to `rank`, and the time after which a reply is
    /// overdue; `None` if no response time is known.
    pub(crate) fn estimate(&self, host: &host::Name, rank: Rank) -> Option<(Duration, Duration)> {
        let by_host = self.0.lock().expect("no holder panics");
        let Estimate { mean, deviation } = by_host.get(host)?.ranks[rank.index()]?;
        let overdue = (mean + OVERDUE_DEVIATIONS * deviation).max(MIN_OVERDUE_FACTOR * mean);
        Some((
            Duration::from_secs_f64(mean),
            Duration::from_secs_f64(overdue),
        ))
    }

    /// Returns the mean network round-trip time to `host`, or zero if it is unknown.
    pub(crate) fn round_trip(&self, host: &host::Name) -> Duration {
        let by_host = self.0.lock().expect("no holder panics");
        let round_trip = by_host.get(host).and_then(|entry| entry.round_trip);
        Duration::from_secs_f64(round_trip.unwrap_or_default())
    }

    /// Returns whether `host` replied to any query after `since`.
    pub(crate) fn replied_since(&self, host: &host::Name, since: Instant) -> bool {
        let by_host = self.0.lock().expect("no holder panics");
        let last_reply = by_host.get(host).and_then(|entry| entry.last_reply);
        last_reply.is_some_and(|at| at > since)
    }

    /// Removes all dispatchers that are not in `hosts`.
    pub(crate) fn retain(&self, hosts: &Set<host::Name>) {
        let mut by_host = self.0.lock().expect("no holder panics");
        by_host.retain(|name, _| hosts.contains(name));
    }
}
