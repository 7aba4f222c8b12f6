//! Simulates one run: generates queries, records answers and computes the figures.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_fakes::records;
use rattanmast_model::{
    config::Search,
    hash,
    query::{Answer, Query},
    range::Range,
    rank::Rank,
};
use serde::Serialize;
use smol_str::SmolStr;
use tokio::time::{Instant, sleep_until};

use crate::{
    audit::{Audit, Findings},
    cluster::Cluster,
    meter::Counts,
    policy::{Baseline, Everyone, Kind, Production, Suite},
    scenario::{self, Event, Scenario},
    tally::{Row, Sample, Scale, Tally},
};

/// The figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// The figures by rank.
    pub rows: [Row; 3],
    /// Ratio of requests sent to leafs to requests needed, minus 1, over all ranks.
    pub extra: f64,
    /// Of the queries that were not refused, the share with full coverage by the deadline.
    pub complete: f64,
    /// The findings of the audit.
    pub findings: Findings,
    /// Queries per second that the slots can serve.
    pub capacity: f64,
    /// The share of slot time in use, including work on replies that were no longer awaited.
    pub busy: f64,
    /// The queries, for figures over time; only filled for [`Event::HostLoss`].
    #[serde(skip)]
    pub samples: Vec<Sample>,
    /// Queries of the last two thirds of the warm-up; only filled for [`Event::HostLoss`].
    #[serde(skip)]
    pub before_loss: Vec<Sample>,
}

/// Runs `scenario` under the policies of `kind` on a separate paused clock.
///
/// # Panics
///
/// If the runtime cannot be created.
pub fn run(scenario: &Scenario, kind: Kind, seed: u64) -> Run {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime without I/O needs no system resource");
    runtime.block_on(async {
        match kind {
            Kind::Policy => simulate::<Production>(scenario, seed).await,
            Kind::Baseline => simulate::<Baseline>(scenario, seed).await,
            Kind::Everyone => simulate::<Everyone>(scenario, seed).await,
        }
    })
}

/// State shared by the tasks of a run.
struct Shared<S: Suite> {
    roots: Vec<Root<S>>,
    search: Search,
    scenario: Scenario,
    services: u64,
    measurement_start: Instant,
    /// The key ranges dispatched by the host that [`Event::HostLoss`] cuts off.
    ranges_at_risk: Vec<Range>,
    tally: Mutex<Tally>,
    before_loss: Mutex<Vec<Sample>>,
    audit: Option<Mutex<Audit>>,
}

/// The query root of a host and its network endpoint.
type Root<S> = (
    rattanmast_gather::Gatherer<crate::peers::Endpoint, <S as Suite>::Gather>,
    crate::peers::Endpoint,
);

async fn simulate<S: Suite>(scenario: &Scenario, seed: u64) -> Run {
    let mut cluster = Cluster::<S>::new(scenario, seed);
    let collection = cluster.collection().clone();
    let capacity = scenario::capacity(collection.limits, collection.leafs, &cluster.leaf);
    let audited = matches!(
        scenario.event,
        Some(Event::Repartition | Event::ForgedAnswers)
    );
    let shared = Arc::new(Shared::<S> {
        roots: cluster
            .hosts
            .iter()
            .map(|h| (h.root.clone(), h.peers.clone()))
            .collect(),
        search: Search {
            priority: scenario.priority,
            ..cluster.search()
        },
        scenario: scenario.clone(),
        services: collection.services.into(),
        measurement_start: Instant::now() + scenario.warm_up,
        ranges_at_risk: cluster.ranges_at_risk(),
        tally: Mutex::default(),
        before_loss: Mutex::default(),
        audit: audited.then(|| Mutex::new(Audit::new(collection.name.clone()))),
    });
    let end = shared.measurement_start + scenario.length;
    for rank in Rank::ALL {
        let rate = scenario.load[rank.index()] * capacity;
        let stream_seed = hash::stable([rank.name().as_bytes(), &seed.to_le_bytes()]);
        let start = shared.measurement_start - scenario.warm_up;
        tokio::spawn(Arc::clone(&shared).generate_arrivals(rank, rate, start, end, stream_seed));
    }
    if let Some((rank, load)) = scenario.flood {
        let stream_seed = hash::stable([b"flood".as_slice(), &seed.to_le_bytes()]);
        let flood_start = shared.measurement_start;
        tokio::spawn(Arc::clone(&shared).generate_arrivals(
            rank,
            load * capacity,
            flood_start,
            end,
            stream_seed,
        ));
    }
    let meter = Arc::clone(&cluster.meter);
    sleep_until(shared.measurement_start).await;
    let slots_in_use = cluster.searched_slots();
    let before = (meter.read(), slots_in_use.busy_us());
    if let Some(event) = scenario.event {
        tokio::spawn(async move { cluster.run_event(event).await });
    }
    sleep_until(end).await;
    let requests = meter.read().since(before.0);
    let busy = Duration::from_micros(slots_in_use.busy_us() - before.1);
    let max_deadline = scenario.deadlines.iter().max().copied();
    tokio::time::sleep(max_deadline.unwrap_or_default() * 2).await;
    let slots = f64::from(collection.limits.slots) * f64::from(collection.leafs);
    let slot_time = scenario.length.as_secs_f64() * slots * f64::from(collection.services);
    Run {
        busy: busy.as_secs_f64() / slot_time,
        ..shared.figures(requests, capacity)
    }
}

impl<S: Suite> Shared<S> {
    /// Starts queries of `rank` from `start` to `end` as a Poisson process with `rate` per second.
    async fn generate_arrivals(
        self: Arc<Self>,
        rank: Rank,
        rate: f64,
        start: Instant,
        end: Instant,
        seed: u64,
    ) {
        if rate <= 0.0 {
            return;
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut next = start;
        loop {
            let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
            next += Duration::from_secs_f64(gap);
            if next >= end {
                return;
            }
            sleep_until(next).await;
            let text = records::term(rng.random_range(0..records::DISTINCT_TERMS));
            let host = rng.random_range(0..self.roots.len());
            tokio::spawn(Arc::clone(&self).query(rank, text, host));
        }
    }

    /// Runs one query on the host at `index`, or on the next host that is not lost.
    async fn query(self: Arc<Self>, rank: Rank, text: SmolStr, index: usize) {
        let count = self.roots.len();
        let hosts = (0..count).map(|i| &self.roots[(index + i) % count]);
        let Some((root, peers)) = hosts.into_iter().find(|(_, p)| !p.is_lost()) else {
            return;
        };
        let deadline = self.scenario.deadlines[rank.index()];
        let query = Query {
            search: self.search.clone(),
            text: text.clone(),
            rank,
            timeout: deadline,
            trace: None,
        };
        let start = Instant::now();
        // The loss of the host breaks the caller's connection, so this query is not counted.
        let result = tokio::select! {
            biased;
            () = peers.lost() => return,
            result = root.query(query) => result,
        };
        let latency = start.elapsed();
        if start < self.measurement_start {
            self.record_before_loss(rank, start, latency);
            return;
        }
        if let (Some(audit), Ok(answer)) = (&self.audit, &result) {
            let mut answer = answer.clone();
            if self.scenario.event == Some(Event::ForgedAnswers) {
                forge_answer(&mut answer);
            }
            let mut audit = audit.lock().expect("no holder panics");
            audit.check(&text, &answer);
        }
        let in_time = result.as_ref().ok().filter(|_| latency <= deadline);
        let sample = Sample {
            arrival: start - self.measurement_start,
            latency,
            rank,
            complete: in_time.is_some_and(|a| a.coverage >= 1.0),
            at_risk_coverage: in_time
                .map_or(0.0, |a| covered_share(&self.ranges_at_risk, &a.missing)),
        };
        let mut tally = self.tally.lock().expect("no holder panics");
        tally.add(sample, deadline, self.services, &result);
    }

    /// Records a query that precedes a host loss, except in the first third of the warm-up.
    fn record_before_loss(&self, rank: Rank, start: Instant, latency: Duration) {
        let record_start = self.measurement_start - self.scenario.warm_up * 2 / 3;
        if self.scenario.event == Some(Event::HostLoss) && start >= record_start {
            self.before_loss
                .lock()
                .expect("no holder panics")
                .push(Sample {
                    arrival: start - record_start,
                    latency,
                    rank,
                    complete: true,
                    at_risk_coverage: 1.0,
                });
        }
    }

    fn figures(&self, requests: Counts, capacity: f64) -> Run {
        let tally = self.tally.lock().expect("no holder panics");
        let scale = Scale {
            length: self.scenario.length,
            capacity: capacity * self.services as f64,
        };
        let audit = self.audit.as_ref();
        let findings = audit.map(|a| a.lock().expect("no holder panics").findings());
        Run {
            rows: tally.rows(scale, requests.sent, requests.replied),
            extra: tally.extra(requests.sent),
            complete: tally.complete(),
            findings: findings.unwrap_or_default(),
            capacity,
            busy: f64::NAN,
            samples: match self.scenario.event {
                Some(Event::HostLoss) => tally.samples().to_vec(),
                _ => Vec::new(),
            },
            before_loss: std::mem::take(&mut self.before_loss.lock().expect("no holder panics")),
        }
    }
}

/// Returns the share of the keys in `ranges` that are not in `missing`.
fn covered_share(ranges: &[Range], missing: &[Range]) -> f64 {
    let width = |r: &Range| (r.end - r.start) as f64;
    let missing_ranges = ranges
        .iter()
        .flat_map(|r| missing.iter().filter_map(|m| r.intersect(*m)));
    let missing_width: f64 = missing_ranges.map(|r| width(&r)).sum();
    1.0 - missing_width / ranges.iter().map(width).sum::<f64>()
}

/// Makes `answer` claim the next snapshot and more records than exist.
fn forge_answer(answer: &mut Answer) {
    answer.snapshot.0 += 1;
    answer.records += 1_000_000;
}
