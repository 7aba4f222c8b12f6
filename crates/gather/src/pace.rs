//! How long dispatchers take, and when they were last heard.

use std::{sync::Mutex, time::Duration};

use rattanmast_model::{
    hash::{Map, Set},
    host,
    rank::Rank,
};
use tokio::time::Instant;

/// The weight of a new sample in the mean, and in the deviation, as TCP's round-trip times have it.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations over the mean beyond which a reply is unlikely to arrive soon.
const DEVIATIONS: f64 = 4.0;

/// The least multiple of the mean at which a reply counts as late.
const LEAST_FACTOR: f64 = 1.5;

/// The learned times of all dispatchers.
#[derive(Debug, Default)]
pub(crate) struct Pace(Mutex<Map<host::Name, Entry>>);

#[derive(Debug, Default)]
struct Entry {
    heard: Option<Instant>,
    /// The mean time of a message on its way to the host and back, in seconds.
    way: Option<f64>,
    ranks: [Option<Estimate>; 3],
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

impl Pace {
    /// Notes that `host` replied after `took` to a sub-query of `rank`, `way` of it on the way.
    pub(crate) fn note(&self, host: &host::Name, rank: Rank, took: Duration, way: Duration) {
        let (took, way) = (took.as_secs_f64(), way.as_secs_f64());
        let mut map = self.0.lock().expect("no holder panics");
        if !map.contains_key(host) {
            map.insert(host.clone(), Entry::default());
        }
        let Some(entry) = map.get_mut(host) else {
            return;
        };
        entry.heard = Some(Instant::now());
        let old = entry.way.unwrap_or(way);
        entry.way = Some(old + MEAN_WEIGHT * (way - old));
        let estimate = &mut entry.ranks[rank.index()];
        *estimate = Some(match *estimate {
            None => Estimate {
                mean: took,
                deviation: took / 2.0,
            },
            Some(old) => Estimate {
                mean: old.mean + MEAN_WEIGHT * (took - old.mean),
                deviation: old.deviation
                    + DEVIATION_WEIGHT * ((took - old.mean).abs() - old.deviation),
            },
        });
    }

    /// Returns the mean time and the time beyond which a reply is unlikely to arrive soon.
    pub(crate) fn times(&self, host: &host::Name, rank: Rank) -> Option<(Duration, Duration)> {
        let map = self.0.lock().expect("no holder panics");
        let Estimate { mean, deviation } = map.get(host)?.ranks[rank.index()]?;
        let late = (mean + DEVIATIONS * deviation).max(LEAST_FACTOR * mean);
        Some((Duration::from_secs_f64(mean), Duration::from_secs_f64(late)))
    }

    /// Returns the mean time of a message on its way to `host` and back.
    pub(crate) fn way(&self, host: &host::Name) -> Duration {
        let map = self.0.lock().expect("no holder panics");
        let way = map.get(host).and_then(|entry| entry.way);
        Duration::from_secs_f64(way.unwrap_or_default())
    }

    /// Tells whether `host` replied to anything after `since`.
    pub(crate) fn heard_since(&self, host: &host::Name, since: Instant) -> bool {
        let map = self.0.lock().expect("no holder panics");
        let heard = map.get(host).and_then(|entry| entry.heard);
        heard.is_some_and(|at| at > since)
    }

    /// Forgets all dispatchers that are not in `hosts`.
    pub(crate) fn retain(&self, hosts: &Set<host::Name>) {
        let mut map = self.0.lock().expect("no holder panics");
        map.retain(|name, _| hosts.contains(name));
    }
}
