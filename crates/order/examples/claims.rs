//! Measures the cost of claims: writes to the platform, added latency, and unknown outcomes.
//!
//! `cargo run --release -p rattanmast-order --example claims`
//!
//! Simulates five hosts on the paused clock. A call to the platform takes 2 to 8 ms, a hop
//! between hosts 1 to 3 ms, and a leaf 2 to 30 ms. The latency without claims is that of the
//! same orders with claims disabled.

#[path = "../tests/orders/sim/mod.rs"]
#[expect(dead_code, reason = "the example uses only a part of the simulation")]
mod sim;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use rattanmast_model::{rank::Rank, trace};
use rattanmast_order::{Request, Settings, settings::Mutation};
use sim::{COLLECTION, Fleet, HOSTS, uuid};
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

/// The results of one run.
struct Measurement {
    latencies: Vec<Duration>,
    unknown: usize,
    not_done: usize,
    writes: u64,
    deletes: u64,
    reads: u64,
    keys: u64,
    /// Growth of the process's resident memory, without the simulated platform's objects.
    memory_growth_bytes: i64,
    takeover: Duration,
    takeover_reads: u64,
}

impl Measurement {
    fn percentile(&self, quantile: f64) -> f64 {
        let last = self.latencies.len() - 1;
        self.latencies[(last as f64 * quantile) as usize].as_secs_f64() * 1e3
    }
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
fn resident_bytes() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<i64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

fn order(key: &str) -> Request {
    Request {
        caller: "caller".into(),
        key: key.into(),
        collection: COLLECTION.into(),
        action: "sharpen".into(),
        record: "stone".into(),
        rank: Rank::Urgent,
        timeout: Duration::from_secs(5),
        trace: Some(trace::Context {
            trace: 1,
            span: 1,
            sampled: false,
        }),
    }
}

async fn submit(fleet: Fleet, host: usize, key: String) -> (Duration, &'static str) {
    let start = Instant::now();
    match fleet.process(host) {
        Some(process) => {
            let outcome = process.submit(order(&key)).await;
            (start.elapsed(), outcome.name())
        }
        None => (start.elapsed(), "no host"),
    }
}

/// Sends `rate` orders per second for `seconds`, then measures a takeover.
async fn measure(
    rate: u64,
    seconds: u64,
    write_interval_ms: u64,
    mutation: Mutation,
) -> Measurement {
    let settings = Settings {
        mutation,
        write_interval: Duration::from_millis(write_interval_ms),
        ..Settings::default()
    };
    let resident_before = resident_bytes();
    let fleet = Fleet::new(rate, settings);
    let tasks = TaskTracker::new();
    let results = Arc::new(Mutex::new(Vec::new()));
    for n in 0..rate * seconds {
        let key = uuid(fleet.true_ms(), n << 16);
        let (order_fleet, results) = (fleet.clone(), Arc::clone(&results));
        tasks.spawn(async move {
            let result = submit(order_fleet, n as usize % HOSTS, key).await;
            results.lock().expect("no order panics").push(result);
        });
        if n % 1000 == 999 {
            fleet.lock().runs.clear();
            fleet.lock().claims.clear();
        }
        sleep(Duration::from_micros(1_000_000 / rate)).await;
    }
    tasks.close();
    tasks.wait().await;
    let results = std::mem::take(&mut *results.lock().expect("no order panics"));
    let count = |outcome| results.iter().filter(|(_, o)| *o == outcome).count();
    let (unknown, not_done) = (count("unknown"), results.len() - count("done"));
    let mut latencies: Vec<Duration> = results.iter().map(|(time, _)| *time).collect();
    latencies.sort_unstable();
    let calls = |names: &[&str]| {
        let state = fleet.lock();
        names.iter().filter_map(|n| state.calls.get(n)).sum::<u64>()
    };
    let stats = |host| fleet.process(host).map(|p| p.stats().keys);
    let mut measurement = Measurement {
        latencies,
        unknown,
        not_done,
        writes: calls(&["create", "update"]),
        deletes: calls(&["delete"]),
        reads: calls(&["get", "list"]),
        keys: (0..HOSTS).filter_map(stats).max().unwrap_or(0),
        memory_growth_bytes: resident_bytes() - resident_before - fleet.stored(),
        takeover: Duration::ZERO,
        takeover_reads: 0,
    };
    // The host with the most keys dies, and the next one takes over.
    let Some(busiest) = (0..HOSTS).max_by_key(|h| stats(*h)) else {
        return measurement;
    };
    fleet.kill(busiest);
    for host_state in &mut fleet.lock().hosts {
        host_state.suspected_until[busiest] = Instant::now() + Duration::from_secs(3600);
    }
    for n in 0..8 {
        let key = uuid(fleet.true_ms(), (n + 1) << 40);
        let host = (busiest + 1) % HOSTS;
        let (time, _) = submit(fleet.clone(), host, key).await;
        measurement.takeover = measurement.takeover.max(time);
    }
    measurement.takeover_reads = calls(&["get", "list"]) - measurement.reads;
    measurement
}

fn main() {
    println!(
        "| orders/s | seconds | interval ms | creates and updates per order | deletes per order | reads per \
         order | with claim p50/p99 ms | without p50/p99 ms | unknown | not done | keys in the \
         busiest process | MB grown | first order after takeover ms | reads of the takeover |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let cases = [
        (2, 300, 50),
        (10, 300, 50),
        (100, 300, 50),
        (1000, 700, 50),
        (1000, 700, 100),
    ];
    for (rate, seconds, interval_ms) in cases {
        let run = |mutation| {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()
                .expect("a runtime without sockets starts");
            runtime.block_on(measure(rate, seconds, interval_ms, mutation))
        };
        let (with, without) = (run(Mutation::None), run(Mutation::Claim));
        let orders = (rate * seconds) as f64;
        println!(
            "| {rate} | {seconds} | {interval_ms} | {:.4} | {:.4} | {:.4} | {:.1}/{:.1} | {:.1}/{:.1} | {} | {} | {} | {:.0} | {:.1} | {} |",
            with.writes as f64 / orders,
            with.deletes as f64 / orders,
            with.reads as f64 / orders,
            with.percentile(0.5),
            with.percentile(0.99),
            without.percentile(0.5),
            without.percentile(0.99),
            with.unknown,
            with.not_done,
            with.keys,
            with.memory_growth_bytes as f64 / 1e6,
            with.takeover.as_secs_f64() * 1e3,
            with.takeover_reads,
        );
    }
}
