//! Admission, the retry budget, limits and the baselines.

mod common;

use std::time::Duration;

use common::{COLLECTION, Mode, World, check, query, service};
use rattanmast_gather::{
    Settings,
    admission::{Admission as _, AdmitAll, WaitLimit},
    policy::Bundle,
    retry::{Budget as _, SuccessShare, Unlimited},
    route::{CandidateRouter, SelfRouter},
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

fn report(admission: &WaitLimit, index: u16, waits_ms: [u32; 3]) {
    let waits = vec![(service(index), waits_ms.map(|ms| ms * 1_000))];
    admission.report(
        &"h".into(),
        &Report {
            waits,
            leaving: Vec::new(),
        },
    );
}

fn admit(admission: &WaitLimit, rank: Rank) -> bool {
    let (host, services) = (host::Name::new("h"), [service(0), service(1)]);
    admission.admit(rank, 100 * MS, services.iter().map(|s| (&host, s)))
}

/// Guards against admission by an average instead of the longest wait over all services, and
/// against a flood of one rank that makes admission refuse another.
#[tokio::test(start_paused = true)]
async fn the_longest_wait_of_the_rank_decides() {
    let admission = WaitLimit::new(&Settings::default(), 1);
    report(&admission, 0, [0, 0, 0]);
    report(&admission, 1, [500, 10, 500]);
    for rank in [Rank::Urgent, Rank::Intake] {
        assert!(admit(&admission, rank), "the first is a probe");
        assert!(!admit(&admission, rank));
    }
    assert!((0..100).all(|_| admit(&admission, Rank::Routine)));
}

/// Guards against an estimate that stays high for ever because nothing is admitted, and against
/// probes that exceed their interval.
#[tokio::test(start_paused = true)]
async fn probes_trickle_and_the_estimate_recovers() {
    let (soft_wait_share, hard_wait_share) = (0.5, 0.8);
    let settings = Settings {
        soft_wait_share,
        hard_wait_share,
        ..Settings::default()
    };
    let admission = WaitLimit::new(&settings, 1);
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
    assert!(
        admitted.len() - early - late < 50,
        "a ramp lies between them"
    );
}

/// Guards against retries that multiply the load of a failure.
#[test]
fn retries_are_a_share_of_successes() {
    let budget = SuccessShare::new(0.1, 5.0);
    let spent = || (0..100).filter(|_| budget.try_spend()).count();
    assert_eq!(spent(), 5);
    (0..30).for_each(|_| budget.record_success());
    assert_eq!(spent(), 3);
    (0..1_000).for_each(|_| budget.record_success());
    assert_eq!(spent(), 5);
    assert!((0..100).all(|_| Unlimited.try_spend()));
}

/// Guards against queries that exceed the retry budget, and compares with the unlimited baseline.
#[tokio::test(start_paused = true)]
async fn an_empty_budget_stops_retries() {
    let (admission, router, settings) = (AdmitAll, CandidateRouter, Settings::default());
    let ask = || query(Rank::Urgent, 200, 0.5, Priority::Coverage);
    let budget = SuccessShare::new(0.0, 0.0);
    let limited = World::with(
        1,
        settings.clone(),
        Bundle {
            admission,
            budget,
            router,
        },
    );
    limited.net.mode(&limited.dispatcher(0), Mode::Broken);
    let answer = limited.root.query(ask()).await.expect("the rest is found");
    let stats = limited.root.stats();
    assert_eq!(
        (answer.missing.len(), stats.retries, stats.unaffordable),
        (2, 0, 1)
    );
    limited.net.mode(&limited.dispatcher(0), Mode::Unreachable);
    let answer = limited
        .root
        .query(ask())
        .await
        .expect("nothing was sent, so the retry is not charged");
    assert_eq!(answer.missing.len(), 0);
    let budget = Unlimited;
    let unlimited = World::with(
        1,
        settings,
        Bundle {
            admission,
            budget,
            router,
        },
    );
    unlimited.net.mode(&unlimited.dispatcher(0), Mode::Broken);
    let answer = unlimited
        .root
        .query(ask())
        .await
        .expect("the next candidate serves");
    assert_eq!(
        (answer.missing.len(), unlimited.root.stats().retries),
        (0, 1)
    );
}

/// Guards against retries after a refusal for overload.
#[tokio::test(start_paused = true)]
async fn overload_is_not_retried() {
    let world = World::new(1);
    world.net.mode(&world.dispatcher(0), Mode::Overloaded);
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

/// Guards against unbounded work at the root: queries beyond the limit of their rank are refused
/// at once. Also guards against a drain that cancels queries in flight or accepts new ones.
#[tokio::test(start_paused = true)]
async fn queries_in_flight_are_bounded_and_drained() {
    let world = World::standard(
        1,
        Settings {
            max_in_flight: [2, 1, 1],
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

/// Guards against pinning a snapshot that only leaving leafs hold, whether a dispatcher or the
/// list of leafs reports them, and against a leaf that stays excluded for ever after one report.
#[tokio::test(start_paused = true)]
async fn the_newest_snapshot_on_staying_leafs_is_pinned() {
    let mut world = World::new(1);
    world.data.publish(COLLECTION);
    world.fleet.load_holdings(&world.data);
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

/// Guards against holding rows beyond the limit, and against requesting them again.
#[tokio::test(start_paused = true)]
async fn rows_are_bounded() {
    let world = World::standard(
        1,
        Settings {
            max_rows: 400,
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

/// Guards against sub-queries that continue after the caller has dropped the query.
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

/// Guards against budgets that exceed the deadline, against answers after the deadline, and
/// against budgets that ignore a long round trip to dispatchers in another region.
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
        world.net.lock().max_budget_ms <= 56,
        "the hop margin is reserved"
    );
    for host in &world.config.hosts {
        world.net.mode(&host.name, Mode::Slow(24));
    }
    for _ in 0..20 {
        ask(200).await.expect("there is time");
    }
    world.net.lock().max_budget_ms = 0;
    ask(200).await.expect("there is time");
    let longest = world.net.lock().max_budget_ms;
    assert!(
        (150..180).contains(&longest),
        "{longest} ms of 200 with a round-trip time of 25 ms"
    );
}

/// Guards against a baseline router that uses other dispatchers.
#[tokio::test(start_paused = true)]
async fn the_baseline_dispatches_everything_itself() {
    let (admission, budget) = (AdmitAll, Unlimited);
    let router = SelfRouter("norway-1".into());
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
    assert_eq!(world.net.lock().calls, 1, "one message to this host");
}
