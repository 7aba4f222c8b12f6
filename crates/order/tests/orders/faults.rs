//! Guards against double runs and false refusals, under all faults at once.
//!
//! `RATTANMAST_ORDER_ATTEMPTS=1000000 cargo test --release -p rattanmast-order --test orders all_faults -- --nocapture`
//! runs that many attempts; the default is 4,000.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::sim::{self, COLLECTION, Faults, Fleet, HOSTS, MAX_SKEW_MS};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rattanmast_model::{
    outcome::{Outcome, Reason},
    rank::Rank,
    trace,
};
use rattanmast_order::{Request, Settings, settings::Mutation};
use tokio::time::{Instant, sleep};

/// Time for which a run injects faults and starts new orders.
const FAULT_PHASE: Duration = Duration::from_secs(100);

/// Number of keys and tickets in a run.
const KEYS_PER_RUN: u64 = 50;

/// Caller, key and outcome of each attempt by its trace id; no outcome if it got none.
type Attempts = BTreeMap<u128, (String, String, Option<Outcome>)>;

/// Restarts and pauses hosts, changes their clocks, interrupts the store, and makes hosts suspect
/// each other.
async fn inject_faults(fleet: Fleet, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let end = Instant::now() + FAULT_PHASE;
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(50..4000))).await;
        let host = rng.random_range(0..HOSTS);
        match rng.random_range(0..7) {
            0 => restart(
                fleet.clone(),
                host,
                rng.random_range(200..5000),
                rng.random_bool(0.3),
            ),
            1 | 2 => {
                let max_pause_ms = if rng.random_bool(0.1) { 60_000 } else { 6_000 };
                let pause = Duration::from_millis(rng.random_range(10..max_pause_ms));
                fleet.lock().hosts[host].paused_until = Instant::now() + pause;
            }
            3 => {
                let skew = rng.random_range(-MAX_SKEW_MS..MAX_SKEW_MS);
                fleet.lock().hosts[host].clock.set_skew(skew);
            }
            4 => {
                let fleet = fleet.clone();
                let outage_ms = rng.random_range(100..10_000);
                fleet.lock().outage = true;
                tokio::spawn(async move {
                    sleep(Duration::from_millis(outage_ms)).await;
                    fleet.lock().outage = false;
                });
            }
            _ => {
                let other = rng.random_range(0..HOSTS);
                let until = Instant::now() + Duration::from_millis(rng.random_range(100..10_000));
                fleet.lock().hosts[host].suspected_until[other] = until;
            }
        }
    }
}

fn restart(fleet: Fleet, host: usize, downtime_ms: u64, graceful: bool) {
    tokio::spawn(async move {
        if let Some(process) = fleet.process(host).filter(|_| graceful) {
            process.drain().await;
            assert_eq!(
                process.stats().in_flight,
                0,
                "orders are in flight after the drain"
            );
        }
        fleet.kill(host);
        sleep(Duration::from_millis(downtime_ms)).await;
        if fleet.process(host).is_none() {
            fleet.start_process(host);
            fleet.announce(host);
        }
    });
}

/// Sends one order several times with the same key, each time to a random host.
async fn run_caller(fleet: Fleet, seed: u64, attempts: std::sync::Arc<std::sync::Mutex<Attempts>>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    sleep(Duration::from_millis(rng.random_range(0..60_000))).await;
    let caller = format!("caller-{}", rng.random_range(0..3));
    let issuer = rng.random_range(0..HOSTS);
    let ticket = rng
        .random_bool(0.2)
        .then(|| fleet.process(issuer))
        .flatten();
    let key = match ticket {
        Some(process) => process.issue_ticket(&caller).to_string(),
        None => sim::uuid(fleet.true_ms(), rng.random()),
    };
    let mut calls = Vec::new();
    for _ in 0..rng.random_range(1..7) {
        let order = Request {
            caller: caller.clone().into(),
            key: key.clone().into(),
            collection: COLLECTION.into(),
            action: "sharpen".into(),
            record: if rng.random_bool(0.02) {
                "other"
            } else {
                "stone"
            }
            .into(),
            rank: Rank::Urgent,
            timeout: Duration::from_millis(rng.random_range(50..20_000)),
            trace: Some(trace::Context {
                trace: rng.random(),
                span: 1,
                sampled: false,
            }),
        };
        let host = rng.random_range(0..HOSTS);
        calls.push(tokio::spawn(send_attempt(
            fleet.clone(),
            host,
            order,
            attempts.clone(),
        )));
        let max_gap_ms = if rng.random_bool(0.3) { 50 } else { 9_000 };
        sleep(Duration::from_millis(rng.random_range(0..max_gap_ms))).await;
    }
}

async fn send_attempt(
    fleet: Fleet,
    host: usize,
    order: Request,
    attempts: std::sync::Arc<std::sync::Mutex<Attempts>>,
) {
    let trace_id = order.trace.expect("an attempt has a trace").trace;
    let (caller, key) = (order.caller.to_string(), order.key.to_string());
    let run_key = (caller.clone(), key.clone());
    let pending = (caller.clone(), key.clone(), None);
    attempts.lock().unwrap().insert(trace_id, pending);
    let id = fleet.id(host);
    let Some(process) = fleet.process(host) else {
        return;
    };
    fleet.wait_until_running(id).await;
    let outcome = process.submit(order).await;
    fleet.wait_until_running(id).await;
    let runs = |fleet: &Fleet| fleet.lock().runs.get(&run_key).map_or(0, Vec::len);
    if matches!(&outcome, Outcome::NotRun { reason: Reason::Key, remedy } if remedy.contains("too old"))
    {
        let (fleet, runs_before) = (fleet.clone(), runs(&fleet));
        let run_key = run_key.clone();
        tokio::spawn(async move {
            sleep(FAULT_PHASE).await;
            let mut state = fleet.lock();
            if state.runs.get(&run_key).map_or(0, Vec::len) > runs_before {
                state
                    .violations
                    .push(format!("key {} ran after it was too old", run_key.1));
            }
        });
    }
    if let Some(Outcome::NotRun { .. }) = process.outcome(&caller, &key).await
        && runs(&fleet) > 0
    {
        let violation = format!("key {key} ran, and a look-up says that it was not run");
        fleet.lock().violations.push(violation);
    }
    attempts
        .lock()
        .unwrap()
        .insert(trace_id, (caller, key, Some(outcome)));
}

/// Counts of outcomes and violations.
#[derive(Default)]
struct Tally {
    attempts: u64,
    runs: u64,
    outcomes: BTreeMap<&'static str, u64>,
    keys_run_twice: u64,
    false_refusals: u64,
    violations: Vec<String>,
}

impl Tally {
    fn check(fleet: &Fleet, attempts: &Attempts) -> Self {
        let state = fleet.lock();
        let mut tally = Self {
            attempts: attempts.len() as u64,
            violations: state.violations.clone(),
            ..Self::default()
        };
        for (key, runs) in &state.runs {
            tally.runs += runs.len() as u64;
            if runs.len() > 1 {
                tally.keys_run_twice += 1;
                tally
                    .violations
                    .push(format!("{key:?} ran {} times", runs.len()));
            }
        }
        for (trace_id, (caller, key, outcome)) in attempts {
            let Some(outcome) = outcome else { continue };
            *tally.outcomes.entry(outcome.name()).or_default() += 1;
            let runs = state.runs.get(&(caller.clone(), key.clone()));
            let runs = runs.map_or(&[][..], |r| r);
            let own_attempt_ran = runs.iter().any(|r| r.attempt == *trace_id);
            let ran = |result: &str| runs.iter().any(|r| r.result == result);
            let (is_true, refusal) = match outcome {
                Outcome::Done { result } => (own_attempt_ran && ran(result), false),
                Outcome::AlreadyDone {
                    result: Some(result),
                } => (ran(result), false),
                Outcome::AlreadyDone { result: None } => (!runs.is_empty(), false),
                Outcome::NotRun { .. } => (!own_attempt_ran, true),
                Outcome::Unknown { .. } => (true, false),
            };
            if !is_true {
                tally.false_refusals += u64::from(refusal);
                let violation = format!("attempt {trace_id} of {key} got {outcome:?}, not true");
                tally.violations.push(violation);
            }
        }
        tally
    }

    fn add(&mut self, other: Self) {
        self.attempts += other.attempts;
        self.runs += other.runs;
        self.keys_run_twice += other.keys_run_twice;
        self.false_refusals += other.false_refusals;
        self.violations.extend(other.violations);
        for (name, count) in other.outcomes {
            *self.outcomes.entry(name).or_default() += count;
        }
    }
}

/// Runs one seed on a paused clock of its own.
fn run_seed(seed: u64, mutation: Mutation) -> Tally {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        // A process that resumes after a pause finds both the response and the expired
        // timer of a call, and uses the response. The longer timeout simulates that.
        let settings = Settings {
            store_timeout: Duration::from_secs(if seed.is_multiple_of(2) { 1 } else { 90 }),
            ..sim::settings(mutation)
        };
        let fleet = Fleet::new(seed, settings);
        let attempts = std::sync::Arc::new(std::sync::Mutex::new(Attempts::new()));
        let mut rng = SmallRng::seed_from_u64(seed);
        fleet.lock().faults = Faults::all(&mut rng);
        tokio::spawn(inject_faults(fleet.clone(), rng.random()));
        for _ in 0..KEYS_PER_RUN {
            tokio::spawn(run_caller(fleet.clone(), rng.random(), attempts.clone()));
        }
        sleep(FAULT_PHASE).await;
        fleet.lock().faults = Faults::default();
        // Waits until all pauses, delayed messages and late writes have ended.
        sleep(2 * FAULT_PHASE).await;
        let attempts = attempts.lock().unwrap();
        let tally = Tally::check(&fleet, &attempts);
        // Breaks the reference cycle between the fleet and its processes.
        fleet.lock().hosts.clear();
        tally
    })
}

/// Guards against double runs and false refusals; the seed is printed with each violation.
#[test]
fn all_faults_at_once() {
    let min_attempts: u64 = std::env::var("RATTANMAST_ORDER_ATTEMPTS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(4_000);
    let (seeds, attempts) = (AtomicU64::new(0), AtomicU64::new(0));
    let worker = || {
        let mut total = Tally::default();
        while attempts.load(Ordering::Relaxed) < min_attempts {
            let seed = seeds.fetch_add(1, Ordering::Relaxed);
            let mut tally = run_seed(seed, Mutation::None);
            attempts.fetch_add(tally.attempts, Ordering::Relaxed);
            for violation in &mut tally.violations {
                *violation = format!("seed {seed}: {violation}");
            }
            total.add(tally);
        }
        total
    };
    let mut total = Tally::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(worker)).collect();
        for thread in threads {
            total.add(thread.join().unwrap());
        }
    });
    let seeds = seeds.into_inner();
    println!(
        "{seeds} seeds, {} attempts, {} runs, {:?}",
        total.attempts, total.runs, total.outcomes
    );
    println!(
        "{} keys run twice, {} false refusals",
        total.keys_run_twice, total.false_refusals
    );
    assert!(total.violations.is_empty(), "{:#?}", total.violations);
    assert!(
        total.runs * 10 > total.attempts,
        "at most a tenth of the attempts ran, too few for a meaningful check"
    );
}

/// Asserts that one of the first seeds shows `violation` with `mutation`, and none without it.
///
/// Tries a range of seeds, because any change of the code changes the faults of a seed.
fn assert_detects(mutation: Mutation, violation: &str) {
    let is_detected = |seed: &u64| {
        let violations = run_seed(*seed, mutation).violations;
        violations.iter().any(|v| v.contains(violation))
    };
    let seed = (0..60).find(is_detected);
    let seed = seed.expect("no seed detects that the check is disabled");
    println!("{mutation:?}: detected by seed {seed}");
    let violations = run_seed(seed, Mutation::None).violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
}

/// Guards against a fault test that passes when orders are sent without a claim.
#[test]
fn missing_claim_is_noticed() {
    assert_detects(Mutation::Claim, "times");
}

/// Guards against a fault test that passes when a batch is mistaken for another claimer's.
#[test]
fn missing_nonce_is_noticed() {
    assert_detects(Mutation::Nonce, "times");
}

/// Guards against a fault test that passes when the age of a claim is not checked.
#[test]
fn missing_right_is_noticed() {
    assert_detects(Mutation::ClaimAge, "after its claim");
}
