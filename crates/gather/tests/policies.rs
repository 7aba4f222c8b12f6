//! Admission, the retry budget, limits and the baselines.

mod common;

use std::time::Duration;

use common::{Mode, STONES, World, paused, query};
use rattanmast_gather::{
    Settings,
    admit::{Admission as _, Open, Waits},
    policy::{Bundle, Standard},
    retry::{Budget as _, Share, Unlimited},
    route::{Candidates, Itself},
};
use rattanmast_model::{
    catalog::Service,
    config::Priority,
    host,
    outcome::{Outcome, Reason},
    peer::Report,
    rank::Rank,
};
use tokio::time::{Instant, sleep};

const LEFT: Duration = Duration::from_millis(100);

fn service(index: u16) -> Service {
    Service {
        collection: STONES.into(),
        index,
    }
}

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
    admission.admit(rank, LEFT, services.iter().map(|s| (&host, s)))
}

/// Guards against admission by an average: the longest wait over all services decides.
/// Guards against one rank's flood closing the door for another one.
#[test]
fn the_longest_wait_of_the_rank_decides() {
    paused(async {
        let admission = Waits::new(&Settings::default(), 1);
        report(&admission, 0, [0, 0, 0]);
        report(&admission, 1, [500, 10, 500]);
        assert!(admit(&admission, Rank::Urgent), "the first is a probe");
        assert!(!admit(&admission, Rank::Urgent));
        assert!(admit(&admission, Rank::Intake), "the first is a probe");
        assert!(!admit(&admission, Rank::Intake));
        assert!((0..100).all(|_| admit(&admission, Rank::Routine)));
    });
}

/// Guards against an estimate that stays high for ever because nothing is admitted, and against
/// a trickle of probes that becomes a stream.
#[test]
fn probes_trickle_and_the_estimate_recovers() {
    paused(async {
        let admission = Waits::new(&Settings::default(), 1);
        report(&admission, 0, [0, 0, 900]);
        let mut admitted = Vec::new();
        for ms in 0..900 {
            if admit(&admission, Rank::Intake) {
                admitted.push(ms);
            }
            sleep(Duration::from_millis(1)).await;
        }
        let early = admitted.iter().filter(|ms| **ms < 800).count();
        assert_eq!(early, 8, "one probe in each 100 ms");
        let late = admitted.iter().filter(|ms| **ms >= 850).count();
        assert_eq!(late, 50, "the queue has emptied");
        assert!(admitted.len() - early - late < 50, "between them, a ramp");
    });
}

/// Guards against retries that multiply the load of a failure.
#[test]
fn retries_are_a_share_of_successes() {
    let budget = Share::new(0.1, 5.0);
    assert_eq!((0..100).filter(|_| budget.take()).count(), 5);
    (0..30).for_each(|_| budget.success());
    assert_eq!((0..100).filter(|_| budget.take()).count(), 3);
    (0..1_000).for_each(|_| budget.success());
    assert_eq!((0..100).filter(|_| budget.take()).count(), 5);
    assert!((0..100).all(|_| Unlimited.take()));
}

/// Guards against retries beyond the budget in whole queries; the baseline shows the difference.
#[test]
fn an_empty_budget_stops_retries() {
    paused(async {
        let settings = Settings::default();
        let (admission, router) = (Open, Candidates);
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
        let ask = || query(Rank::Urgent, 200, 0.5, Priority::Coverage);
        strict.net.mode(&strict.dispatcher(0), Mode::Broken);
        plain.net.mode(&plain.dispatcher(0), Mode::Broken);
        let answer = strict.root.query(ask()).await.expect("the rest is found");
        assert_eq!(answer.missing.len(), 1);
        assert_eq!(
            (
                strict.root.stats().retries,
                strict.root.stats().unaffordable
            ),
            (0, 1)
        );
        let answer = plain
            .root
            .query(ask())
            .await
            .expect("the next candidate serves");
        assert!(answer.missing.is_empty());
        assert_eq!(plain.root.stats().retries, 1);
    });
}

/// Guards against a refusal for overload that is asked again.
#[test]
fn overload_is_not_retried() {
    paused(async {
        let world = World::new(1);
        world.net.mode(&world.dispatcher(0), Mode::Refuse);
        let first = world.net.calls();
        let result = world
            .root
            .query(query(Rank::Urgent, 200, 0.5, Priority::Coverage))
            .await;
        assert_eq!(result.expect("the rest is found").missing.len(), 1);
        let stats = world.root.stats();
        assert_eq!(
            (stats.retries, stats.subqueries),
            (0, world.net.calls() - first)
        );
    });
}

/// Guards against unbounded work at the root: queries beyond the limit hear at once, by rank.
/// Guards against a drain that cuts off what is in hand, or that takes new work.
#[test]
fn queries_in_hand_are_bounded_and_drained() {
    paused(async {
        let settings = Settings {
            in_hand: [2, 1, 1],
            ..Settings::default()
        };
        let policy = Standard::new(&settings, 1);
        let world = World::with(1, settings, policy);
        let ask = |rank| world.root.query(query(rank, 200, 1.0, Priority::Time));
        let results = futures::join!(
            ask(Rank::Routine),
            ask(Rank::Routine),
            ask(Rank::Urgent),
            async {
                sleep(Duration::from_millis(1)).await;
                world.root.drain().await;
                world.net.calls()
            }
        );
        assert!(results.0.is_ok() && results.2.is_ok());
        let reason = |r| match r {
            Err(Outcome::NotRun { reason, .. }) => reason,
            other => panic!("{other:?}"),
        };
        assert_eq!(reason(results.1), Reason::Overload);
        assert_eq!(reason(ask(Rank::Urgent).await), Reason::Stopping);
        assert_eq!(
            world.net.calls(),
            results.3,
            "nothing is sent after the drain"
        );
    });
}

/// Guards against rows beyond the limit: the answer is partial and says so.
#[test]
fn rows_are_bounded() {
    paused(async {
        let settings = Settings {
            rows: 400,
            ..Settings::default()
        };
        let policy = Standard::new(&settings, 1);
        let world = World::with(1, settings, policy);
        let result = world
            .root
            .query(query(Rank::Urgent, 200, 0.1, Priority::Time))
            .await;
        let answer = result.expect("some rows fit");
        common::check(&answer);
        assert!(answer.rows.len() <= 400 && !answer.missing.is_empty());
    });
}

/// Guards against sub-queries that go on after the caller has gone.
#[test]
fn dropping_a_query_cancels_it() {
    paused(async {
        let world = World::new(1);
        let ask = world
            .root
            .query(query(Rank::Urgent, 2_000, 1.0, Priority::Time));
        let gone = tokio::time::timeout(Duration::from_millis(6), ask).await;
        assert!(gone.is_err(), "the query needs longer");
        assert_eq!(world.net.open(), 0, "no call is open");
        sleep(Duration::from_millis(50)).await;
        world.root.drain().await;
    });
}

/// Guards against deadlines that grow on the way, and against answers after the deadline.
#[test]
fn deadlines_shrink_and_hold() {
    paused(async {
        let world = World::new(1);
        world.net.mode(&world.dispatcher(0), Mode::Silent);
        let start = Instant::now();
        let result = world
            .root
            .query(query(Rank::Urgent, 60, 0.1, Priority::Coverage))
            .await;
        assert!(start.elapsed() <= Duration::from_millis(60));
        assert!(result.is_ok());
        assert!(
            world.net.longest_budget() <= 56,
            "a hop's margin is kept back"
        );
    });
}

/// Guards against a baseline router that uses other dispatchers.
#[test]
fn the_baseline_dispatches_everything_itself() {
    paused(async {
        let settings = Settings::default();
        let router = Itself("h-1".into());
        let (admission, budget) = (Open, Unlimited);
        let world = World::with(
            1,
            settings,
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
        let hops = result.map(|a| a.hops).unwrap_or_default();
        assert!(hops.iter().all(|hop| hop.host == "h-1"));
        assert_eq!(world.net.calls(), 1, "one message, to itself");
    });
}
