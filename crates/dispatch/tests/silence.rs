//! Connections on which the leaf stops answering.

mod common;

use std::time::Duration;

use common::{Bench, is_complete};
use rattanmast_fakes::model;
use rattanmast_model::{outcome::Outcome, rank::Rank};
use tokio::time::{Instant, sleep};

/// Guards against searches that are lost with their connections, and against silent connections
/// that are never replaced.
#[tokio::test(start_paused = true)]
async fn searches_survive_the_silence_of_all_connections() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    bench
        .run_load(&dispatcher, Rank::Routine, 300.0, Duration::from_secs(1))
        .await;
    bench.leaf(0).silence_connections();
    bench.leaf(1).silence_connections();
    let reply = dispatcher
        .subquery(bench.subquery(Rank::Urgent, 2_000))
        .await;
    assert!(is_complete(&reply), "{:?}", reply.misses);
    sleep(Duration::from_secs(1)).await;
    let start = Instant::now();
    let reply = dispatcher
        .subquery(bench.subquery(Rank::Urgent, 2_000))
        .await;
    assert!(is_complete(&reply));
    // A replaced connection answers like any other.
    assert!(start.elapsed() < Duration::from_millis(50));
    assert!(dispatcher.stats().silent_connections > 0);
}

/// Guards against silent connections that stop counting before the leaf has closed them.
#[tokio::test(start_paused = true)]
async fn silent_connections_count_until_a_conservative_time_has_passed() {
    let bench = Bench::new(1, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    bench.leaf(0).silence_connections();
    dispatcher
        .subquery(bench.subquery(Rank::Urgent, 2_000))
        .await;
    sleep(Duration::from_secs(10)).await;
    assert!(dispatcher.stats().open_connections >= dispatcher.stats().silent_connections);
    assert!(bench.leaf(0).counters().most_connections <= 4);
    sleep(Duration::from_secs(30)).await;
    assert!(is_complete(
        &dispatcher.subquery(bench.subquery(Rank::Urgent, 200)).await
    ));
}

/// Guards against connections that are considered silent because the whole leaf is slow.
#[tokio::test(start_paused = true)]
async fn a_slow_leaf_is_not_silent() {
    let bench = Bench::new(1, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    bench
        .run_load(&dispatcher, Rank::Routine, 200.0, Duration::from_secs(1))
        .await;
    let faults = model::Faults {
        factor: 60.0,
        ..Default::default()
    };
    bench.leaf(0).set_faults(faults);
    bench
        .run_load(&dispatcher, Rank::Routine, 20.0, Duration::from_secs(2))
        .await;
    assert_eq!(dispatcher.stats().silent_connections, 0);
}

/// Guards against an order that is retried because its connection went silent.
#[tokio::test(start_paused = true)]
async fn an_order_on_a_silent_connection_is_unknown() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    bench.leaf(0).silence_connections();
    bench.leaf(1).silence_connections();
    let outcome = dispatcher.order(bench.order("a")).await;
    assert!(matches!(outcome, Outcome::Unknown { .. }), "{outcome:?}");
    sleep(Duration::from_mins(1)).await;
    assert!(bench.leaf(0).runs().is_empty() && bench.leaf(1).runs().is_empty());
    assert_eq!(dispatcher.stats().sent, 1);
}
