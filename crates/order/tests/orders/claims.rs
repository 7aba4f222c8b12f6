//! Outcomes of single orders, with one fault at a time.

use std::time::Duration;

use crate::sim::{self, COLLECTION, Fleet, HOSTS, Process, name, uuid};
use rattanmast_model::{
    catalog::Service,
    host::{Host, Incarnation},
    outcome::{Outcome, Reason},
    peer::{self, Step},
    rank::Rank,
    request, roster, trace,
};
use rattanmast_order::{Request, key::Identity, settings::Mutation};
use tokio::time::{Instant, sleep};

pub fn fleet(mutation: Mutation) -> Fleet {
    Fleet::new(1, sim::settings(mutation))
}

pub fn order(caller: &str, key: &str) -> Request {
    Request {
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

pub fn runs(fleet: &Fleet, caller: &str, key: &str) -> usize {
    let key = (caller.to_owned(), key.to_owned());
    fleet.lock().runs.get(&key).map_or(0, Vec::len)
}

/// Returns the host at `position` among the claimers of the key's partition.
pub fn claimer(fleet: &Fleet, key: &str, position: usize) -> usize {
    let partition = Identity::new("a", key).partition();
    let host = roster::claimers(&fleet.config.hosts, partition)[position];
    (0..HOSTS).find(|h| name(*h) == host.name).unwrap()
}

/// Sets whether all hosts suspect `host` to be dead.
pub fn set_suspected(fleet: &Fleet, host: usize, suspected: bool) {
    let until = Instant::now() + Duration::from_secs(if suspected { 100_000 } else { 0 });
    for host_state in &mut fleet.lock().hosts {
        host_state.suspected_until[host] = until;
    }
}

pub fn process(fleet: &Fleet, host: usize) -> Process {
    fleet.process(host).unwrap()
}

pub async fn submit(fleet: &Fleet, host: usize, key: &str) -> Outcome {
    process(fleet, host).submit(order("a", key)).await
}

/// Guards against a key that is sent again and runs again, on the same host or another one.
#[tokio::test(start_paused = true)]
async fn repeated_key_runs_once() {
    let fleet = fleet(Mutation::None);
    let key = uuid(fleet.true_ms(), 7);
    let calls = (0..HOSTS).map(|host| {
        let fleet = fleet.clone();
        let key = key.clone();
        async move { submit(&fleet, host, &key).await }
    });
    let outcomes = futures::future::join_all(calls).await;
    let done = outcomes.iter().filter(|o| o.name() == "done").count();
    let already = outcomes
        .iter()
        .filter(|o| o.name() == "already-done")
        .count();
    assert_eq!((done, already, runs(&fleet, "a", &key)), (1, HOSTS - 1, 1));

    // After the claimer is gone, the next one finds the outcome in the log.
    sleep(Duration::from_secs(2)).await;
    fleet.kill(claimer(&fleet, &key, 0));
    let other = claimer(&fleet, &key, 1);
    assert_eq!(submit(&fleet, other, &key).await.name(), "already-done");
    let asked = process(&fleet, other).outcome("a", &key).await;
    assert!(matches!(asked, Some(Outcome::Done { .. })), "{asked:?}");
    assert_eq!(runs(&fleet, "a", &key), 1);
}

/// Guards against a key that is mistaken for another caller's, or accepted for another order.
#[tokio::test(start_paused = true)]
async fn keys_belong_to_callers_and_orders() {
    let fleet = fleet(Mutation::None);
    let key = uuid(fleet.true_ms(), 7);
    assert_eq!(submit(&fleet, 0, &key).await.name(), "done");
    let other = process(&fleet, 0).submit(order("b", &key)).await;
    assert_eq!(other.name(), "done", "another caller's key is another key");
    for host in 0..HOSTS {
        let mut changed = order("a", &key);
        changed.record = "other".into();
        let outcome = process(&fleet, host).submit(changed).await;
        assert_eq!(reason(&outcome), Some(Reason::Key), "{outcome:?}");
    }
}

/// Guards against orders that run although their key is outside the idempotency window.
#[tokio::test(start_paused = true)]
async fn keys_outside_the_window_are_refused() {
    let fleet = fleet(Mutation::None);
    for key in [
        uuid(fleet.true_ms() - 31_000, 1),
        uuid(fleet.true_ms() + 6_000, 2),
        "no key".to_owned(),
    ] {
        let outcome = submit(&fleet, 0, &key).await;
        assert_eq!(reason(&outcome), Some(Reason::Key), "{key}: {outcome:?}");
        assert_eq!(runs(&fleet, "a", &key), 0);
    }
}

/// Guards against false refusals, slow refusals and too many calls to the platform during a long
/// outage of the store.
#[tokio::test(start_paused = true)]
async fn store_outage_of_an_hour_refuses_and_recovers() {
    let fleet = fleet(Mutation::None);
    let key = uuid(fleet.true_ms(), 7);
    fleet.lock().outage = true;
    let mut longest = Duration::ZERO;
    for second in 0..3600 {
        let start = Instant::now();
        let refused = submit(&fleet, 0, &uuid(fleet.true_ms(), second << 16)).await;
        longest = longest.max(start.elapsed());
        assert_eq!(reason(&refused), Some(Reason::Store));
        let ticket = process(&fleet, 1).issue_ticket("a");
        assert_eq!(submit(&fleet, 2, &ticket).await.name(), "done");
        sleep(Duration::from_secs(1)).await;
    }
    let calls: u64 = fleet.lock().calls.values().sum();
    println!("an hour: {calls} calls to the platform, longest refusal {longest:?}");
    assert!(calls <= 2 * 3600, "{calls} calls for 3,600 orders");
    assert!(
        longest < Duration::from_secs(1),
        "a refusal took {longest:?}"
    );
    fleet.lock().outage = false;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(
        reason(&submit(&fleet, 0, &key).await),
        Some(Reason::Key),
        "too old by now"
    );
    let key = uuid(fleet.true_ms(), 7);
    assert_eq!(submit(&fleet, 1, &key).await.name(), "done");
}

/// Guards against a claim that is dispatched after its order was refused, or blocks its key.
///
/// The create of the batch takes effect, but its response is lost and the store then fails.
#[tokio::test(start_paused = true)]
async fn claim_found_later_is_settled() {
    let fleet = fleet(Mutation::None);
    let key = uuid(fleet.true_ms(), 7);
    let first = claimer(&fleet, &key, 0);
    assert_eq!(
        submit(&fleet, first, &uuid(fleet.true_ms(), 1))
            .await
            .name(),
        "done"
    );
    assert_eq!(
        submit(&fleet, first, &uuid(fleet.true_ms(), 2))
            .await
            .name(),
        "done"
    );
    sleep(Duration::from_secs(1)).await;
    fleet.lock().faults.lose_answer = 1.0;
    let attempt = tokio::spawn({
        let (fleet, key) = (fleet.clone(), key.clone());
        async move { submit(&fleet, first, &key).await }
    });
    sleep(Duration::from_millis(7)).await;
    fleet.lock().outage = true;
    let outcome = attempt.await.unwrap();
    assert_eq!(reason(&outcome), Some(Reason::Store), "{outcome:?}");
    let id = Identity::new("a", &key);
    assert!(
        fleet.lock().claims.contains_key(&id.0),
        "the claim took effect"
    );

    fleet.lock().faults.lose_answer = 0.0;
    fleet.lock().outage = false;
    sleep(Duration::from_secs(5)).await;
    // The holder recorded that it did not send the order, so another host may claim it.
    set_suspected(&fleet, first, true);
    assert_eq!(submit(&fleet, first, &key).await.name(), "done");
    assert_eq!(runs(&fleet, "a", &key), 1);
}

/// Guards against an order that runs again after its claimer died while the order was in flight.
#[tokio::test(start_paused = true)]
async fn order_of_a_dead_claimer_is_unknown() {
    let fleet = fleet(Mutation::None);
    let key = uuid(fleet.true_ms(), 7);
    let first = claimer(&fleet, &key, 0);
    let attempt = tokio::spawn({
        let (fleet, key) = (fleet.clone(), key.clone());
        async move { submit(&fleet, first, &key).await }
    });
    while runs(&fleet, "a", &key) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    fleet.kill(first);
    attempt.abort();
    set_suspected(&fleet, first, true);
    let other = claimer(&fleet, &key, 1);
    assert_eq!(submit(&fleet, other, &key).await.name(), "unknown");
    fleet.start_process(first);
    set_suspected(&fleet, first, false);
    assert_eq!(submit(&fleet, first, &key).await.name(), "unknown");
    assert_eq!(runs(&fleet, "a", &key), 1);
}

/// Guards against processing a duplicate of a message, or a message for another incarnation.
#[tokio::test(start_paused = true)]
async fn messages_are_accepted_once() {
    let fleet = fleet(Mutation::None);
    let key = uuid(fleet.true_ms(), 7);
    let host = claimer(&fleet, &key, 0);
    let first = process(&fleet, host);
    let message = peer::Order {
        id: request::Generator::new("root", Incarnation(1)).next(),
        target: fleet.id(host).incarnation,
        step: Step::Claim,
        key: key.clone().into(),
        caller: "a".into(),
        collection: COLLECTION.into(),
        action: "sharpen".into(),
        record: "stone".into(),
        rank: Rank::Urgent,
        budget_ms: 5_000,
        not_after_ms: fleet.true_ms() + 5_000,
        trace: order("a", &key).trace,
    };
    first.set_serving(false);
    assert_eq!(
        reason(&first.accept(message.clone()).await),
        Some(Reason::Stale)
    );
    first.set_serving(true);
    // A copy of a refused message must not run after the refusal.
    assert_eq!(first.accept(message.clone()).await.name(), "unknown");
    assert_eq!(runs(&fleet, "a", &key), 0);
    let mut elsewhere = peer::Order {
        id: request::Generator::new("root", Incarnation(2)).next(),
        target: Incarnation(99),
        ..message
    };
    // A message that is older than the process may have been processed by an earlier incarnation.
    assert_eq!(first.accept(elsewhere.clone()).await.name(), "unknown");
    elsewhere.not_after_ms += 2_000;
    assert_eq!(
        reason(&first.accept(elsewhere).await),
        Some(Reason::Unreachable)
    );
    assert_eq!(submit(&fleet, host, &key).await.name(), "done");
}

/// Guards against tickets that need the store, run twice, or are redeemed by another process.
#[tokio::test(start_paused = true)]
async fn tickets_work_without_the_store() {
    let fleet = fleet(Mutation::None);
    fleet.lock().outage = true;
    let ticket = process(&fleet, 0).issue_ticket("a");
    assert_eq!(submit(&fleet, 1, &ticket).await.name(), "done");
    assert_eq!(submit(&fleet, 2, &ticket).await.name(), "already-done");
    assert_eq!(submit(&fleet, 0, &ticket).await.name(), "already-done");
    assert_eq!(runs(&fleet, "a", &ticket), 1);
    assert!(fleet.lock().calls.is_empty(), "{:?}", fleet.lock().calls);

    let other = process(&fleet, 1).submit(order("b", &ticket)).await;
    assert_eq!(reason(&other), Some(Reason::Key), "another caller's ticket");
    let digit = if ticket.ends_with('0') { "1" } else { "0" };
    let forged = format!("{}{digit}", &ticket[..ticket.len() - 1]);
    assert_eq!(reason(&submit(&fleet, 1, &forged).await), Some(Reason::Key));
    let late = process(&fleet, 0).issue_ticket("a");
    sleep(Duration::from_secs(31)).await;
    assert_eq!(reason(&submit(&fleet, 1, &late).await), Some(Reason::Key));

    let unused = process(&fleet, 0).issue_ticket("a");
    fleet.kill(0);
    fleet.start_process(0);
    assert_eq!(submit(&fleet, 0, &unused).await.name(), "unknown");
    assert_eq!(submit(&fleet, 1, &unused).await.name(), "unknown");
    let asked = process(&fleet, 1).outcome("a", &unused).await;
    assert!(matches!(asked, Some(Outcome::Unknown { .. })), "{asked:?}");
}

/// Guards against a stop that aborts orders in flight.
#[tokio::test(start_paused = true)]
async fn drain_ends_every_order() {
    let fleet = fleet(Mutation::None);
    let key = uuid(fleet.true_ms(), 7);
    let host = claimer(&fleet, &key, 0);
    let attempt = tokio::spawn({
        let (fleet, key) = (fleet.clone(), key.clone());
        async move { submit(&fleet, host, &key).await }
    });
    sleep(Duration::from_millis(3)).await;
    process(&fleet, host).drain().await;
    assert_eq!(process(&fleet, host).stats().in_flight, 0);
    assert_eq!(attempt.await.unwrap().name(), "done");
    let refused = submit(&fleet, host, &uuid(fleet.true_ms(), 8)).await;
    assert_eq!(reason(&refused), Some(Reason::Stopping));
    fleet.kill(host);
    let other = claimer(&fleet, &key, 1);
    set_suspected(&fleet, host, true);
    assert_eq!(submit(&fleet, other, &key).await.name(), "already-done");
}

/// Guards against a refused order while the first dispatcher has just started and does not serve.
#[tokio::test(start_paused = true)]
async fn next_dispatcher_takes_the_order() {
    let fleet = fleet(Mutation::None);
    let service = Service {
        collection: COLLECTION.into(),
        index: 0,
    };
    let dispatchers = roster::dispatchers(&fleet.config.hosts, &service);
    let index = |position: usize| {
        let host: &Host = dispatchers[position];
        (0..HOSTS).find(|h| name(*h) == host.name).unwrap()
    };
    fleet.lock().hosts[index(0)].stale = true;
    let key = uuid(fleet.true_ms(), 7);
    assert_eq!(submit(&fleet, 0, &key).await.name(), "done");
    assert_eq!(runs(&fleet, "a", &key), 1);

    for position in 0..dispatchers.len() {
        fleet.lock().hosts[index(position)].stale = true;
    }
    let key = uuid(fleet.true_ms(), 8);
    let outcome = submit(&fleet, 0, &key).await;
    assert_eq!(reason(&outcome), Some(Reason::Refused), "{outcome:?}");
    assert_eq!(runs(&fleet, "a", &key), 0);
}

/// Guards against an order that is reported as unknown although its dispatcher did not run it.
#[tokio::test(start_paused = true)]
async fn refusal_of_a_dispatcher_is_told() {
    let fleet = fleet(Mutation::None);
    fleet.lock().faults.shed = 1.0;
    for host in 0..HOSTS {
        let key = uuid(fleet.true_ms(), 1 + host as u64);
        let refused = submit(&fleet, host, &key).await;
        assert_eq!(reason(&refused), Some(Reason::Refused), "{refused:?}");
    }
    fleet.lock().faults.shed = 0.0;
    let key = uuid(fleet.true_ms(), 1);
    assert_eq!(submit(&fleet, 0, &key).await.name(), "done");
}

/// Guards against an order that is lost when its first claimer stops or restarts.
#[tokio::test(start_paused = true)]
async fn next_claimer_takes_over_from_a_stopping_one() {
    let fleet = fleet(Mutation::None);
    let key = uuid(fleet.true_ms(), 7);
    let first = claimer(&fleet, &key, 0);
    process(&fleet, first).drain().await;
    let root = claimer(&fleet, &key, 1);
    assert_eq!(submit(&fleet, root, &key).await.name(), "done");
    // The other hosts do not know the new incarnation yet.
    sleep(Duration::from_secs(2)).await;
    fleet.kill(first);
    fleet.start_process(first);
    sleep(Duration::from_secs(2)).await;
    let next = uuid(fleet.true_ms(), 8);
    assert_eq!(submit(&fleet, root, &next).await.name(), "done");
}
