//! Whether a whole query is admitted, before any message is sent.

use std::{sync::Mutex, time::Duration};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{
    catalog::Service,
    hash::{Map, Set},
    host,
    peer::Report,
    rank::Rank,
};
use tokio::time::Instant;

use crate::Settings;

/// Admits or refuses whole queries.
pub trait Admission: Send + Sync + 'static {
    /// Tells whether to admit a query of `rank` with the time `left`.
    ///
    /// `paths` are the services that it needs, each with its dispatcher.
    fn admit<'a>(
        &self,
        rank: Rank,
        left: Duration,
        paths: impl Iterator<Item = (&'a host::Name, &'a Service)>,
    ) -> bool;

    /// Takes in what the dispatcher on `host` says of its queues.
    fn report(&self, host: &host::Name, report: &Report);

    /// Forgets all dispatchers that are not in `hosts`.
    fn retain(&self, hosts: &Set<host::Name>);
}

/// Refuses a query if its longest expected wait leaves too little time.
///
/// A query has no value until its last part has arrived, so the longest wait
/// over all its services decides. Each rank's wait is the dispatcher's, which
/// counts that rank's floor, so the ranks are independent of each other here.
#[derive(Debug)]
pub struct Waits {
    soft: f64,
    hard: f64,
    probe: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    reports: Map<host::Name, Map<Service, Entry>>,
    probed: [Option<Instant>; 3],
    random: SmallRng,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    waits: [u32; 3],
    at: Instant,
}

impl Entry {
    /// Returns the expected wait now.
    ///
    /// A queue that gets no work empties in real time. A dispatcher that still
    /// gets work from others reports again, by its replies or by gossip.
    fn wait(&self, rank: Rank, now: Instant) -> Duration {
        let wait = Duration::from_micros(self.waits[rank.index()].into());
        wait.saturating_sub(now.saturating_duration_since(self.at))
    }
}

impl Waits {
    /// Returns an admission without reports, which admits everything.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        Self {
            soft: settings.soft_wait,
            hard: settings.hard_wait,
            probe: settings.probe,
            state: Mutex::new(State {
                reports: Map::default(),
                probed: [None; 3],
                random: SmallRng::seed_from_u64(seed),
            }),
        }
    }

    /// Returns the chance that a query is refused whose wait is `share` of its time.
    fn refusal(&self, share: f64) -> f64 {
        let span = (self.hard - self.soft).max(f64::EPSILON);
        ((share - self.soft) / span).clamp(0.0, 1.0)
    }
}

impl Admission for Waits {
    fn admit<'a>(
        &self,
        rank: Rank,
        left: Duration,
        paths: impl Iterator<Item = (&'a host::Name, &'a Service)>,
    ) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock().expect("no holder panics");
        let wait = paths
            .filter_map(|(host, service)| state.reports.get(host)?.get(service))
            .map(|entry| entry.wait(rank, now))
            .max()
            .unwrap_or_default();
        let share = wait.as_secs_f64() / left.as_secs_f64().max(f64::EPSILON);
        let refusal = self.refusal(share);
        // Many roots read the same reports: a ramp keeps them from changing their mind at once.
        if refusal == 0.0 || (refusal < 1.0 && state.random.random::<f64>() >= refusal) {
            return true;
        }
        // A probe brings new reports when load has gone without one.
        let probed = &mut state.probed[rank.index()];
        let due = probed.is_none_or(|at| now.saturating_duration_since(at) >= self.probe);
        if due {
            *probed = Some(now);
        }
        due
    }

    fn report(&self, host: &host::Name, report: &Report) {
        if report.waits.is_empty() {
            return;
        }
        let at = Instant::now();
        let mut state = self.state.lock().expect("no holder panics");
        let entries = state.reports.entry(host.clone()).or_default();
        for (service, waits) in &report.waits {
            let entry = Entry { waits: *waits, at };
            match entries.get_mut(service) {
                Some(old) => *old = entry,
                None => drop(entries.insert(service.clone(), entry)),
            }
        }
    }

    fn retain(&self, hosts: &Set<host::Name>) {
        let mut state = self.state.lock().expect("no holder panics");
        state.reports.retain(|name, _| hosts.contains(name));
    }
}

/// A baseline: everything is admitted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Open;

impl Admission for Open {
    fn admit<'a>(
        &self,
        _: Rank,
        _: Duration,
        _: impl Iterator<Item = (&'a host::Name, &'a Service)>,
    ) -> bool {
        true
    }

    fn report(&self, _: &host::Name, _: &Report) {}

    fn retain(&self, _: &Set<host::Name>) {}
}
