//! Concurrency and replica choice follow what leafs show.

mod common;

use std::time::Duration;

use bolero::TypeGenerator;
use common::{Bench, each_case, is_complete};
use rattanmast_dispatch::limit::{Bounds, Gradient, Limit as _};
use rattanmast_fakes::model;
use rattanmast_model::{peer::Cause, rank::Rank};
use tokio::time::{Instant, sleep};

const BOUNDS: Bounds = Bounds {
    slots: 2,
    share: 4,
    first: true,
};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against candidates whose initial limit is too high.
#[test]
fn the_first_candidate_starts_at_the_slots_and_others_at_one() {
    assert_eq!(Gradient::new(BOUNDS).allowed(), 2);
    let standby = Bounds {
        first: false,
        ..BOUNDS
    };
    assert_eq!(Gradient::new(standby).allowed(), 1);
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    Reply(u32, u8),
    Shed(u8),
    Failed(u8),
    Cold,
    Resize(u8, u8, bool),
}

/// Guards against a limit above the share, and against a limit of zero, which could not recover.
#[test]
fn the_limit_stays_between_one_and_the_share() {
    each_case(1_000, |events: Vec<Event>| {
        let (mut limit, mut bounds, mut now) = (Gradient::new(BOUNDS), BOUNDS, Instant::now());
        for event in events {
            match event {
                Event::Reply(us, in_flight) => {
                    limit.record_reply(Duration::from_micros(us.into()), in_flight.into());
                }
                Event::Shed(ms) => {
                    now += Duration::from_millis(ms.into());
                    limit.record_shed(now);
                }
                Event::Failed(ms) => {
                    now += Duration::from_millis(ms.into());
                    limit.record_failure(now);
                }
                Event::Cold => limit.reset(),
                Event::Resize(slots, share, first) => {
                    let share = u32::from(share % 32) + 1;
                    let slots = u32::from(slots % 8) + 1;
                    bounds = Bounds {
                        slots,
                        share,
                        first,
                    };
                    limit.set_bounds(bounds);
                }
            }
            assert!((1..=bounds.share).contains(&limit.allowed()));
        }
    });
}

/// Guards against a limit that sheds and congestion do not lower, or that does not recover.
#[test]
fn sheds_and_congestion_lower_the_limit() {
    let now = Instant::now();
    let calm = Duration::from_millis(5);
    let mut limit = Gradient::new(BOUNDS);
    (0..100).for_each(|_| limit.record_reply(calm, limit.allowed()));
    assert_eq!(limit.allowed(), BOUNDS.share);
    limit.record_shed(now);
    assert!(limit.allowed() < BOUNDS.share);
    (0..100).for_each(|_| limit.record_reply(calm, limit.allowed()));
    (0..100).for_each(|_| limit.record_reply(4 * calm, 4));
    assert!(limit.allowed() < BOUNDS.slots);
    (0..100).for_each(|_| limit.record_reply(calm, limit.allowed()));
    assert!(limit.allowed() >= BOUNDS.slots);
}

/// Guards against a leaf that looks attractive because it fails fast.
#[tokio::test(start_paused = true)]
async fn a_leaf_that_fails_fast_attracts_no_work() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let searches = async || {
        let before = bench.leaf(0).counters().searches;
        let replies = bench
            .run_load(&dispatcher, Rank::Routine, 300.0, 10 * SECOND)
            .await;
        let failed = replies.iter().filter(|(r, _)| !is_complete(r)).count();
        assert!(
            failed * 100 <= replies.len(),
            "{failed} of {}",
            replies.len()
        );
        bench.leaf(0).counters().searches - before
    };
    let fair = searches().await;
    let faults = model::Faults {
        fail_fast: true,
        ..Default::default()
    };
    bench.leaf(0).set_faults(faults);
    searches().await;
    assert!(dispatcher.stats().errors * 100 <= 3_000);
    bench.leaf(0).set_faults(model::Faults::default());
    sleep(3 * SECOND).await;
    let back = searches().await;
    assert!(back * 2 > fair, "{back} of {fair}");
}

/// Guards against a slow leaf that keeps its share of the work, and against a recovered leaf that
/// does not get it back.
#[tokio::test(start_paused = true)]
async fn a_slow_leaf_gets_less_until_it_is_fast_again() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let searches = async || {
        let before = bench.leaf(0).counters().searches;
        bench
            .run_load(&dispatcher, Rank::Routine, 300.0, 5 * SECOND)
            .await;
        bench.leaf(0).counters().searches - before
    };
    let fair = searches().await;
    let factor = 10.0;
    let faults = model::Faults {
        factor,
        ..Default::default()
    };
    bench.leaf(0).set_faults(faults);
    let slow = searches().await;
    assert!(slow * 2 < fair, "{slow} of {fair}");
    bench.leaf(0).set_faults(model::Faults::default());
    searches().await;
    let fast = searches().await;
    assert!(fast * 2 > fair, "{fast} of {fair}");
}

/// Guards against a limit that ignores sheds. The leafs here take 2 requests and shed all others.
#[tokio::test(start_paused = true)]
async fn a_leaf_that_sheds_gets_less() {
    let behavior = model::Settings {
        max_queued_per_slot: 0,
        ..Default::default()
    };
    let bench = Bench::new(2, behavior, 1);
    let dispatcher = bench.dispatcher(0).await;
    let replies = bench
        .run_load(&dispatcher, Rank::Routine, 2_000.0, 5 * SECOND)
        .await;
    let (stats, good) = (
        dispatcher.stats(),
        replies.iter().filter(|(r, _)| is_complete(r)),
    );
    assert!(
        stats.sheds * 4 < stats.sent,
        "{} of {}",
        stats.sheds,
        stats.sent
    );
    assert!(good.count() > 2_000);
}

/// Guards against searches that fail because one replica is lost.
#[tokio::test(start_paused = true)]
async fn a_lost_replica_costs_no_coverage() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    bench
        .run_load(&dispatcher, Rank::Routine, 200.0, 2 * SECOND)
        .await;
    let load = bench.run_load(&dispatcher, Rank::Routine, 200.0, 10 * SECOND);
    let stop = async {
        sleep(SECOND).await;
        bench.leaf(0).stop();
    };
    let (replies, ()) = tokio::join!(load, stop);
    let failed = replies.iter().filter(|(r, _)| !is_complete(r)).count();
    assert!(
        failed * 1_000 <= replies.len(),
        "{failed} of {}",
        replies.len()
    );
}

/// Guards against searches that wait for their deadline while no leaf is reachable, and against a
/// leaf that is not used after its restart.
#[tokio::test(start_paused = true)]
async fn without_leafs_searches_are_told_at_once() {
    let bench = Bench::new(1, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    bench.leaf(0).stop();
    bench
        .run_load(&dispatcher, Rank::Routine, 100.0, SECOND)
        .await;
    let start = Instant::now();
    let reply = dispatcher
        .subquery(bench.subquery(Rank::Routine, 1_000))
        .await;
    assert_eq!(reply.misses[0].cause, Cause::Unreachable);
    assert!(
        start.elapsed() < Duration::from_millis(100),
        "{:?}",
        start.elapsed()
    );
    bench.leaf(0).restart();
    sleep(3 * SECOND).await;
    let reply = dispatcher
        .subquery(bench.subquery(Rank::Routine, 200))
        .await;
    assert!(is_complete(&reply), "{:?}", reply.misses);
}

/// Guards against a restarted leaf that gets full load while it is cold.
#[tokio::test(start_paused = true)]
async fn a_cold_leaf_is_ramped_up() {
    let mut limit = Gradient::new(BOUNDS);
    limit.reset();
    assert_eq!(limit.allowed(), 1);
    let replies = (1..).take_while(|_| {
        limit.record_reply(Duration::from_millis(5), limit.allowed());
        limit.allowed() < BOUNDS.slots
    });
    assert!(replies.count() >= 7);
}
