//! Confirming plans with concurrent operators and lost replies of the platform.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use rattanmast_fakes::{memory::Store, store::Faults};
use rattanmast_model::{
    config::{Config, Version},
    rank::Rank,
    store::Store as _,
};
use rattanmast_state::{
    accept::{self, Error, ROSTER_CHANGE_INTERVAL_MS},
    effect::Level,
    intent::Intent,
    plan::{self, Plan},
    record,
};

#[expect(dead_code, reason = "each test file uses its own part")]
mod support;

const NOW: u64 = 1_000_000;

async fn plan_of(store: &Store, change: impl Fn(&mut Intent)) -> Plan {
    let current = accept::current(store).await.unwrap().record.config;
    let mut intent = match current.version {
        Version(0) => support::intent(support::hosts(9, 3)),
        _ => Intent::from(&current),
    };
    change(&mut intent);
    plan::make(&current, &intent)
}

async fn started(seed: u64) -> Store {
    let store = Store::new(seed);
    let plan = plan_of(&store, |_| {}).await;
    accept::confirm(&store, &plan, "first", NOW).await.unwrap();
    store
}

fn lose_replies(store: &Store, count: u32) {
    store.set_faults(Faults {
        lose_next: count,
        ..Faults::default()
    });
}

async fn version(store: &Store) -> u64 {
    accept::current(store)
        .await
        .unwrap()
        .record
        .config
        .version
        .0
}

fn wait(ms: u32) -> impl Fn(&mut Intent) {
    move |intent: &mut Intent| intent.searches[0].longest_wait_ms = ms
}

/// Guards against a rejected confirm that does not name the concurrent change, or is applied
/// partly.
#[tokio::test(start_paused = true)]
async fn loser_is_told_who_changed_what() {
    let store = started(1).await;
    let (a, b) = (
        plan_of(&store, wait(401)).await,
        plan_of(&store, wait(402)).await,
    );
    accept::confirm(&store, &a, "anna", NOW).await.unwrap();
    let error = accept::confirm(&store, &b, "beat", NOW).await.unwrap_err();
    assert!(matches!(error, Error::Conflict { .. }));
    assert_eq!(
        error.to_string(),
        "configuration is at version 2, but the plan is based on version 1; plan again: anna made \
         version 2: ~ search search-blade-profile-registry longest_wait_ms: 400 -> 401 (for bench)"
    );
    let record = accept::current(&store).await.unwrap().record;
    assert_eq!(record.config, a.target);
    // A plan based on the new version takes effect.
    let again = plan_of(&store, wait(402)).await;
    accept::confirm(&store, &again, "beat", NOW).await.unwrap();
    assert_eq!(version(&store).await, 3);
}

/// Guards against a change that is applied twice, or reported as failed, if the reply is lost.
#[tokio::test(start_paused = true)]
async fn lost_answer_is_settled_by_reading_back() {
    let store = started(2).await;
    let plan = plan_of(&store, wait(401)).await;
    lose_replies(&store, 1);
    // The first write is to the history, and losing its reply is harmless as well.
    let done = accept::confirm(&store, &plan, "anna", NOW).await.unwrap();
    assert_eq!((done.version.0, done.already), (2, false));
    let plan = plan_of(&store, wait(402)).await;
    lose_replies(&store, 9);
    let done = accept::confirm(&store, &plan, "anna", NOW).await.unwrap();
    assert_eq!((done.version.0, done.already), (3, false));
}

/// Guards against a repeated confirm that creates another version.
#[tokio::test(start_paused = true)]
async fn confirm_again_is_harmless() {
    let store = started(3).await;
    let old = plan_of(&store, wait(401)).await;
    accept::confirm(&store, &old, "anna", NOW).await.unwrap();
    let done = accept::confirm(&store, &old, "beat", NOW).await.unwrap();
    assert_eq!(
        (done.version.0, done.by.as_str(), done.already),
        (2, "anna", true)
    );
    // Confirming again is still harmless after later changes.
    let new = plan_of(&store, wait(402)).await;
    accept::confirm(&store, &new, "beat", NOW).await.unwrap();
    let done = accept::confirm(&store, &old, "anna", NOW).await.unwrap();
    assert_eq!((done.version.0, done.already), (2, true));
    assert_eq!(version(&store).await, 3);
}

/// Guards against a plan that is modified before it is confirmed.
#[tokio::test(start_paused = true)]
async fn altered_plan_is_refused() {
    let store = started(4).await;
    let good = plan_of(&store, wait(401)).await;
    let mut altered = good.clone();
    altered.target.callers[0].rank = Rank::Intake;
    let mut hidden = good.clone();
    hidden.effects.clear();
    hidden.changes.clear();
    let mut moved = good.clone();
    moved.target.version.0 = 9;
    for plan in [altered, hidden, moved] {
        let error = accept::confirm(&store, &plan, "anna", NOW)
            .await
            .unwrap_err();
        assert!(matches!(
            error,
            Error::Plan {
                source: plan::Error::Altered { .. }
            }
        ));
    }
    assert_eq!(version(&store).await, 1);
}

/// Guards against two roster changes within 10 s, which would put three rosters in force.
#[tokio::test(start_paused = true)]
async fn second_roster_change_has_to_wait() {
    let store = started(5).await;
    let fewer = |intent: &mut Intent| {
        intent.hosts.pop();
    };
    let plan = plan_of(&store, fewer).await;
    for now_ms in [NOW, NOW + ROSTER_CHANGE_INTERVAL_MS - 1, NOW - 5] {
        let error = accept::confirm(&store, &plan, "anna", now_ms)
            .await
            .unwrap_err();
        assert!(matches!(error, Error::RosterChangedRecently { .. }));
    }
    // Changes other than to the roster neither wait for the interval nor restart it.
    let other = plan_of(&store, wait(401)).await;
    accept::confirm(&store, &other, "anna", NOW + 1)
        .await
        .unwrap();
    let plan = plan_of(&store, fewer).await;
    let later = NOW + ROSTER_CHANGE_INTERVAL_MS;
    accept::confirm(&store, &plan, "anna", later).await.unwrap();
    assert_eq!(version(&store).await, 3);
}

/// Guards against a history with gaps, and a rollback that lowers the version.
#[tokio::test(start_paused = true)]
async fn rollback_is_a_higher_version() {
    let store = started(6).await;
    for ms in [401, 402] {
        // The history write after a change may be lost; the next confirm repeats it.
        let plan = plan_of(&store, wait(ms)).await;
        accept::confirm(&store, &plan, "anna", NOW).await.unwrap();
        store
            .delete(&record::history(plan.target.version))
            .await
            .unwrap();
    }
    let old = accept::read_version(&store, Version(2))
        .await
        .unwrap()
        .config;
    let current = accept::current(&store).await.unwrap().record.config;
    let plan = plan::make(&current, &Intent::from(&old));
    accept::confirm(&store, &plan, "anna", NOW).await.unwrap();
    let current = accept::current(&store).await.unwrap().record.config;
    assert_eq!(current.version.0, 4);
    assert_eq!(current.searches, old.searches);
    for version in 1..=4 {
        assert!(accept::read_version(&store, Version(version)).await.is_ok());
    }
    let made: Vec<u64> = accept::read_history(&store, 9)
        .await
        .unwrap()
        .iter()
        .map(|e| e.version.0)
        .collect();
    assert_eq!(made, [4, 3, 2, 1]);
}

/// Guards against reporting success, or that nothing was written, if that is not known.
#[tokio::test(start_paused = true)]
async fn outage_is_reported_truthfully() {
    let store = started(7).await;
    let plan = plan_of(&store, wait(401)).await;
    store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let error = accept::confirm(&store, &plan, "anna", NOW)
        .await
        .unwrap_err();
    assert!(matches!(error, Error::Unavailable { .. }));
    assert_eq!(version_after_outage(&store).await, 1);
}

async fn version_after_outage(store: &Store) -> u64 {
    store.set_faults(Faults::default());
    version(store).await
}

/// Guards against lost and repeated changes by concurrent operators whose replies are lost.
#[tokio::test(start_paused = true)]
async fn racing_operators_lose_no_update() {
    let store = started(8).await;
    store.set_faults(Faults {
        lose_answer: 0.2,
        ..Faults::default()
    });
    let mut accepted = 1;
    for pair in 0..1_000_u32 {
        let (a, b) = (
            plan_of(&store, wait(1_000 + 2 * pair)).await,
            plan_of(&store, wait(1_001 + 2 * pair)).await,
        );
        let (x, y) = tokio::join!(
            accept::confirm(&store, &a, "anna", NOW),
            accept::confirm(&store, &b, "beat", NOW),
        );
        let winners = [(&x, &a), (&y, &b)];
        let winners: Vec<_> = winners.iter().filter(|(r, _)| r.is_ok()).collect();
        assert_eq!(winners.len(), 1, "pair {pair}: {x:?}, {y:?}");
        let lost = if x.is_ok() { &y } else { &x };
        assert!(
            matches!(lost, Err(Error::Conflict { .. })),
            "pair {pair}: {lost:?}"
        );
        let record = accept::current(&store).await.unwrap().record;
        assert_eq!(record.config, winners[0].1.target, "pair {pair}");
        accepted += 1;
        assert_eq!(record.config.version.0, accepted);
    }
    for version in 1..accepted {
        assert!(accept::read_version(&store, Version(version)).await.is_ok());
    }
}

/// Guards against a plan that does not show the effects of its changes.
#[test]
fn effects_are_shown() {
    let old = support::config(&support::hosts(9, 3), 1);
    let effects = |change: &dyn Fn(&mut Intent)| -> Vec<String> {
        let mut intent = Intent::from(&old);
        change(&mut intent);
        let plan = plan::make(&old, &intent);
        plan.effects.iter().map(ToString::to_string).collect()
    };
    let shown = [
        effects(&|i| i.floors.urgent = 0.9),
        effects(&|i| i.collections[0].limits.connections = 5),
        effects(&|i| {
            i.collections[1].limits = rattanmast_model::leaf::Limits {
                slots: 1,
                ..i.collections[1].limits
            }
        }),
        effects(&|i| i.collections[2].leafs = 1),
        effects(&|i| i.callers[0].rank = Rank::Routine),
        effects(&|i| i.callers[0].searches.truncate(3)),
        effects(&|i| i.callers.clear()),
        effects(&|i| i.hosts.truncate(4)),
        effects(&|i| i.hosts.clear()),
        effects(&|i| i.searches[3].longest_wait_ms = 1),
    ];
    insta::assert_debug_snapshot!(shown);
}

/// Guards against confirming a plan with a refused effect.
#[tokio::test(start_paused = true)]
async fn refused_plan_does_not_take_effect() {
    let store = started(9).await;
    let plan = plan_of(&store, |i| i.floors.urgent = 0.9).await;
    assert_eq!(plan.effects[0].level, Level::Refusal);
    let error = accept::confirm(&store, &plan, "anna", NOW)
        .await
        .unwrap_err();
    assert!(matches!(
        error,
        Error::Plan {
            source: plan::Error::Refused { .. }
        }
    ));
    let same = plan_of(&store, |_| {}).await;
    let error = accept::confirm(&store, &same, "anna", NOW)
        .await
        .unwrap_err();
    assert!(matches!(
        error,
        Error::Plan {
            source: plan::Error::Empty
        }
    ));
}

/// Guards against a roster change that counts as accepted although a host with the old roster
/// can't learn of it from its watchers.
#[test]
fn acceptance_needs_both_rosters_watchers() {
    let hosts = support::hosts(12, 3);
    let (old, new) = (&hosts[..9], &hosts[3..]);
    let before = Config {
        hosts: old.to_vec(),
        version: Version(1),
        ..Config::default()
    };
    let after = Config {
        hosts: new.to_vec(),
        version: Version(2),
        ..Config::default()
    };
    let held = |names: &'static [usize]| {
        let hosts = hosts.clone();
        move |name: &str| {
            names
                .iter()
                .any(|i| hosts[*i].name == name)
                .then_some(Version(2))
        }
    };
    // 6 of the new 9, but only 3 of the old ones.
    let lacking = accept::accepted(&before, &after, held(&[6, 7, 8, 9, 10, 11])).unwrap_err();
    assert_eq!(lacking.len(), 6);
    assert!(accept::accepted(&before, &after, held(&[4, 5, 6, 7, 8])).is_ok());
}
