//! Admission control for whole queries, before any message is sent.

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
    /// Returns whether to admit a query of `rank` with `time_left` until its deadline.
    ///
    /// `paths` are the services that it needs, each with its dispatcher.
    fn admit<'a>(
        &self,
        rank: Rank,
        time_left: Duration,
        paths: impl Iterator<Item = (&'a host::Name, &'a Service)>,
    ) -> bool;

    /// Records the queue lengths that the dispatcher on `host` reports.
    fn report(&self, host: &host::Name, report: &Report);

    /// Removes all dispatchers that are not in `hosts`.
    fn retain(&self, hosts: &Set<host::Name>);
}

/// Refuses a query if its longest expected wait leaves too little time.
///
/// A query is complete only when its last part has arrived, so the longest wait over all its
/// services decides. A dispatcher reports the wait of each rank with the rank's floor taken into
/// account, so the ranks are independent of each other here.
#[derive(Debug)]
pub struct WaitLimit {
    soft_limit: f64,
    hard_limit: f64,
    probe_interval: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    reports: Map<host::Name, Map<Service, ReportedWaits>>,
    last_probes: [Option<Instant>; 3],
    random: SmallRng,
}

#[derive(Clone, Copy, Debug)]
struct ReportedWaits {
    waits_us: [u32; 3],
    received: Instant,
}

impl ReportedWaits {
    /// Returns the expected wait at `now`.
    ///
    /// A queue without new work empties in real time. A dispatcher that still gets work from
    /// others reports again, in its replies or by gossip.
    fn expected_wait(&self, rank: Rank, now: Instant) -> Duration {
        let wait = Duration::from_micros(self.waits_us[rank.index()].into());
        wait.saturating_sub(now.saturating_duration_since(self.received))
    }
}

impl WaitLimit {
    /// Creates an admission control without reports, which admits everything.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        Self {
            soft_limit: settings.soft_wait_share,
            hard_limit: settings.hard_wait_share,
            probe_interval: settings.probe_interval,
            state: Mutex::new(State {
                reports: Map::default(),
                last_probes: [None; 3],
                random: SmallRng::seed_from_u64(seed),
            }),
        }
    }

    /// Returns the probability of refusal for an expected wait of `wait_share` of the time left.
    fn refusal_probability(&self, wait_share: f64) -> f64 {
        let span = (self.hard_limit - self.soft_limit).max(f64::EPSILON);
        ((wait_share - self.soft_limit) / span).clamp(0.0, 1.0)
    }
}

impl Admission for WaitLimit {
    fn admit<'a>(
        &self,
        rank: Rank,
        time_left: Duration,
        paths: impl Iterator<Item = (&'a host::Name, &'a Service)>,
    ) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock().expect("no holder panics");
        let wait = paths
            .filter_map(|(host, service)| state.reports.get(host)?.get(service))
            .map(|reported| reported.expected_wait(rank, now))
            .max()
            .unwrap_or_default();
        let wait_share = wait.as_secs_f64() / time_left.as_secs_f64().max(f64::EPSILON);
        let refusal = self.refusal_probability(wait_share);
        // Many roots read the same reports: refusing at random within a ramp keeps them from
        // switching between admitting and refusing all at once.
        if refusal == 0.0 || (refusal < 1.0 && state.random.random::<f64>() >= refusal) {
            return true;
        }
        // A probe fetches new reports, in case the load has dropped without one.
        let last_probe = &mut state.last_probes[rank.index()];
        let due =
            last_probe.is_none_or(|at| now.saturating_duration_since(at) >= self.probe_interval);
        if due {
            *last_probe = Some(now);
        }
        due
    }

    fn report(&self, host: &host::Name, report: &Report) {
        if report.waits.is_empty() {
            return;
        }
        let received = Instant::now();
        let mut state = self.state.lock().expect("no holder panics");
        let by_service = state.reports.entry(host.clone()).or_default();
        for (service, waits_us) in &report.waits {
            let reported = ReportedWaits {
                waits_us: *waits_us,
                received,
            };
            match by_service.get_mut(service) {
                Some(previous) => *previous = reported,
                None => drop(by_service.insert(service.clone(), reported)),
            }
        }
    }

    fn retain(&self, hosts: &Set<host::Name>) {
        let mut state = self.state.lock().expect("no holder panics");
        state.reports.retain(|name, _| hosts.contains(name));
    }
}

/// A baseline that admits everything.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmitAll;

impl Admission for AdmitAll {
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
