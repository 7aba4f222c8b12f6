//! Leafs that are leaving: any one source of evidence suffices.

mod common;

use std::time::Duration;

use common::{Bench, is_complete};
use rattanmast_dispatch::Dispatcher;
use rattanmast_fakes::{memory::Connector, model};
use rattanmast_model::{host::State, rank::Rank};
use tokio::time::sleep;

/// Returns the number of searches that leaf 0 begins under load from 3 s after `leave` on.
async fn searches_after(leave: impl Fn(&mut Bench, &Dispatcher<Connector>)) -> u64 {
    let mut bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let second = Duration::from_secs(1);
    bench
        .run_load(&dispatcher, Rank::Routine, 200.0, second)
        .await;
    assert!(bench.leaf(0).counters().searches > 0);
    leave(&mut bench, &dispatcher);
    bench
        .run_load(&dispatcher, Rank::Routine, 200.0, 3 * second)
        .await;
    let before = bench.leaf(0).counters().searches;
    let replies = bench
        .run_load(&dispatcher, Rank::Routine, 200.0, 5 * second)
        .await;
    assert!(replies.iter().all(|(r, _)| is_complete(r)));
    bench.leaf(0).counters().searches - before
}

/// Guards against work for a leaf that the platform lists as leaving.
#[tokio::test(start_paused = true)]
async fn the_platforms_list_suffices() {
    let begun = searches_after(|bench, dispatcher| {
        bench.data.leafs.leafs[0].state = State::Leaving;
        bench.apply(dispatcher);
    });
    assert_eq!(begun.await, 0);
}

/// Guards against work for a leaf that peers report as leaving.
#[tokio::test(start_paused = true)]
async fn peers_word_suffices() {
    let begun = searches_after(|bench, dispatcher| dispatcher.record_leaving(&[bench.name(0)]));
    assert_eq!(begun.await, 0);
}

/// Guards against work for a leaf that reports in its replies that it is leaving.
#[tokio::test(start_paused = true)]
async fn the_leafs_own_word_suffices() {
    let begun = searches_after(|bench, _| bench.leaf(0).set_draining(true));
    assert_eq!(begun.await, 0);
}

/// Guards against reports that circulate among peers for ever, and against reports of the leaf
/// itself that are not passed on.
#[tokio::test(start_paused = true)]
async fn only_own_evidence_is_passed_on() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    dispatcher.record_leaving(&[bench.name(0)]);
    assert!(dispatcher.self_reported_leaving().is_empty());
    bench.leaf(1).set_draining(true);
    dispatcher
        .subquery(bench.subquery(Rank::Routine, 200))
        .await;
    assert_eq!(dispatcher.self_reported_leaving(), [bench.name(1)]);
    assert_eq!(dispatcher.report().leaving, [bench.name(1)]);
}

/// Guards against a leaf that gets no work after it left and returned.
#[tokio::test(start_paused = true)]
async fn a_leaf_that_comes_back_gets_work() {
    let mut bench = Bench::new(1, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    bench.leaf(0).set_draining(true);
    dispatcher
        .subquery(bench.subquery(Rank::Routine, 200))
        .await;
    bench.data.leafs.leafs[0].state = State::Leaving;
    bench.apply(&dispatcher);
    bench.leaf(0).restart();
    bench.data.leafs.leafs[0].state = State::Live;
    bench.apply(&dispatcher);
    sleep(Duration::from_secs(3)).await;
    let reply = dispatcher
        .subquery(bench.subquery(Rank::Routine, 200))
        .await;
    assert!(is_complete(&reply), "{:?}", reply.misses);
}
