//! Prometheus metrics of one host.

use std::time::Duration;

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder, process_collector::ProcessCollector,
};
use rattanmast_model::rank::Rank;

/// Upper bounds of the latency buckets; the latency target is 0.1 s.
const LATENCY_BUCKETS_SECS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0,
];

/// Upper bounds of the coverage buckets; the implicit last bucket holds only complete answers.
const COVERAGE_BUCKETS: [f64; 7] = [0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999_999];

/// The metrics of one host.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    coverage: Histogram,
    /// Totals that the roles count themselves; gauges, because each scrape sets their values.
    events: IntGaugeVec,
    states: IntGaugeVec,
}

/// Registers `metric`.
///
/// The names are distinct constants of this module, so registration cannot fail.
fn register<M: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: M) -> M {
    let collector = Box::new(metric.clone());
    registry
        .register(collector)
        .expect("metric names are distinct");
    metric
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        // Exports memory, CPU time and file descriptors of this process.
        let process = Box::new(ProcessCollector::for_self());
        registry
            .register(process)
            .expect("metric names are distinct");
        let counter = |name, help, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect("metric name is valid")
        };
        let gauge = |name, help, labels: &[&str]| {
            IntGaugeVec::new(Opts::new(name, help), labels).expect("metric name is valid")
        };
        let latency = HistogramOpts::new(
            "rattanmast_request_seconds",
            "Time from a request's arrival to its answer, by kind and rank.",
        );
        let latency = HistogramVec::new(
            latency.buckets(LATENCY_BUCKETS_SECS.into()),
            &["kind", "rank"],
        )
        .expect("metric name is valid");
        let coverage = HistogramOpts::new(
            "rattanmast_coverage",
            "Share of the snapshot's records that answers cover.",
        );
        let coverage = Histogram::with_opts(coverage.buckets(COVERAGE_BUCKETS.into()))
            .expect("metric name is valid");
        Self {
            requests: register(
                &registry,
                counter(
                    "rattanmast_requests_total",
                    "Answered requests, by kind, rank and outcome.",
                    &["kind", "rank", "outcome"],
                ),
            ),
            latency: register(&registry, latency),
            coverage: register(&registry, coverage),
            events: register(
                &registry,
                gauge(
                    "rattanmast_events_total",
                    "Events since the process started, by role and event.",
                    &["role", "event"],
                ),
            ),
            states: register(
                &registry,
                gauge(
                    "rattanmast_state",
                    "Current values, by role and name.",
                    &["role", "name"],
                ),
            ),
            registry,
        }
    }
}

impl Metrics {
    /// Counts an answered request and records its latency.
    pub fn observe_request(&self, kind: &str, rank: Rank, outcome: &str, elapsed: Duration) {
        let labels = [kind, rank.name(), outcome];
        self.requests.with_label_values(&labels).inc();
        let latency = self.latency.with_label_values(&[kind, rank.name()]);
        latency.observe(elapsed.as_secs_f64());
    }

    /// Records the coverage of an answer.
    pub fn observe_coverage(&self, coverage: f64) {
        self.coverage.observe(coverage);
    }

    /// Sets the total of an event since the process started.
    pub fn set_event_total(&self, role: &str, event: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.events.with_label_values(&[role, event]).set(value);
    }

    /// Sets the current value of a gauge.
    pub fn set_gauge(&self, role: &str, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.states.with_label_values(&[role, name]).set(value);
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("metrics could not be rendered: {error}");
        }
        text
    }
}
