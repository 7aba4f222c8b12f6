//! Orders: they run at most once, and are never reported as not run if they may have run.

mod common;

use std::{sync::atomic::Ordering, time::Duration};

use common::{Bench, stub::Connector};
use rattanmast_fakes::model;
use rattanmast_model::{
    host::Incarnation,
    leaf,
    outcome::{Outcome, Reason},
    rank::Rank,
};
use smol_str::SmolStr;
use tokio::{task::JoinSet, time::sleep};

/// Returns how many times the order with `key` ran.
fn runs(bench: &Bench, key: &str) -> u64 {
    let leafs = bench.fleet.leafs();
    leafs
        .iter()
        .filter_map(|l| l.runs().get(key).copied())
        .sum()
}

fn reason(outcome: &Outcome) -> Option<Reason> {
    match outcome {
        Outcome::NotRun { reason, .. } => Some(*reason),
        _ => None,
    }
}

/// Guards against a message that is accepted twice, and against a duplicate that is reported as not
/// run although the original ran.
#[tokio::test(start_paused = true)]
async fn a_message_is_accepted_once() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let message = bench.order("a");
    let outcome = dispatcher.order(message.clone()).await;
    assert!(matches!(outcome, Outcome::Done { .. }), "{outcome:?}");
    let outcome = dispatcher.order(message).await;
    assert!(matches!(outcome, Outcome::Unknown { .. }), "{outcome:?}");
    assert_eq!(runs(&bench, "a"), 1);
}

/// Guards against orders that are sent although they are addressed to an earlier incarnation, have
/// expired, or reach a host that must not serve.
#[tokio::test(start_paused = true)]
async fn what_may_not_be_sent_is_not_run() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let mut message = bench.order("run");
    message.target = Incarnation(6);
    let outcome = dispatcher.order(message).await;
    assert_eq!(reason(&outcome), Some(Reason::Unreachable));
    let mut message = bench.order("late");
    message.not_after_ms = bench.settings.wall.now_ms() - 1;
    assert_eq!(reason(&dispatcher.order(message).await), Some(Reason::Late));
    dispatcher.set_serving(false);
    let outcome = dispatcher.order(bench.order("stale")).await;
    assert_eq!(reason(&outcome), Some(Reason::Stale));
    assert_eq!(dispatcher.stats().sent, 0);
}

/// Guards against the send of an order that expired while it was queued.
#[tokio::test(start_paused = true)]
async fn the_right_to_send_is_checked_after_the_wait() {
    let bench = Bench::new(1, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let factor = 100.0;
    bench.leaf(0).set_faults(model::Faults {
        factor,
        ..Default::default()
    });
    for _ in 0..4 {
        let (d, m) = (dispatcher.clone(), bench.subquery(Rank::Urgent, 5_000));
        tokio::spawn(async move { d.subquery(m).await });
    }
    sleep(Duration::from_millis(10)).await;
    let mut message = bench.order("a");
    message.not_after_ms = bench.settings.wall.now_ms() + 100;
    assert_eq!(reason(&dispatcher.order(message).await), Some(Reason::Late));
    sleep(Duration::from_secs(5)).await;
    assert_eq!(runs(&bench, "a"), 0);
}

/// Guards against the send of an order that expired while the process was paused.
#[tokio::test(start_paused = true)]
async fn an_order_is_not_sent_after_a_pause() {
    let bench = Bench::new(1, model::Settings::default(), 1);
    let connector = Connector::new(Duration::from_millis(50), |_| {
        let why = SmolStr::new_static("not asked");
        Err(leaf::Error::Failed { why })
    });
    let dispatcher = connector.dispatcher(&bench).await;
    for _ in 0..3 {
        let (d, m) = (dispatcher.clone(), bench.subquery(Rank::Urgent, 5_000));
        tokio::spawn(async move { d.subquery(m).await });
    }
    sleep(Duration::from_millis(10)).await;
    let (d, mut message) = (dispatcher.clone(), bench.order("a"));
    message.not_after_ms = bench.settings.wall.now_ms() + 100;
    let order = tokio::spawn(async move { d.order(message).await });
    sleep(Duration::from_millis(10)).await;
    // A process that resumes after a pause sees the replies and the expiry at the same time.
    tokio::time::advance(Duration::from_secs(1)).await;
    let outcome = order.await.expect("the task does not panic");
    assert_eq!(reason(&outcome), Some(Reason::Late));
    assert_eq!(connector.orders.load(Ordering::Relaxed), 0);
}

/// Guards against an order that is interrupted or retried when its caller gives up.
#[tokio::test(start_paused = true)]
async fn an_order_that_was_sent_runs_to_its_end() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let factor = 200.0;
    for leaf in [0, 1] {
        bench.leaf(leaf).set_faults(model::Faults {
            factor,
            ..Default::default()
        });
    }
    let (d, m) = (dispatcher.clone(), bench.order("a"));
    let task = tokio::spawn(async move { d.order(m).await });
    sleep(Duration::from_millis(10)).await;
    task.abort();
    dispatcher.drain().await;
    assert_eq!(runs(&bench, "a"), 1);
    assert_eq!(dispatcher.stats().sent, 1);
    assert_eq!(dispatcher.stats().in_flight, 0);
}

/// Guards against orders that run twice, or are reported as not run although they ran, while leafs
/// lose replies, restart and hang.
#[tokio::test(start_paused = true)]
async fn orders_run_at_most_once_under_faults() {
    for seed in 0..8 {
        let bench = Bench::new(2, model::Settings::default(), seed);
        let dispatcher = bench.dispatcher(0).await;
        let mut orders = JoinSet::new();
        for i in 0_u64..400 {
            let leaf = bench.leaf(usize::from(i % 3 == 0));
            match (i + seed) % 40 {
                5 => leaf.silence_connections(),
                15 => leaf.restart(),
                20 => leaf.set_faults(model::Faults {
                    lose_reply: 0.3,
                    misdirect: 0.2,
                    slow_share: 0.3,
                    ..Default::default()
                }),
                30 => leaf.set_faults(model::Faults::default()),
                35 => dispatcher.set_serving(i % 2 == 0),
                37 => dispatcher.set_serving(true),
                _ => {}
            }
            let (d, m) = (dispatcher.clone(), bench.order(&format!("k{i}")));
            orders.spawn(async move { (m.key.clone(), d.order(m).await) });
            sleep(Duration::from_millis(5)).await;
        }
        for (key, outcome) in orders.join_all().await {
            let runs = runs(&bench, &key);
            match outcome {
                Outcome::Done { .. } => assert_eq!(runs, 1, "seed {seed} key {key}"),
                Outcome::NotRun { .. } => assert_eq!(runs, 0, "seed {seed} key {key}"),
                _ => assert!(runs <= 1, "seed {seed} key {key} ran {runs} times"),
            }
        }
    }
}

/// Guards against orders with an unknown outcome in the absence of faults.
#[tokio::test(start_paused = true)]
async fn without_faults_every_order_is_done() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    for i in 0..300 {
        let outcome = dispatcher.order(bench.order(&format!("k{i}"))).await;
        assert!(matches!(outcome, Outcome::Done { .. }), "{outcome:?}");
    }
}
