//! What single orders get, with one fault at a time.

use std::time::Duration;

use crate::sim::{self, COLLECTION, HOSTS, Process, World, name, uuid};
use rattanmast_model::{
    catalog::Service,
    host::{Host, Incarnation},
    outcome::{Outcome, Reason},
    peer::{self, Step},
    rank::Rank,
    request, roster, trace,
};
use rattanmast_order::{Submit, key::Identity, settings::Mutation};
use tokio::time::{Instant, sleep};

pub fn world(mutation: Mutation) -> World {
    World::new(1, sim::settings(mutation))
}

pub fn order(caller: &str, key: &str) -> Submit {
    Submit {
        caller: caller.into(),
        key: key.into(),
        collection: COLLECTION.into(),
        action: "sharpen".into(),
        record: "stone".into(),
        rank: Rank::Urgent,
        timeout: Duration::from_secs(5),
        trace: Some(trace::Context {
            trace: 1,
            span: 1,
            sampled: false,
        }),
    }
}

pub fn reason(outcome: &Outcome) -> Option<Reason> {
    match outcome {
        Outcome::NotRun { reason, .. } => Some(*reason),
        _ => None,
    }
}

pub fn runs(world: &World, caller: &str, key: &str) -> usize {
    let key = (caller.to_owned(), key.to_owned());
    world.lock().runs.get(&key).map_or(0, Vec::len)
}

/// Returns a host by its position among the claimers of the key's partition.
pub fn claimer(world: &World, key: &str, position: usize) -> usize {
    let partition = Identity::new("a", key).partition();
    let host = roster::claimers(&world.config.hosts, partition)[position];
    (0..HOSTS).find(|h| name(*h) == host.name).unwrap()
}

/// Makes all hosts believe that `host` is dead.
pub fn shun(world: &World, host: usize, shunned: bool) {
    let until = Instant::now() + Duration::from_secs(if shunned { 100_000 } else { 0 });
    for slot in &mut world.lock().slots {
        slot.shunned[host] = until;
    }
}

pub fn process(world: &World, host: usize) -> Process {
    world.process(host).unwrap()
}

pub async fn submit(world: &World, host: usize, key: &str) -> Outcome {
    process(world, host).submit(order("a", key)).await
}

/// Guards against a repeated key that runs again, at the same host or at another one.
#[tokio::test(start_paused = true)]
async fn repeated_key_runs_once() {
    let world = world(Mutation::None);
    let key = uuid(world.true_ms(), 7);
    let calls = (0..HOSTS).map(|host| {
        let world = world.clone();
        let key = key.clone();
        async move { submit(&world, host, &key).await }
    });
    let outcomes = futures::future::join_all(calls).await;
    let done = outcomes.iter().filter(|o| o.name() == "done").count();
    let already = outcomes
        .iter()
        .filter(|o| o.name() == "already-done")
        .count();
    assert_eq!((done, already, runs(&world, "a", &key)), (1, HOSTS - 1, 1));

    // The claimer is gone: the next one finds the outcome in the log.
    sleep(Duration::from_secs(2)).await;
    world.kill(claimer(&world, &key, 0));
    let other = claimer(&world, &key, 1);
    assert_eq!(submit(&world, other, &key).await.name(), "already-done");
    let asked = process(&world, other).outcome("a", &key).await;
    assert!(matches!(asked, Some(Outcome::Done { .. })), "{asked:?}");
    assert_eq!(runs(&world, "a", &key), 1);
}

/// Guards against keys that are taken for another caller's, or for another order.
#[tokio::test(start_paused = true)]
async fn keys_belong_to_callers_and_orders() {
    let world = world(Mutation::None);
    let key = uuid(world.true_ms(), 7);
    assert_eq!(submit(&world, 0, &key).await.name(), "done");
    let other = process(&world, 0).submit(order("b", &key)).await;
    assert_eq!(other.name(), "done", "another caller's key is another key");
    for host in 0..HOSTS {
        let mut changed = order("a", &key);
        changed.record = "other".into();
        let outcome = process(&world, host).submit(changed).await;
        assert_eq!(reason(&outcome), Some(Reason::Key), "{outcome:?}");
    }
}

/// Guards against keys outside the window that run.
#[tokio::test(start_paused = true)]
async fn keys_outside_the_window_are_refused() {
    let world = world(Mutation::None);
    for key in [
        uuid(world.true_ms() - 31_000, 1),
        uuid(world.true_ms() + 6_000, 2),
        "no key".to_owned(),
    ] {
        let outcome = submit(&world, 0, &key).await;
        assert_eq!(reason(&outcome), Some(Reason::Key), "{key}: {outcome:?}");
        assert_eq!(runs(&world, "a", &key), 0);
    }
}

/// Guards against false refusals, slow refusals and floods of calls when the store is down long.
#[tokio::test(start_paused = true)]
async fn store_outage_of_an_hour_refuses_and_recovers() {
    let world = world(Mutation::None);
    let key = uuid(world.true_ms(), 7);
    world.lock().outage = true;
    let mut longest = Duration::ZERO;
    for second in 0..3600 {
        let start = Instant::now();
        let refused = submit(&world, 0, &uuid(world.true_ms(), second << 16)).await;
        longest = longest.max(start.elapsed());
        assert_eq!(reason(&refused), Some(Reason::Store));
        let ticket = process(&world, 1).ticket("a");
        assert_eq!(submit(&world, 2, &ticket).await.name(), "done");
        sleep(Duration::from_secs(1)).await;
    }
    let calls: u64 = world.lock().calls.values().sum();
    println!("an hour: {calls} calls to the platform, longest refusal {longest:?}");
    assert!(calls <= 2 * 3600, "{calls} calls for 3,600 orders");
    assert!(
        longest < Duration::from_secs(1),
        "a refusal took {longest:?}"
    );
    world.lock().outage = false;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(
        reason(&submit(&world, 0, &key).await),
        Some(Reason::Key),
        "too old by now"
    );
    let key = uuid(world.true_ms(), 7);
    assert_eq!(submit(&world, 1, &key).await.name(), "done");
}

/// Guards against a claim that took effect unseen and is dispatched, or blocks its key.
#[tokio::test(start_paused = true)]
async fn claim_found_later_is_settled() {
    let world = world(Mutation::None);
    let key = uuid(world.true_ms(), 7);
    let first = claimer(&world, &key, 0);
    assert_eq!(
        submit(&world, first, &uuid(world.true_ms(), 1))
            .await
            .name(),
        "done"
    );
    assert_eq!(
        submit(&world, first, &uuid(world.true_ms(), 2))
            .await
            .name(),
        "done"
    );
    sleep(Duration::from_secs(1)).await;
    world.lock().faults.lose_answer = 1.0;
    let attempt = tokio::spawn({
        let (world, key) = (world.clone(), key.clone());
        async move { submit(&world, first, &key).await }
    });
    sleep(Duration::from_millis(7)).await;
    world.lock().outage = true;
    let outcome = attempt.await.unwrap();
    assert_eq!(reason(&outcome), Some(Reason::Store), "{outcome:?}");
    let id = Identity::new("a", &key);
    assert!(
        world.lock().claims.contains_key(&id.0),
        "the claim took effect"
    );

    world.lock().faults.lose_answer = 0.0;
    world.lock().outage = false;
    sleep(Duration::from_secs(5)).await;
    // The holder recorded that it did not send the order, so another host may claim it.
    shun(&world, first, true);
    assert_eq!(submit(&world, first, &key).await.name(), "done");
    assert_eq!(runs(&world, "a", &key), 1);
}

/// Guards against an order that is sent again after its claimer died in the middle.
#[tokio::test(start_paused = true)]
async fn order_of_a_dead_claimer_is_unknown() {
    let world = world(Mutation::None);
    let key = uuid(world.true_ms(), 7);
    let first = claimer(&world, &key, 0);
    let attempt = tokio::spawn({
        let (world, key) = (world.clone(), key.clone());
        async move { submit(&world, first, &key).await }
    });
    while runs(&world, "a", &key) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    world.kill(first);
    attempt.abort();
    shun(&world, first, true);
    let other = claimer(&world, &key, 1);
    assert_eq!(submit(&world, other, &key).await.name(), "unknown");
    world.boot(first);
    shun(&world, first, false);
    assert_eq!(submit(&world, first, &key).await.name(), "unknown");
    assert_eq!(runs(&world, "a", &key), 1);
}

/// Guards against copies of a message, and messages for another process run, that are worked on.
#[tokio::test(start_paused = true)]
async fn messages_are_accepted_once() {
    let world = world(Mutation::None);
    let key = uuid(world.true_ms(), 7);
    let host = claimer(&world, &key, 0);
    let first = process(&world, host);
    let message = peer::Order {
        id: request::Sequence::new("root", Incarnation(1)).next(),
        target: world.id(host).incarnation,
        step: Step::Claim,
        key: key.clone().into(),
        caller: "a".into(),
        collection: COLLECTION.into(),
        action: "sharpen".into(),
        record: "stone".into(),
        rank: Rank::Urgent,
        budget_ms: 5_000,
        not_after_ms: world.true_ms() + 5_000,
        trace: order("a", &key).trace,
    };
    first.serve(false);
    assert_eq!(
        reason(&first.accept(message.clone()).await),
        Some(Reason::Stale)
    );
    first.serve(true);
    // A copy of a refused message must not run after the refusal.
    assert_eq!(first.accept(message.clone()).await.name(), "unknown");
    assert_eq!(runs(&world, "a", &key), 0);
    let mut elsewhere = peer::Order {
        id: request::Sequence::new("root", Incarnation(2)).next(),
        target: Incarnation(99),
        ..message
    };
    // A copy of a message that is older than the process may have run at the earlier run.
    assert_eq!(first.accept(elsewhere.clone()).await.name(), "unknown");
    elsewhere.not_after_ms += 2_000;
    assert_eq!(
        reason(&first.accept(elsewhere).await),
        Some(Reason::Unreachable)
    );
    assert_eq!(submit(&world, host, &key).await.name(), "done");
}

/// Guards against tickets that need the store, run twice, or run at another process.
#[tokio::test(start_paused = true)]
async fn tickets_work_without_the_store() {
    let world = world(Mutation::None);
    world.lock().outage = true;
    let ticket = process(&world, 0).ticket("a");
    assert_eq!(submit(&world, 1, &ticket).await.name(), "done");
    assert_eq!(submit(&world, 2, &ticket).await.name(), "already-done");
    assert_eq!(submit(&world, 0, &ticket).await.name(), "already-done");
    assert_eq!(runs(&world, "a", &ticket), 1);
    assert!(world.lock().calls.is_empty(), "{:?}", world.lock().calls);

    let other = process(&world, 1).submit(order("b", &ticket)).await;
    assert_eq!(reason(&other), Some(Reason::Key), "another caller's ticket");
    let digit = if ticket.ends_with('0') { "1" } else { "0" };
    let forged = format!("{}{digit}", &ticket[..ticket.len() - 1]);
    assert_eq!(reason(&submit(&world, 1, &forged).await), Some(Reason::Key));
    let late = process(&world, 0).ticket("a");
    sleep(Duration::from_secs(31)).await;
    assert_eq!(reason(&submit(&world, 1, &late).await), Some(Reason::Key));

    let unused = process(&world, 0).ticket("a");
    world.kill(0);
    world.boot(0);
    assert_eq!(submit(&world, 0, &unused).await.name(), "unknown");
    assert_eq!(submit(&world, 1, &unused).await.name(), "unknown");
    let asked = process(&world, 1).outcome("a", &unused).await;
    assert!(matches!(asked, Some(Outcome::Unknown { .. })), "{asked:?}");
}

/// Guards against a stop that cuts off orders in flight.
#[tokio::test(start_paused = true)]
async fn drain_ends_every_order() {
    let world = world(Mutation::None);
    let key = uuid(world.true_ms(), 7);
    let host = claimer(&world, &key, 0);
    let attempt = tokio::spawn({
        let (world, key) = (world.clone(), key.clone());
        async move { submit(&world, host, &key).await }
    });
    sleep(Duration::from_millis(3)).await;
    process(&world, host).drain().await;
    assert_eq!(process(&world, host).stats().in_flight, 0);
    assert_eq!(attempt.await.unwrap().name(), "done");
    let refused = submit(&world, host, &uuid(world.true_ms(), 8)).await;
    assert_eq!(reason(&refused), Some(Reason::Stopping));
    world.kill(host);
    let other = claimer(&world, &key, 1);
    shun(&world, host, true);
    assert_eq!(submit(&world, other, &key).await.name(), "already-done");
}

/// Guards against a refusal because the first dispatcher has just started and does not serve yet.
#[tokio::test(start_paused = true)]
async fn next_dispatcher_takes_the_order() {
    let world = world(Mutation::None);
    let service = Service {
        collection: COLLECTION.into(),
        index: 0,
    };
    let dispatchers = roster::dispatchers(&world.config.hosts, &service);
    let index = |position: usize| {
        let host: &Host = dispatchers[position];
        (0..HOSTS).find(|h| name(*h) == host.name).unwrap()
    };
    world.lock().slots[index(0)].stale = true;
    let key = uuid(world.true_ms(), 7);
    assert_eq!(submit(&world, 0, &key).await.name(), "done");
    assert_eq!(runs(&world, "a", &key), 1);

    for position in 0..dispatchers.len() {
        world.lock().slots[index(position)].stale = true;
    }
    let key = uuid(world.true_ms(), 8);
    let outcome = submit(&world, 0, &key).await;
    assert_eq!(reason(&outcome), Some(Reason::Refused), "{outcome:?}");
    assert_eq!(runs(&world, "a", &key), 0);
}

/// Guards against an order that is reported as unknown although its dispatcher did not run it.
#[tokio::test(start_paused = true)]
async fn refusal_of_a_dispatcher_is_told() {
    let world = world(Mutation::None);
    world.lock().faults.shed = 1.0;
    for host in 0..HOSTS {
        let key = uuid(world.true_ms(), 1 + host as u64);
        let refused = submit(&world, host, &key).await;
        assert_eq!(reason(&refused), Some(Reason::Refused), "{refused:?}");
    }
    world.lock().faults.shed = 0.0;
    let key = uuid(world.true_ms(), 1);
    assert_eq!(submit(&world, 0, &key).await.name(), "done");
}

/// Guards against an order that is lost when its first claimer stops or restarts.
#[tokio::test(start_paused = true)]
async fn next_claimer_takes_over_from_a_stopping_one() {
    let world = world(Mutation::None);
    let key = uuid(world.true_ms(), 7);
    let first = claimer(&world, &key, 0);
    process(&world, first).drain().await;
    let root = claimer(&world, &key, 1);
    assert_eq!(submit(&world, root, &key).await.name(), "done");
    // The other hosts have not heard of the new process run yet.
    sleep(Duration::from_secs(2)).await;
    world.kill(first);
    world.boot(first);
    sleep(Duration::from_secs(2)).await;
    let next = uuid(world.true_ms(), 8);
    assert_eq!(submit(&world, root, &next).await.name(), "done");
}
