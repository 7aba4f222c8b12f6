//! Measures the propagation of configurations in a simulated fleet.
//!
//! All hosts run in this process on an in-memory network. Times are those of tokio's paused clock.

use std::{sync::Arc, time::Duration};

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use rattanmast_state::{accept, intent::Intent, plan};
use tokio::{sync::Mutex, task::JoinSet, time::Instant};

#[expect(dead_code, reason = "the tests use the rest")]
#[path = "../tests/support/mod.rs"]
mod support;

use support::{Fleet, Node, seconds};

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of hosts
    #[bpaf(argument("N"), fallback(9), display_fallback)]
    hosts: usize,
    /// Number of configuration changes
    #[bpaf(argument("N"), fallback(200), display_fallback)]
    changes: u64,
    /// Share of messages between hosts that are lost
    #[bpaf(argument("SHARE"), fallback(0.01), display_fallback)]
    loss: f64,
    /// Seconds between changes
    #[bpaf(argument("S"), fallback(2), display_fallback)]
    pause: u64,
    /// Seconds for which traffic is counted without changes
    #[bpaf(argument("S"), fallback(30), display_fallback)]
    idle: u64,
    /// Maximum one-way latency between hosts, in milliseconds; the minimum is 1
    #[bpaf(argument("MS"), fallback(2), display_fallback)]
    latency: u64,
    /// Number of hosts that can't reach the platform during the changes
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    cut: usize,
    /// Seconds for which the platform is down and traffic is counted, before the changes
    #[bpaf(argument("S"), fallback(0), display_fallback)]
    outage: u64,
    /// Seed of all randomness
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
}

type Error = Box<dyn std::error::Error>;

fn main() -> Result<(), Error> {
    let options = options().run();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    runtime.block_on(run(&options))
}

async fn run(options: &Options) -> Result<(), Error> {
    let mut fleet = Fleet::started(options.hosts, options.seed);
    fleet.network.lock().latency = 1..options.latency + 1;
    let ready = fleet
        .until(Duration::from_secs(120), Fleet::all_serve)
        .await;
    println!("hosts {}, seed {}", options.hosts, options.seed);
    println!("all serve after {ready:?}");
    seconds(20).await;
    println!("idle, platform up:");
    idle(&fleet, options, options.idle).await;
    if options.outage > 0 {
        let down = |down| rattanmast_fakes::store::Faults {
            down,
            ..Default::default()
        };
        fleet.store.set_faults(down(true));
        println!("idle, platform down:");
        idle(&fleet, options, options.outage).await;
        fleet.store.set_faults(down(false));
        println!("idle, first seconds after the outage:");
        idle(&fleet, options, 10).await;
    }
    fleet.network.lock().loss_share = options.loss;
    for host in fleet.hosts.iter().take(options.cut) {
        fleet.store.set_cut(&host.name, true);
    }
    changes(&mut fleet, options).await
}

async fn idle(fleet: &Fleet, options: &Options, span: u64) {
    let (calls, cpu) = (fleet.store.calls(), cpu_ms());
    fleet.network.lock().counting = true;
    let mut oldest = Duration::ZERO;
    let mut unproven = 0;
    for _ in 0..span * 10 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        for node in &fleet.nodes {
            let proof = node.proof();
            oldest = oldest.max(proof.age.unwrap_or(Duration::MAX));
            unproven += u64::from(!proof.serving());
        }
    }
    let cpu = cpu_ms() - cpu;
    let mut shared = fleet.network.lock();
    shared.counting = false;
    let traffic = std::mem::take(&mut shared.traffic);
    let (span, hosts) = (span as f64, options.hosts as f64);
    let total = |of: fn(&support::Traffic) -> u64| -> (f64, f64) {
        let all = traffic.values().map(of);
        let sum: u64 = all.clone().sum();
        (
            sum as f64 / span / hosts,
            all.max().unwrap_or(0) as f64 / span,
        )
    };
    let (sent, received) = (total(|t| t.sent), total(|t| t.received));
    let both = total(|t| t.sent + t.received);
    let (calls_made, answers) = (total(|t| t.calls), total(|t| t.answers));
    println!("  a second and host (mean, highest):");
    println!(
        "  calls {:.2}, {:.2}; answers {:.2}, {:.2}",
        calls_made.0, calls_made.1, answers.0, answers.1
    );
    println!(
        "  bytes sent {:.0}, {:.0}; received {:.0}, {:.0}; both {:.0}, {:.0}",
        sent.0, sent.1, received.0, received.1, both.0, both.1
    );
    println!(
        "  processor {:.3}% of a core",
        cpu as f64 / 10.0 / span / hosts
    );
    println!("  oldest proof {oldest:?}, samples without proof {unproven}");
    let now = fleet.store.calls();
    println!(
        "  platform calls a second, all hosts: {:.2} (watches that wait are counted once)",
        (now.total() - calls.total()) as f64 / span
    );
    println!(
        "  resident memory of this process a host: {:.0} KB",
        resident_kb() as f64 / hosts
    );
}

async fn changes(fleet: &mut Fleet, options: &Options) -> Result<(), Error> {
    let log = Arc::new(Mutex::new(Vec::<(u64, Instant)>::new()));
    let mut watching = JoinSet::new();
    for node in &fleet.nodes {
        watching.spawn(follow(node.clone(), log.clone()));
    }
    let mut written = Vec::new();
    let mut unproven = 0_usize;
    for i in 0..options.changes {
        written.push(change(fleet, u32::try_from(i)?).await?);
        let last = i + 1 == options.changes;
        // Waits longer after the last change, so that late arrivals are counted.
        let pause = if last {
            options.pause + 10
        } else {
            options.pause
        };
        let end = Instant::now() + Duration::from_secs(pause);
        while Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(100)).await;
            unproven += fleet.nodes.iter().filter(|n| !n.proof().serving()).count();
        }
    }
    while let Some(done) = watching.try_join_next() {
        done?;
    }
    report(options, &written, &log.lock().await, unproven)
}

/// Confirms a change; returns its version and the time at which the write took effect.
async fn change(fleet: &Fleet, i: u32) -> Result<(u64, Instant), Error> {
    let store = fleet.store.client("operator");
    let current = accept::current(&store).await?.record.config;
    let mut intent = Intent::from(&current);
    intent.searches[0].longest_wait_ms = 400 + i % 100 + 1;
    let plan = plan::make(&current, &intent);
    let wanted = plan.target.version.0;
    let effect = async {
        let written = |f: &Fleet| {
            let object = f.store.read_now("config/current");
            object.is_some_and(|o| version(&o) >= wanted)
        };
        fleet.until(Duration::from_secs(5), written).await;
        Instant::now()
    };
    let confirm = accept::confirm(&store, &plan, "measure", 0);
    let (done, at) = tokio::join!(confirm, effect);
    done?;
    Ok((wanted, at))
}

fn report(
    options: &Options,
    written: &[(u64, Instant)],
    log: &[(u64, Instant)],
    unproven: usize,
) -> Result<(), Error> {
    let mut spread = Histogram::<u64>::new(3)?;
    let mut first = Histogram::<u64>::new(3)?;
    for (version, written) in written {
        let arrived = log.iter().filter(|(v, _)| v == version);
        let times = arrived.map(|(_, at)| at.saturating_duration_since(*written).as_millis());
        let times: Vec<u64> = times.map(u64::try_from).collect::<Result<_, _>>()?;
        if times.len() != options.hosts {
            println!("version {version} reached {} hosts only", times.len());
        }
        first.record(times.iter().min().copied().unwrap_or_default())?;
        spread.record(times.iter().max().copied().unwrap_or_default())?;
    }
    println!(
        "{} changes, {} loss, from the write's effect to in force on all hosts, in ms:",
        options.changes, options.loss
    );
    println!(
        "  p50 {}, p99 {}, worst {}; first host at worst {}",
        spread.value_at_quantile(0.5),
        spread.value_at_quantile(0.99),
        spread.max(),
        first.max()
    );
    println!("  samples without proof {unproven}");
    println!("  reversions seen: 0 (a follower stops the run at one)");
    Ok(())
}

/// Returns the version in the first field of a stored configuration.
fn version(object: &rattanmast_model::store::Object) -> u64 {
    let digits = object.value.iter().skip_while(|b| !b.is_ascii_digit());
    let digits = digits.take_while(|b| b.is_ascii_digit());
    digits.fold(0, |n, b| n * 10 + u64::from(b - b'0'))
}

/// Records when each version comes into force at `node`; panics if a version reverts.
async fn follow(node: Node, log: Arc<Mutex<Vec<(u64, Instant)>>>) {
    let mut view = node.view();
    let mut last = view.borrow().config.version.0;
    while view.changed().await.is_ok() {
        let version = view.borrow_and_update().config.version.0;
        assert!(
            version >= last,
            "version went back from {last} to {version}"
        );
        if version > last {
            let mut log = log.lock().await;
            log.extend((last + 1..=version).map(|v| (v, Instant::now())));
        }
        last = version;
    }
}

/// Returns the CPU time of this process, in milliseconds.
fn cpu_ms() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    // Fields 14 and 15 of the file are user and system time, in hundredths of a second.
    let ticks = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or(0)
    };
    (ticks(11) + ticks(12)) * 10
}

/// Returns the resident memory of this process, in KB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
