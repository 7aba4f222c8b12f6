//! Connection pools: the number of connections, and when they are opened and closed.

mod common;

use std::{sync::Arc, time::Duration};

use common::{Bench, each_paused_case, is_complete};
use rattanmast_dispatch::Dispatcher;
use rattanmast_fakes::{memory::Connector, model};
use rattanmast_model::{host::State, peer::Cause, rank::Rank, roster};
use tokio::time::sleep;

const SHARE: u32 = 4;

/// Guards against first searches that have to wait for a connection.
#[tokio::test(start_paused = true)]
async fn connections_are_open_before_the_first_search() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let opened = dispatcher.stats().opened;
    assert!(bench.leaf(0).connections() > 0 && bench.leaf(1).connections() > 0);
    assert!(is_complete(
        &dispatcher.subquery(bench.subquery(Rank::Urgent, 200)).await
    ));
    assert_eq!(dispatcher.stats().opened, opened);
}

/// Guards against standby candidates that hold unused connections.
#[tokio::test(start_paused = true)]
async fn standby_candidates_open_connections_on_demand() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(1).await;
    assert_eq!(dispatcher.stats().open_connections, 0);
    assert!(is_complete(
        &dispatcher.subquery(bench.subquery(Rank::Urgent, 200)).await
    ));
}

/// Guards against open connections of a host that is no longer a candidate.
#[tokio::test(start_paused = true)]
async fn a_host_that_is_no_candidate_closes_its_connections() {
    let mut bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    // One request is still in flight, and the leaf is slow.
    for leaf in [0, 1] {
        let faults = model::Faults {
            factor: 2_500.0,
            ..Default::default()
        };
        bench.leaf(leaf).set_faults(faults);
    }
    let (slow, message) = (dispatcher.clone(), bench.subquery(Rank::Urgent, 30_000));
    tokio::spawn(async move { slow.subquery(message).await });
    sleep(Duration::from_millis(20)).await;
    let mut config = (*bench.config).clone();
    config.hosts.retain(|h| h.name != bench.candidates[0].name);
    bench.config = Arc::new(config);
    bench.apply(&dispatcher);
    let reply = dispatcher.subquery(bench.subquery(Rank::Urgent, 200)).await;
    assert_eq!(reply.misses[0].cause, Cause::Elsewhere);
    assert!(!reply.begun);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(
        (bench.leaf(0).connections(), bench.leaf(1).connections()),
        (0, 0)
    );
}

/// Guards against work by a host whose configuration may be out of date.
#[tokio::test(start_paused = true)]
async fn a_host_without_proof_sends_nothing_and_closes_its_connections() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    dispatcher.set_serving(false);
    let reply = dispatcher.subquery(bench.subquery(Rank::Urgent, 200)).await;
    assert_eq!((reply.sent, reply.begun), (0, false));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(bench.leaf(0).connections(), 0);
    dispatcher.set_serving(true);
    assert!(is_complete(
        &dispatcher.subquery(bench.subquery(Rank::Urgent, 200)).await
    ));
}

#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Step {
    Burst(u8),
    Silence(bool),
    Slow(bool, bool),
    Lossy(bool, bool),
    Restart(bool),
    Host(bool),
    Leaving(bool, bool),
    Serve(bool),
    Wait(u8),
    Orders(u8),
}

/// Runs `steps` against one dispatcher; the leafs record their maximum number of connections.
async fn run(steps: &[Step]) -> Bench {
    let mut bench = Bench::new(2, model::Settings::default(), 3);
    let dispatcher: Dispatcher<Connector> = bench.dispatcher(0).await;
    for step in steps {
        match *step {
            Step::Burst(count) => {
                for _ in 0..count / 4 {
                    let (d, m) = (dispatcher.clone(), bench.subquery(Rank::Routine, 300));
                    tokio::spawn(async move { d.subquery(m).await });
                }
            }
            Step::Orders(count) => {
                for i in 0..count / 16 {
                    let (d, m) = (dispatcher.clone(), bench.order(&format!("k{i}")));
                    tokio::spawn(async move { d.order(m).await });
                }
            }
            Step::Silence(leaf) => bench.leaf(leaf.into()).silence_connections(),
            Step::Slow(leaf, on) => {
                let factor = if on { 100.0 } else { 1.0 };
                let faults = model::Faults {
                    factor,
                    ..Default::default()
                };
                bench.leaf(leaf.into()).set_faults(faults);
            }
            Step::Lossy(leaf, on) => {
                let lose_reply = if on { 0.3 } else { 0.0 };
                let faults = model::Faults {
                    lose_reply,
                    ..Default::default()
                };
                bench.leaf(leaf.into()).set_faults(faults);
            }
            Step::Restart(leaf) => bench.leaf(leaf.into()).restart(),
            Step::Host(back) => {
                let mut config = (*bench.config).clone();
                config.hosts.retain(|h| h.name != bench.candidates[0].name);
                if back {
                    config.hosts.push(bench.candidates[0].clone());
                }
                bench.config = Arc::new(config);
                bench.apply(&dispatcher);
            }
            Step::Leaving(leaf, leaving) => {
                let state = if leaving { State::Leaving } else { State::Live };
                bench.data.leafs.leafs[usize::from(leaf)].state = state;
                bench.apply(&dispatcher);
            }
            Step::Serve(allowed) => dispatcher.set_serving(allowed),
            Step::Wait(ms) => sleep(Duration::from_millis(u64::from(ms) * 4)).await,
        }
        sleep(Duration::from_millis(3)).await;
    }
    sleep(Duration::from_secs(1)).await;
    bench
}

/// Guards against sequences of faults and configuration changes that exceed the share.
#[test]
fn the_share_is_never_exceeded() {
    assert_eq!(roster::connections_per_candidate(9, 25), SHARE);
    each_paused_case(150, async |steps: Vec<Step>| {
        let bench = run(&steps).await;
        for leaf in [0, 1] {
            let most = bench.leaf(leaf).counters().most_connections;
            assert!(most <= SHARE, "leaf {leaf} saw {most} connections");
        }
    });
}
