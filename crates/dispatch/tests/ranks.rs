//! Ranks: urgent work first, floors under overload, early refusals.

mod common;

use std::time::Duration;

use common::{Bench, each_case, is_complete, quantile};
use rattanmast_dispatch::{
    Dispatcher,
    lanes::{Lanes as _, Ranked},
    policy::Baseline,
};
use rattanmast_fakes::{memory::Connector, model};
use rattanmast_model::{config::Floors, peer::Cause, rank::Rank};

/// Capacity of 2 leafs with 2 slots each and a mean service time of 4.2 ms.
const CAPACITY_PER_SEC: f64 = 950.0;

const LOAD_DURATION: Duration = Duration::from_secs(10);

/// Guards against a flood of intake that delays urgent work or takes the share of routine work.
#[tokio::test(start_paused = true)]
async fn an_intake_flood_leaves_urgent_and_routine_alone() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let (urgent, routine) = (0.3 * CAPACITY_PER_SEC, 0.3 * CAPACITY_PER_SEC);
    let (calm_urgent, calm_routine) = tokio::join!(
        bench.run_load(&dispatcher, Rank::Urgent, urgent, LOAD_DURATION),
        bench.run_load(&dispatcher, Rank::Routine, routine, LOAD_DURATION),
    );
    let (flood_urgent, flood_routine, _) = tokio::join!(
        bench.run_load(&dispatcher, Rank::Urgent, urgent, LOAD_DURATION),
        bench.run_load(&dispatcher, Rank::Routine, routine, LOAD_DURATION),
        bench.run_load(
            &dispatcher,
            Rank::Intake,
            10.0 * CAPACITY_PER_SEC,
            LOAD_DURATION
        ),
    );
    let (calm, flood) = (quantile(&calm_urgent, 0.99), quantile(&flood_urgent, 0.99));
    assert!(flood <= calm.mul_f64(1.2), "p99 {calm:?} became {flood:?}");
    let good = |replies: &[(_, _)]| replies.iter().filter(|(r, _)| is_complete(r)).count();
    let (calm, flood) = (good(&calm_routine), good(&flood_routine));
    assert!(
        flood * 10 >= calm * 9,
        "{calm} routine answers became {flood}"
    );
}

/// Guards against a flood of urgent work that violates the floors, against idle leafs, and against
/// refusals that come late or after work has begun.
#[tokio::test(start_paused = true)]
async fn an_urgent_flood_leaves_the_floors() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let (urgent, routine, intake) = tokio::join!(
        bench.run_load(
            &dispatcher,
            Rank::Urgent,
            5.0 * CAPACITY_PER_SEC,
            LOAD_DURATION
        ),
        bench.run_load(&dispatcher, Rank::Routine, CAPACITY_PER_SEC, LOAD_DURATION),
        bench.run_load(&dispatcher, Rank::Intake, CAPACITY_PER_SEC, LOAD_DURATION),
    );
    let used = dispatcher.stats().slot_us;
    let total: u64 = used.iter().sum();
    let floors = Floors::default();
    for rank in Rank::ALL {
        let share = used[rank.index()] as f64 / total as f64;
        let floor = floors.of(rank);
        assert!(share >= floor, "{} got {share} of {floor}", rank.name());
    }
    let all = [urgent, routine, intake].concat();
    let good = all.iter().filter(|(r, _)| is_complete(r)).count();
    assert!(
        good as f64 >= 0.9 * CAPACITY_PER_SEC * LOAD_DURATION.as_secs_f64(),
        "{good} answers"
    );
    let refused: Vec<_> = all.iter().filter(|(r, _)| !is_complete(r)).collect();
    let fast = refused
        .iter()
        .filter(|(_, t)| *t <= Duration::from_millis(20));
    let fast = fast.count();
    assert!(
        fast * 100 >= refused.len() * 99,
        "{fast} of {} were refused within 20 ms",
        refused.len()
    );
    for (reply, _) in refused {
        if reply.misses[0].cause == Cause::Overload {
            assert!(!reply.begun && reply.sent == 0);
        }
    }
}

/// Guards against a report that omits a queue, and an initial report that contains one.
#[tokio::test(start_paused = true)]
async fn the_report_shows_the_wait_of_each_rank() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher: Dispatcher<Connector> = bench.dispatcher(0).await;
    assert_eq!(dispatcher.report().waits, [(bench.service.clone(), [0; 3])]);
    let flood = bench.run_load(
        &dispatcher,
        Rank::Routine,
        5.0 * CAPACITY_PER_SEC,
        LOAD_DURATION,
    );
    tokio::select! {
        _ = flood => unreachable!("the flood lasts longer"),
        () = tokio::time::sleep(LOAD_DURATION / 2) => {}
    }
    let (_, [urgent, routine, intake]) = dispatcher.report().waits[0];
    assert!(urgent < routine, "{urgent} {routine}");
    // Intake waits only for its floor, which no other request uses.
    assert!(0 < intake && intake < routine, "{intake} {routine}");
}

/// Guards against a baseline that has the protections it is meant to lack.
#[tokio::test(start_paused = true)]
async fn the_baseline_has_no_ranks() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher: Dispatcher<Connector, Baseline> = bench.with_policy(0, 1).await;
    let (urgent, _) = tokio::join!(
        bench.run_load(&dispatcher, Rank::Urgent, 100.0, LOAD_DURATION / 5),
        bench.run_load(
            &dispatcher,
            Rank::Intake,
            3.0 * CAPACITY_PER_SEC,
            LOAD_DURATION / 5
        ),
    );
    let good = urgent.iter().filter(|(r, _)| is_complete(r)).count();
    assert!(good * 2 < urgent.len(), "{good} of {}", urgent.len());
    assert_eq!(dispatcher.stats().hedges, 0);
}

/// Guards against mixes of service times for which the floors do not hold.
#[test]
fn floors_hold_while_all_ranks_wait() {
    each_case(1_000, |times: Vec<(u8, u8, u8)>| {
        let floors = Floors::default();
        let (mut lanes, mut used, mut longest) = (Ranked::new(floors), [0.0; 3], 0.0_f64);
        for time in times {
            let (lane, _) = lanes.order()[0];
            let time = [time.0, time.1, time.2][lane];
            let time = f64::from(time.max(1)) / 1e3;
            lanes.charge(Rank::ALL[lane], time);
            used[lane] += time;
            longest = longest.max(time);
        }
        let total: f64 = used.iter().sum();
        for rank in Rank::ALL {
            let owed = floors.of(rank) * total - used[rank.index()];
            // Two requests of other ranks may go first, and one of its own may not be charged yet.
            assert!(owed <= 3.0 * longest, "{} is owed {owed}", rank.name());
        }
    });
}
