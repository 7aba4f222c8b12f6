//! Admission, the retry budget, limits and the baselines.

mod common;

use std::time::Duration;

use common::{BLADES, Mode, World, check, query, service};
use rattanmast_gather::{
    Settings,
    admit::{Admission as _, Open, Waits},
    policy::Bundle,
    retry::{Budget as _, Share, Unlimited},
    route::{Candidates, Itself},
};
use rattanmast_model::{
    config::Priority,
    host,
    outcome::{Outcome, Reason},
    peer::Report,
    rank::Rank,
};
use tokio::time::{Instant, sleep, timeout};

const MS: Duration = Duration::from_millis(1);

fn report(admission: &Waits, index: u16, waits_ms: [u32; 3]) {
    let waits = vec![(service(index), waits_ms.map(|ms| ms * 1_000))];
    admission.report(
        &"h".into(),
        &Report {
            waits,
            leaving: Vec::new(),
        },
    );
}

fn admit(admission: &Waits, rank: Rank) -> bool {
    let (host, services) = (host::Name::new("h"), [service(0), service(1)]);
    admission.admit(rank, 100 * MS, services.iter().map(|s| (&host, s)))
}

/// Guards against admission by an average instead of the longest wait over all services, and
/// against one rank's flood that closes the door for another.
#[tokio::test(start_paused = true)]
async fn the_longest_wait_of_the_rank_decides() {
    let admission = Waits::new(&Settings::default(), 1);
    report(&admission, 0, [0, 0, 0]);
    report(&admission, 1, [500, 10, 500]);
    for rank in [Rank::Urgent, Rank::Intake] {
        assert!(admit(&admission, rank), "the first is a probe");
        assert!(!admit(&admission, rank));
    }
    assert!((0..100).all(|_| admit(&admission, Rank::Routine)));
}

/// Guards against an estimate that stays high for ever because nothing is admitted, and against
/// a trickle of probes that becomes a stream.
#[tokio::test(start_paused = true)]
async fn probes_trickle_and_the_estimate_recovers() {
    let (soft_wait, hard_wait) = (0.5, 0.8);
    let settings = Settings {
        soft_wait,
        hard_wait,
        ..Settings::default()
    };
    let admission = Waits::new(&settings, 1);
    report(&admission, 0, [0, 0, 900]);
    let mut admitted = Vec::new();
    for ms in 0..900 {
        if admit(&admission, Rank::Intake) {
            admitted.push(ms);
        }
        sleep(MS).await;
    }
    let early = admitted.iter().filter(|ms| **ms < 800).count();
    assert_eq!(early, 8, "one probe in each 100 ms");
    let late = admitted.iter().filter(|ms| **ms >= 850).count();
    assert_eq!(late, 50, "the queue has emptied");
    assert!(admitted.len() - early - late < 50, "between them, a ramp");
}

/// Guards against retries that multiply the load of a failure.
#[test]
fn retries_are_a_share_of_successes() {
    let budget = Share::new(0.1, 5.0);
    let taken = || (0..100).filter(|_| budget.take()).count();
    assert_eq!(taken(), 5);
    (0..30).for_each(|_| budget.success());
    assert_eq!(taken(), 3);
    (0..1_000).for_each(|_| budget.success());
    assert_eq!(taken(), 5);
    assert!((0..100).all(|_| Unlimited.take()));
}

/// Guards against retries beyond the budget in whole queries; the baseline shows the difference.
#[tokio::test(start_paused = true)]
async fn an_empty_budget_stops_retries() {
    let (admission, router, settings) = (Open, Candidates, Settings::default());
    let ask = || query(Rank::Urgent, 200, 0.5, Priority::Coverage);
    let budget = Share::new(0.0, 0.0);
    let strict = World::with(
        1,
        settings.clone(),
        Bundle {
            admission,
            budget,
            router,
        },
    );
    strict.net.mode(&strict.dispatcher(0), Mode::Broken);
    let answer = strict.root.query(ask()).await.expect("the rest is found");
    let stats = strict.root.stats();
    assert_eq!(
        (answer.missing.len(), stats.retries, stats.unaffordable),
        (2, 0, 1)
    );
    strict.net.mode(&strict.dispatcher(0), Mode::Dead);
    let answer = strict
        .root
        .query(ask())
        .await
        .expect("no byte left, so it costs no budget");
    assert_eq!(answer.missing.len(), 0);
    let budget = Unlimited;
    let plain = World::with(
        1,
        settings,
        Bundle {
            admission,
            budget,
            router,
        },
    );
    plain.net.mode(&plain.dispatcher(0), Mode::Broken);
    let answer = plain
        .root
        .query(ask())
        .await
        .expect("the next candidate serves");
    assert_eq!((answer.missing.len(), plain.root.stats().retries), (0, 1));
}

/// Guards against a refusal for overload that is asked again.
#[tokio::test(start_paused = true)]
async fn overload_is_not_retried() {
    let world = World::new(1);
    world.net.mode(&world.dispatcher(0), Mode::Refuse);
    let result = world
        .root
        .query(query(Rank::Urgent, 200, 0.5, Priority::Coverage))
        .await;
    assert_eq!(result.expect("the rest is found").missing.len(), 2);
    let stats = world.root.stats();
    assert_eq!(
        (stats.retries, stats.subqueries),
        (0, world.net.lock().calls)
    );
}

/// Guards against unbounded work at the root: queries beyond the limit hear at once, by rank.
/// Guards against a drain that cuts off what is in flight, or that takes new work.
#[tokio::test(start_paused = true)]
async fn queries_in_flight_are_bounded_and_drained() {
    let world = World::standard(
        1,
        Settings {
            in_flight: [2, 1, 1],
            ..Settings::default()
        },
    );
    let ask = |rank| world.root.query(query(rank, 200, 1.0, Priority::Time));
    let drained = async {
        sleep(MS).await;
        world.root.drain().await;
        world.net.lock().calls
    };
    let (first, second, urgent, calls) = futures::join!(
        ask(Rank::Routine),
        ask(Rank::Routine),
        ask(Rank::Urgent),
        drained
    );
    assert!(first.is_ok() && urgent.is_ok());
    let reason = |result| match result {
        Err(Outcome::NotRun { reason, .. }) => reason,
        other => panic!("{other:?}"),
    };
    assert_eq!(reason(second), Reason::Overload);
    assert_eq!(reason(ask(Rank::Urgent).await), Reason::Stopping);
    assert_eq!(
        world.net.lock().calls,
        calls,
        "nothing is sent after the drain"
    );
}

/// Guards against pinning a snapshot that only leaving leafs hold, whoever says that they leave,
/// and against a leaf that stays excluded for ever after it said so once.
#[tokio::test(start_paused = true)]
async fn the_newest_snapshot_on_staying_leafs_is_pinned() {
    let mut world = World::new(1);
    world.data.publish(BLADES);
    world.fleet.load(&world.data);
    let leaf = world.data.leafs.leafs[0].name.clone();
    world.data.catalogs[0].versions[1].parts[0].leafs = vec![leaf.clone()];
    world.apply();
    let pinned = async |world: &World| {
        let result = world
            .root
            .query(query(Rank::Urgent, 500, 1.0, Priority::Time))
            .await;
        result.expect("both snapshots are held").snapshot.0
    };
    assert_eq!(pinned(&world).await, 2);
    let report = Report {
        waits: Vec::new(),
        leaving: vec![leaf.clone()],
    };
    world.root.report(&world.dispatcher(0), report);
    assert_eq!(
        (pinned(&world).await, world.root.leaving()),
        (1, vec![leaf])
    );
    sleep(30_000 * MS).await;
    world.apply();
    assert_eq!((pinned(&world).await, world.root.leaving()), (2, vec![]));
    world.data.leafs.leafs[0].state = host::State::Leaving;
    world.apply();
    assert_eq!(pinned(&world).await, 1);
}

/// Guards against rows beyond the limit of memory, and against asking for them again.
#[tokio::test(start_paused = true)]
async fn rows_are_bounded() {
    let world = World::standard(
        1,
        Settings {
            rows: 400,
            ..Settings::default()
        },
    );
    let result = world
        .root
        .query(query(Rank::Urgent, 200, 0.1, Priority::Coverage))
        .await;
    let answer = result.expect("some rows fit");
    check(&answer);
    assert!(answer.rows.len() <= 400 && !answer.missing.is_empty());
    assert_eq!(world.root.stats().retries, 0);
}

/// Guards against sub-queries that go on after the caller has gone.
#[tokio::test(start_paused = true)]
async fn dropping_a_query_cancels_it() {
    let world = World::new(1);
    let ask = world
        .root
        .query(query(Rank::Urgent, 2_000, 1.0, Priority::Time));
    assert!(
        timeout(6 * MS, ask).await.is_err(),
        "the query needs longer"
    );
    assert!(world.net.lock().calls > 0);
    assert_eq!(
        std::sync::Arc::strong_count(&world.net.lock().open),
        1,
        "no call is open"
    );
    world.root.drain().await;
}

/// Guards against deadlines that grow on the way, against answers after the deadline, and against
/// dispatchers in another region that are given more time than their reply can use.
#[tokio::test(start_paused = true)]
async fn deadlines_shrink_and_hold() {
    let world = World::new(1);
    let ask = |ms| {
        world
            .root
            .query(query(Rank::Urgent, ms, 0.1, Priority::Coverage))
    };
    world.net.mode(&world.dispatcher(0), Mode::Silent);
    let start = Instant::now();
    assert!(ask(60).await.is_ok() && start.elapsed() <= 60 * MS);
    assert!(
        world.net.lock().longest_budget <= 56,
        "a hop's margin is kept back"
    );
    for host in &world.config.hosts {
        world.net.mode(&host.name, Mode::Slow(24));
    }
    for _ in 0..20 {
        ask(200).await.expect("there is time");
    }
    world.net.lock().longest_budget = 0;
    ask(200).await.expect("there is time");
    let longest = world.net.lock().longest_budget;
    assert!(
        (150..180).contains(&longest),
        "{longest} ms of 200 with 25 ms on the way"
    );
}

/// Guards against a baseline router that uses other dispatchers.
#[tokio::test(start_paused = true)]
async fn the_baseline_dispatches_everything_itself() {
    let (admission, budget) = (Open, Unlimited);
    let router = Itself("norway-1".into());
    let world = World::with(
        1,
        Settings::default(),
        Bundle {
            admission,
            budget,
            router,
        },
    );
    let result = world
        .root
        .query(query(Rank::Urgent, 200, 0.0, Priority::Time))
        .await;
    let hops = result.map(|answer| answer.hops).unwrap_or_default();
    assert!(hops.iter().all(|hop| hop.host == "norway-1"));
    assert_eq!(world.net.lock().calls, 1, "one message, to itself");
}
