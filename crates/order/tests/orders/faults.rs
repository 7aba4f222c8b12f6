//! Guards against orders that run twice and refusals that are not true, under all faults at once.
//!
//! `RATTANMAST_ORDER_ATTEMPTS=1000000 cargo test --release -p rattanmast-order --test orders all_faults -- --nocapture`
//! runs that many attempts; without it a bounded number of seeds is run.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::sim::{self, COLLECTION, Faults, HOSTS, SKEW, World};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rattanmast_model::{
    outcome::{Outcome, Reason},
    rank::Rank,
    trace,
};
use rattanmast_order::{Settings, Submit, settings::Mutation};
use tokio::time::{Instant, sleep};

/// How long faults and new orders go on in a run.
const SPAN: Duration = Duration::from_secs(100);

/// Keys and tickets in a run.
const KEYS: u64 = 50;

type Attempts = BTreeMap<u128, (String, String, Option<Outcome>)>;

/// Restarts and pauses hosts, turns the store off and on, and makes hosts shun each other.
async fn disturb(world: World, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let end = Instant::now() + SPAN;
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(50..4000))).await;
        let host = rng.random_range(0..HOSTS);
        match rng.random_range(0..7) {
            0 => restart(
                world.clone(),
                host,
                rng.random_range(200..5000),
                rng.random_bool(0.3),
            ),
            1 | 2 => {
                let longest = if rng.random_bool(0.1) { 60_000 } else { 6_000 };
                let pause = Duration::from_millis(rng.random_range(10..longest));
                world.lock().slots[host].paused = Instant::now() + pause;
            }
            3 => {
                let skew = rng.random_range(-SKEW..SKEW);
                world.lock().slots[host].clock.set_skew(skew);
            }
            4 => {
                let world = world.clone();
                let outage = rng.random_range(100..10_000);
                world.lock().outage = true;
                tokio::spawn(async move {
                    sleep(Duration::from_millis(outage)).await;
                    world.lock().outage = false;
                });
            }
            _ => {
                let other = rng.random_range(0..HOSTS);
                let until = Instant::now() + Duration::from_millis(rng.random_range(100..10_000));
                world.lock().slots[host].shunned[other] = until;
            }
        }
    }
}

fn restart(world: World, host: usize, away: u64, planned: bool) {
    tokio::spawn(async move {
        if let Some(process) = world.process(host).filter(|_| planned) {
            process.drain().await;
            assert_eq!(
                process.stats().in_flight,
                0,
                "an order is in flight after the drain"
            );
        }
        world.kill(host);
        sleep(Duration::from_millis(away)).await;
        if world.process(host).is_none() {
            world.boot(host);
            world.announce(host);
        }
    });
}

/// Sends one order with the same key several times to several hosts.
async fn caller(world: World, seed: u64, attempts: std::sync::Arc<std::sync::Mutex<Attempts>>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    sleep(Duration::from_millis(rng.random_range(0..60_000))).await;
    let caller = format!("caller-{}", rng.random_range(0..3));
    let issuer = rng.random_range(0..HOSTS);
    let ticket = rng
        .random_bool(0.2)
        .then(|| world.process(issuer))
        .flatten();
    let key = match ticket {
        Some(process) => process.ticket(&caller).to_string(),
        None => sim::uuid(world.true_ms(), rng.random()),
    };
    let mut calls = Vec::new();
    for _ in 0..rng.random_range(1..7) {
        let order = Submit {
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
        calls.push(tokio::spawn(attempt(
            world.clone(),
            host,
            order,
            attempts.clone(),
        )));
        let gap = if rng.random_bool(0.3) { 50 } else { 9_000 };
        sleep(Duration::from_millis(rng.random_range(0..gap))).await;
    }
}

async fn attempt(
    world: World,
    host: usize,
    order: Submit,
    attempts: std::sync::Arc<std::sync::Mutex<Attempts>>,
) {
    let number = order.trace.expect("an attempt has a trace").trace;
    let (caller, key) = (order.caller.to_string(), order.key.to_string());
    let place = (caller.clone(), key.clone());
    let before = (caller.clone(), key.clone(), None);
    attempts.lock().unwrap().insert(number, before);
    let id = world.id(host);
    let Some(process) = world.process(host) else {
        return;
    };
    world.gate(id).await;
    let outcome = process.submit(order).await;
    world.gate(id).await;
    let runs = |world: &World| world.lock().runs.get(&place).map_or(0, Vec::len);
    if matches!(&outcome, Outcome::NotRun { reason: Reason::Key, remedy } if remedy.contains("too old"))
    {
        let (world, before) = (world.clone(), runs(&world));
        let place = place.clone();
        tokio::spawn(async move {
            sleep(SPAN).await;
            let mut state = world.lock();
            if state.runs.get(&place).map_or(0, Vec::len) > before {
                state
                    .violations
                    .push(format!("key {} ran after it was too old", place.1));
            }
        });
    }
    if let Some(Outcome::NotRun { .. }) = process.outcome(&caller, &key).await
        && runs(&world) > 0
    {
        let violation = format!("key {key} ran, and a look-up says that it was not run");
        world.lock().violations.push(violation);
    }
    attempts
        .lock()
        .unwrap()
        .insert(number, (caller, key, Some(outcome)));
}

/// Counts of outcomes in a run.
#[derive(Default)]
struct Tally {
    attempts: u64,
    runs: u64,
    outcomes: BTreeMap<&'static str, u64>,
    twice: u64,
    false_refusals: u64,
    violations: Vec<String>,
}

impl Tally {
    fn check(world: &World, attempts: &Attempts) -> Self {
        let state = world.lock();
        let mut tally = Self {
            attempts: attempts.len() as u64,
            violations: state.violations.clone(),
            ..Self::default()
        };
        for (key, runs) in &state.runs {
            tally.runs += runs.len() as u64;
            if runs.len() > 1 {
                tally.twice += 1;
                tally
                    .violations
                    .push(format!("{key:?} ran {} times", runs.len()));
            }
        }
        for (number, (caller, key, outcome)) in attempts {
            let Some(outcome) = outcome else { continue };
            *tally.outcomes.entry(outcome.name()).or_default() += 1;
            let runs = state.runs.get(&(caller.clone(), key.clone()));
            let runs = runs.map_or(&[][..], |r| r);
            let own = runs.iter().any(|r| r.attempt == *number);
            let ran = |result: &str| runs.iter().any(|r| r.result == result);
            let (true_outcome, refusal) = match outcome {
                Outcome::Done { result } => (own && ran(result), false),
                Outcome::AlreadyDone {
                    result: Some(result),
                } => (ran(result), false),
                Outcome::AlreadyDone { result: None } => (!runs.is_empty(), false),
                Outcome::NotRun { .. } => (!own, true),
                Outcome::Unknown { .. } => (true, false),
            };
            if !true_outcome {
                tally.false_refusals += u64::from(refusal);
                let violation = format!("attempt {number} of {key} got {outcome:?}, not true");
                tally.violations.push(violation);
            }
        }
        tally
    }

    fn add(&mut self, other: Self) {
        self.attempts += other.attempts;
        self.runs += other.runs;
        self.twice += other.twice;
        self.false_refusals += other.false_refusals;
        self.violations.extend(other.violations);
        for (name, count) in other.outcomes {
            *self.outcomes.entry(name).or_default() += count;
        }
    }
}

/// Runs one seed on a paused clock of its own.
fn run(seed: u64, mutation: Mutation) -> Tally {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        // A process that is paused during a call finds the answer and the expired timer
        // at once, and takes the answer; the longer limit stands for that.
        let settings = Settings {
            call: Duration::from_secs(if seed.is_multiple_of(2) { 1 } else { 90 }),
            ..sim::settings(mutation)
        };
        let world = World::new(seed, settings);
        let attempts = std::sync::Arc::new(std::sync::Mutex::new(Attempts::new()));
        let mut rng = SmallRng::seed_from_u64(seed);
        world.lock().faults = Faults::all(&mut rng);
        tokio::spawn(disturb(world.clone(), rng.random()));
        for _ in 0..KEYS {
            tokio::spawn(caller(world.clone(), rng.random(), attempts.clone()));
        }
        sleep(SPAN).await;
        world.lock().faults = Faults::default();
        // Pauses, delayed messages and late writes have ended when this is over.
        sleep(2 * SPAN).await;
        let attempts = attempts.lock().unwrap();
        let tally = Tally::check(&world, &attempts);
        // Processes hold the world, which holds them.
        world.lock().slots.clear();
        tally
    })
}

/// Guards against double runs and false refusals; the seed is printed with each violation.
#[test]
fn all_faults_at_once() {
    let wanted: u64 = std::env::var("RATTANMAST_ORDER_ATTEMPTS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(4_000);
    let (seeds, attempts) = (AtomicU64::new(0), AtomicU64::new(0));
    let work = || {
        let mut sum = Tally::default();
        while attempts.load(Ordering::Relaxed) < wanted {
            let seed = seeds.fetch_add(1, Ordering::Relaxed);
            let mut tally = run(seed, Mutation::None);
            attempts.fetch_add(tally.attempts, Ordering::Relaxed);
            for violation in &mut tally.violations {
                *violation = format!("seed {seed}: {violation}");
            }
            sum.add(tally);
        }
        sum
    };
    let mut sum = Tally::default();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(work)).collect();
        for thread in threads {
            sum.add(thread.join().unwrap());
        }
    });
    let seeds = seeds.into_inner();
    println!(
        "{seeds} seeds, {} attempts, {} runs, {:?}",
        sum.attempts, sum.runs, sum.outcomes
    );
    println!(
        "{} keys run twice, {} false refusals",
        sum.twice, sum.false_refusals
    );
    assert!(sum.violations.is_empty(), "{:#?}", sum.violations);
    assert!(
        sum.runs * 10 > sum.attempts,
        "too few orders ran for the check to mean much"
    );
}

/// Asserts that a run among the first seeds shows `violation` with `mutation`, and none without.
///
/// A fixed range of seeds instead of one, because any change of the code moves the faults.
fn finds(mutation: Mutation, violation: &str) {
    let shows = |seed: &u64| {
        let violations = run(*seed, mutation).violations;
        violations.iter().any(|v| v.contains(violation))
    };
    let seed = (0..60).find(shows);
    let seed = seed.expect("the checks do not notice that a guard is gone");
    println!("{mutation:?}: seed {seed} shows it");
    let violations = run(seed, Mutation::None).violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
}

/// Guards against a check that passes also when orders are sent without a claim.
#[test]
fn missing_claim_is_noticed() {
    finds(Mutation::Claim, "times");
}

/// Guards against a check that passes also when a batch is not told from another claimer's.
#[test]
fn missing_nonce_is_noticed() {
    finds(Mutation::Nonce, "times");
}

/// Guards against a check that passes also when the age of a claim is not looked at.
#[test]
fn missing_right_is_noticed() {
    finds(Mutation::Right, "after its claim");
}
