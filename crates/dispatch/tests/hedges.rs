//! Hedges: after a slow first attempt, within a budget, and not under overload.

mod common;

use std::time::Duration;

use bolero::TypeGenerator;
use common::{Bench, each_case, each_paused_case, is_complete};
use rattanmast_dispatch::{
    Dispatcher,
    hedge::{Budget, Budgeted, Hedge as _},
    policy::{Adaptive, Baseline, Policy},
};
use rattanmast_fakes::{memory::Connector, model};
use rattanmast_model::rank::Rank;

const LOAD_DURATION: Duration = Duration::from_secs(20);

/// Parts of a query: the registry of the Norwegian installation has 20 services.
const PARTS: usize = 20;

/// Returns the 99th percentile of urgent queries at 63% load, with a share of stragglers.
///
/// Each [`PARTS`] consecutive sub-queries form a query, which takes as long as the slowest of them.
async fn p99<P: Policy>(slow_share: f64, seed: u64) -> (Duration, Dispatcher<Connector, P>) {
    let bench = Bench::new(2, model::Settings::default(), seed);
    for leaf in [0, 1] {
        let faults = model::Faults {
            slow_share,
            ..Default::default()
        };
        bench.leaf(leaf).set_faults(faults);
    }
    let dispatcher = bench.with_policy(0, seed).await;
    // Warm-up: the dispatcher learns latencies and earns hedges.
    bench
        .run_load(&dispatcher, Rank::Urgent, 600.0, LOAD_DURATION / 5)
        .await;
    let mut replies = bench
        .run_load(&dispatcher, Rank::Urgent, 600.0, LOAD_DURATION)
        .await;
    assert!(replies.iter().all(|(r, _)| is_complete(r)));
    replies.sort_by_key(|(r, _)| r.id);
    let slowest = |parts: &[(_, Duration)]| parts.iter().map(|(_, t)| *t).max();
    let mut queries: Vec<_> = replies.chunks(PARTS).filter_map(slowest).collect();
    queries.sort_unstable();
    (queries[queries.len() * 99 / 100], dispatcher)
}

/// Guards against stragglers that dominate the tail latency of queries.
#[tokio::test(start_paused = true)]
async fn stragglers_take_at_most_a_third_of_the_baseline() {
    let mut ratios = Vec::new();
    for seed in 0..5 {
        let (baseline, _) = p99::<Baseline>(0.02, seed).await;
        let (hedged, _) = p99::<Adaptive>(0.02, seed).await;
        ratios.push(hedged.as_secs_f64() / baseline.as_secs_f64());
    }
    ratios.sort_by(f64::total_cmp);
    assert!(ratios[2] <= 1.0 / 3.0, "{ratios:?}");
}

/// Guards against stragglers that are not hedged, and against extra load above 5%.
#[tokio::test(start_paused = true)]
async fn stragglers_are_hedged_within_the_budget() {
    for seed in 0..5 {
        let (_, dispatcher) = p99::<Adaptive>(0.02, seed).await;
        let stats = dispatcher.stats();
        assert!(stats.hedges > 0 && stats.hedges * 20 <= stats.sent - stats.hedges);
    }
}

/// Guards against slower attempts that continue at their leaf after the other one has answered.
#[tokio::test(start_paused = true)]
async fn losers_are_cancelled_at_the_leaf() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    bench
        .run_load(&dispatcher, Rank::Urgent, 200.0, Duration::from_secs(2))
        .await;
    let faults = model::Faults {
        factor: 1_000.0,
        ..Default::default()
    };
    bench.leaf(0).set_faults(faults);
    bench
        .run_load(&dispatcher, Rank::Urgent, 200.0, Duration::from_secs(1))
        .await;
    let cancelled = bench.leaf(0).counters().cancelled;
    assert!(cancelled > 0 && dispatcher.stats().hedges > 0);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(dispatcher.stats().in_flight, 0);
}

/// Guards against searches that continue at the leafs after their sub-query was dropped.
#[tokio::test(start_paused = true)]
async fn dropping_a_subquery_cancels_its_work() {
    let bench = Bench::new(1, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let factor = 1_000.0;
    bench.leaf(0).set_faults(model::Faults {
        factor,
        ..Default::default()
    });
    let message = bench.subquery(Rank::Urgent, 5_000);
    let search = dispatcher.subquery(message);
    let given_up = tokio::time::timeout(Duration::from_millis(50), search).await;
    assert!(given_up.is_err());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(bench.leaf(0).counters().cancelled, 1);
    assert_eq!(dispatcher.stats().in_flight, 0);
}

/// Guards against hedges that add load to overloaded leafs.
#[tokio::test(start_paused = true)]
async fn overload_is_not_hedged() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    bench
        .run_load(&dispatcher, Rank::Urgent, 600.0, LOAD_DURATION / 4)
        .await;
    let before = dispatcher.stats();
    bench
        .run_load(&dispatcher, Rank::Urgent, 3_000.0, LOAD_DURATION / 4)
        .await;
    let after = dispatcher.stats();
    let (hedges, sent) = (after.hedges - before.hedges, after.sent - before.sent);
    assert!(hedges * 100 <= sent, "{hedges} hedges of {sent} requests");
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Fault {
    leaf: bool,
    slow: u8,
    lossy: u8,
    fails: bool,
    rate: u8,
}

/// Guards against combinations of load and faults under which the budget is exceeded.
#[test]
fn the_budget_holds_under_all_conditions() {
    each_paused_case(20, async |faults: Vec<Fault>| {
        let bench = Bench::new(2, model::Settings::default(), 1);
        let dispatcher = bench.dispatcher(0).await;
        for fault in faults.iter().take(8) {
            let faults = model::Faults {
                factor: f64::from(fault.slow % 32 + 1),
                lose_reply: f64::from(fault.lossy) / 512.0,
                fail_fast: fault.fails && fault.slow % 2 == 0,
                ..Default::default()
            };
            bench.leaf(fault.leaf.into()).set_faults(faults);
            let (rate, time) = (f64::from(fault.rate) * 4.0, Duration::from_millis(300));
            bench.run_load(&dispatcher, Rank::Urgent, rate, time).await;
            let stats = dispatcher.stats();
            let first = stats.sent - stats.hedges - stats.retries;
            assert!(stats.hedges * 20 <= first, "{stats:?}");
        }
    });
}

/// Guards against sequences of operations in which the budget pays out more than it earned.
#[test]
fn the_budget_pays_out_what_it_earned() {
    each_case(1_000, |uses: Vec<(bool, u8)>| {
        let (mut budget, mut earned, mut spent) = (Budgeted::new(Budget::default()), 0.0, 0.0);
        for (earn, rank) in uses {
            let rank = Rank::ALL[usize::from(rank % 3)];
            match earn {
                true => {
                    budget.earn(rank);
                    earned += Budget::default().share;
                }
                false if budget.spend(rank) => spent += 1.0,
                false => {}
            }
            assert!(spent <= earned + 1e-9);
        }
    });
}

/// Guards against a service with a single rank that cannot use its budget, because a part of it is
/// reserved for ranks that send no requests.
#[test]
fn the_budget_is_left_only_to_work_that_there_is() {
    let budget = Budget {
        share: 0.2,
        burst: 5.0,
        start: 2.5,
    };
    let mut alone = Budgeted::new(budget);
    alone.earn(Rank::Intake);
    assert!(alone.spend(Rank::Intake) && alone.spend(Rank::Intake));
    let mut mixed = Budgeted::new(budget);
    for _ in 0..200 {
        mixed.earn(Rank::Urgent);
        mixed.earn(Rank::Intake);
    }
    let spent = (0..5).filter(|_| mixed.spend(Rank::Intake)).count();
    assert_eq!(spent, 4);
    assert!(mixed.spend(Rank::Urgent));
}
