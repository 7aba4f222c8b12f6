//! Tests with real processes and sockets.
//!
//! Events are awaited for as long as a busy machine needs; no test asserts a
//! time. A wait of fixed length stands only where a lease has to run out.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod env;

use std::{
    cell::RefCell,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use env::{Env, Found, key};
use futures::future::join_all;
use rattanmast_fakes::records;
use rattanmast_model::{
    outcome::{Outcome, Reason},
    range::SPACE,
};
use serde_json::json;
use tokio::time::sleep;

/// Longer than a claim (2 s) and a proof of the configuration (3 s) hold.
const LEASES: Duration = Duration::from_secs(4);

impl Env {
    /// Checks that an answer is exactly what it claims to cover; tells whether it is whole.
    fn whole(&self, text: &str, found: &Found) -> bool {
        let Ok(found) = found else {
            return false;
        };
        let (answer, collection) = (&found.answer, self.data.preset.searched);
        let count = |range| records::count(collection, answer.snapshot, range);
        let missing: u64 = answer.missing.iter().copied().map(count).sum();
        assert_eq!(answer.total, count(SPACE));
        assert_eq!(answer.records, answer.total - missing);
        let mut truth = records::rows(collection, answer.snapshot, SPACE, text);
        truth.retain(|row| !answer.missing.iter().any(|r| r.contains(row.key)));
        assert_eq!(answer.rows, truth);
        let covered = answer.coverage >= 1.0;
        assert_eq!(covered, answer.missing.is_empty());
        // Reading JSON may round the last digit.
        let share = answer.records as f64 / answer.total as f64;
        assert!(answer.coverage <= share + f64::EPSILON);
        covered
    }

    /// Waits until `host` answers a search wholly.
    async fn until_whole(&self, host: usize) {
        let text = records::term(7);
        let last = RefCell::new(String::new());
        let whole = async |e: &Env| {
            let found = e.search(host, &text).await;
            last.replace(format!("host {host}: {found:?}"));
            found.is_ok_and(|found| e.whole(&text, &found))
        };
        self.until_or("a whole answer", whole, || last.borrow().clone())
            .await;
    }

    /// Checks what was said of each order, once nothing of them is in flight any more.
    async fn check_all(&self, keys: &[String], outcomes: &[&[Result<Outcome, String>]]) {
        self.until_whole(1).await;
        let mut tally = std::collections::BTreeMap::<&str, u32>::new();
        for outcome in outcomes.iter().copied().flatten() {
            *tally
                .entry(outcome.as_ref().map_or("broken", Outcome::name))
                .or_default() += 1;
        }
        println!("outcomes: {tally:?}");
        for (n, key) in keys.iter().enumerate() {
            let said: Vec<_> = outcomes.iter().map(|o| o[n].clone()).collect();
            self.check(key, &said).await;
        }
        assert_eq!(self.refused().await, 0, "leafs refused connections");
    }

    /// Checks that what was said of the orders with `key` agrees with what ran.
    async fn check(&self, key: &str, outcomes: &[Result<Outcome, String>]) {
        let runs = self.runs(key).await;
        assert!(runs <= 1, "{key} ran {runs} times");
        let said = |f: fn(&Outcome) -> bool| outcomes.iter().flatten().any(f);
        if said(|o| matches!(o, Outcome::Done { .. } | Outcome::AlreadyDone { .. })) {
            assert_eq!(runs, 1, "{key}: {outcomes:?}");
        }
        let not_run = |o: &Result<Outcome, String>| matches!(o, Ok(Outcome::NotRun { .. }));
        if outcomes.iter().all(not_run) {
            assert_eq!(runs, 0, "{key}: {outcomes:?}");
        }
    }
}

impl Env {
    /// Sends an order for each of `keys` to `host`, 1 ms apart, so that a fault meets them at all steps.
    async fn spread(&self, keys: &[String], host: usize) -> Vec<Result<Outcome, String>> {
        let sent = keys.iter().zip(0_u64..).map(|(key, n)| async move {
            sleep(Duration::from_millis(n)).await;
            self.order(host, key).await
        });
        join_all(sent).await
    }
}

fn is_unknown(outcome: &Result<Outcome, String>) -> bool {
    matches!(outcome, Ok(Outcome::Unknown { .. }))
}

fn is_done(outcome: &Result<Outcome, String>) -> bool {
    matches!(outcome, Ok(Outcome::Done { .. }))
}

/// Guards against a host that is ready but does not answer wholly from its first request on.
#[tokio::test]
async fn queries_are_whole() {
    let env = Env::start("queries_are_whole", false).await;
    for host in 0..3 {
        let text = records::term(9);
        let found = env.search(host, &text).await.unwrap();
        assert!(env.whole(&text, &found), "{found:?}");
    }
}

/// Guards against a second run of an order that is sent to several hosts, at once or later.
#[tokio::test]
async fn an_order_runs_once() {
    let env = Env::start("an_order_runs_once", false).await;
    let key = key();
    let first = join_all((0..3).map(|host| env.order(host, &key))).await;
    assert_eq!(first.iter().filter(|o| is_done(o)).count(), 1, "{first:?}");
    let later = join_all((0..3).map(|host| env.order(host, &key))).await;
    let already = |o: &Result<Outcome, String>| matches!(o, Ok(Outcome::AlreadyDone { .. }));
    assert!(later.iter().all(already), "{later:?}");
    assert_eq!(env.runs(&key).await, 1);
}

/// Guards against answers that stay partial, or claim too much, when one replica of each shard is lost.
#[tokio::test]
async fn leafs_are_lost() {
    let env = Env::start("leafs_are_lost", false).await;
    env.until_whole(0).await;
    env.leafs[1].kill();
    for host in 0..3 {
        env.until_whole(host).await;
    }
    let key = key();
    let outcome = env.order(0, &key).await;
    env.check(&key, &[outcome]).await;
}

/// Guards against a replica that holds none of its data, answers fastest and so attracts all queries.
#[tokio::test]
async fn replicas_are_empty() {
    let env = Env::start("replicas_are_empty", false).await;
    env.until_whole(0).await;
    let empty = json!([[1, []]]);
    env.admin(&env.leafs[1], "/leafs/*/holdings", empty).await;
    for host in 0..3 {
        env.until_whole(host).await;
    }
}

/// Guards against a host whose death leaves its share of the services or of the keys without service.
#[tokio::test]
async fn a_host_is_killed() {
    let env = Env::start("a_host_is_killed", false).await;
    env.until_whole(0).await;
    let keys: Vec<String> = (0..60).map(|_| key()).collect();
    let (orders, ()) = tokio::join!(env.spread(&keys, 0), async {
        sleep(Duration::from_millis(30)).await;
        env.hosts[2].signal("KILL");
    });
    env.until_whole(0).await;
    env.until_whole(1).await;
    env.check_all(&keys, &[&orders]).await;
    let done = async |e: &Env| {
        let key = key();
        let outcome = e.order(1, &key).await;
        let done = is_done(&outcome);
        e.check(&key, &[outcome]).await;
        done
    };
    env.until("an order that is done", done).await;
}

/// Guards against an order that runs twice because its holder was paused past its lease.
#[tokio::test]
async fn hosts_are_paused_past_their_leases() {
    let env = Env::start("hosts_are_paused", false).await;
    // Each host has other roles: it claims other keys and dispatches to other services.
    for paused in 0..3 {
        let (second, third) = ((paused + 1) % 3, (paused + 2) % 3);
        let keys: Vec<String> = (0..40).map(|_| key()).collect();
        let again = async {
            sleep(Duration::from_millis(20)).await;
            env.hosts[paused].signal("STOP");
            let early = join_all(keys.iter().map(|key| env.order(second, key))).await;
            sleep(LEASES).await;
            let late = join_all(keys.iter().map(|key| env.order(third, key))).await;
            env.hosts[paused].signal("CONT");
            (early, late)
        };
        let (first, (early, late)) = tokio::join!(env.spread(&keys, paused), again);
        for host in 0..3 {
            env.until("a host that is ready", async |e| e.ready(host).await)
                .await;
            env.until_whole(host).await;
        }
        env.check_all(&keys, &[&first, &early, &late]).await;
    }
}

/// Guards against a planned stop or a new start that cuts off or refuses a request.
#[tokio::test]
async fn a_rolling_restart_cuts_nothing_off() {
    let env = Env::start("a_rolling_restart", false).await;
    let finished = AtomicBool::new(false);
    let text = records::term(3);
    let load = async |first: usize| {
        let mut answers = [0; 3];
        for host in (0..3).cycle().skip(first) {
            if finished.load(Ordering::Relaxed) {
                break;
            }
            // As the balancer does, a caller looks at readiness before it chooses a host.
            if !env.ready(host).await {
                sleep(Duration::from_millis(5)).await;
                continue;
            }
            let found = env.search(host, &text).await;
            let found = found.unwrap_or_else(|e| panic!("host {host}: {e}"));
            assert!(found.is_ok(), "host {host}: {found:?}");
            let outcome = env.order(host, &key()).await;
            assert!(is_done(&outcome), "host {host}: {outcome:?}");
            answers[host] += 1;
        }
        answers
    };
    let restarts = async {
        for host in 0..3 {
            sleep(Duration::from_millis(300)).await;
            env.restart(host).await;
            env.until("a host that is ready again", async |e| e.ready(host).await)
                .await;
        }
        sleep(Duration::from_millis(300)).await;
        finished.store(true, Ordering::Relaxed);
    };
    let (answers, ()) = tokio::join!(join_all((0..6).map(load)), restarts);
    println!("answers by caller and host: {answers:?}");
    assert!(answers.iter().flatten().all(|n| *n > 0), "{answers:?}");
    assert_eq!(env.refused().await, 0, "leafs refused connections");
}

/// Guards against queries and tickets that need the platform, and orders that run without a claim.
#[tokio::test]
async fn the_platform_is_down_for_a_while() {
    let env = Env::start("the_platform_is_down", false).await;
    env.until_whole(0).await;
    env.admin(&env.platform, "/faults", json!({"down": true}))
        .await;
    // The proof of the configuration from before the outage has run out after this.
    sleep(LEASES).await;
    for host in 0..3 {
        env.until("a host that is ready", async |e| e.ready(host).await)
            .await;
        env.until_whole(host).await;
    }
    let claimed = key();
    let outcome = env.order(0, &claimed).await.unwrap();
    let refused = matches!(
        &outcome,
        Outcome::NotRun {
            reason: Reason::Store,
            ..
        }
    );
    assert!(refused, "{outcome:?}");
    assert_eq!(env.runs(&claimed).await, 0);
    let ticket = env.ticket(1).await;
    let outcome = env.order(0, &ticket).await;
    assert!(is_done(&outcome), "{outcome:?}");
    assert_eq!(env.runs(&ticket).await, 1);
    env.admin(&env.platform, "/faults", json!({})).await;
    let done = async |e: &Env| is_done(&e.order(0, &key()).await);
    env.until("an order that is done", done).await;
}

/// Guards against a platform that has gone for good and takes queries with it.
#[tokio::test]
async fn the_platform_is_killed() {
    let env = Env::start("the_platform_is_killed", false).await;
    env.until_whole(0).await;
    env.platform.kill();
    sleep(LEASES).await;
    for host in 0..3 {
        env.until("a host that is ready", async |e| e.ready(host).await)
            .await;
        env.until_whole(host).await;
    }
}

/// Guards against an order that is sent again, or called not run, because its reply was lost.
#[tokio::test]
async fn replies_are_lost() {
    let env = Env::start("replies_are_lost", true).await;
    let proxy = env.proxy.as_ref().unwrap();
    env.until_whole(0).await;
    env.admin(proxy, "/routes/*/faults", json!({"lose_reply": 0.2}))
        .await;
    let keys: Vec<String> = (0..60).map(|_| key()).collect();
    let first = env.spread(&keys, 0).await;
    assert!(first.iter().any(is_unknown), "{first:?}");
    let again = join_all(keys.iter().map(|key| env.order(1, key))).await;
    let text = records::term(5);
    for host in 0..3 {
        let found = env.search(host, &text).await.unwrap();
        env.whole(&text, &found);
    }
    env.admin(
        proxy,
        "/routes/*/faults",
        json!({"close_after_request": 0.2}),
    )
    .await;
    let closed: Vec<String> = (0..60).map(|_| key()).collect();
    let outcomes = env.spread(&closed, 2).await;
    assert!(outcomes.iter().any(is_unknown), "{outcomes:?}");
    env.admin(proxy, "/routes/*/faults", json!({})).await;
    env.check_all(&keys, &[&first, &again]).await;
    env.check_all(&closed, &[&outcomes]).await;
}

/// Guards against orders that run twice, or are called not run, because the platform's answer to
/// a claim was lost after it took effect, while the ways to the leafs are slow and lose bytes.
#[tokio::test]
async fn the_platform_loses_answers() {
    let env = Env::start("the_platform_loses_answers", true).await;
    let proxy = env.proxy.as_ref().unwrap();
    env.until_whole(0).await;
    env.admin(&env.platform, "/faults", json!({"lose_answer": 0.5}))
        .await;
    let slow = json!({"delay_ms": 20, "jitter_ms": 40});
    env.admin(proxy, "/routes/*/faults", slow).await;
    let keys: Vec<String> = (0..60).map(|_| key()).collect();
    let first = env.spread(&keys, 0).await;
    let dropped = json!({"delay_ms": 20, "drop_to_client": true});
    env.admin(proxy, "/routes/*/faults", dropped).await;
    let unanswered: Vec<String> = (0..30).map(|_| key()).collect();
    let outcomes = env.spread(&unanswered, 2).await;
    env.admin(proxy, "/routes/*/faults", json!({})).await;
    env.admin(&env.platform, "/faults", json!({})).await;
    let again = join_all(keys.iter().map(|key| env.order(1, key))).await;
    let settled = |(first, again): (&Result<Outcome, String>, &Result<Outcome, String>)| {
        is_done(first) || is_done(again)
    };
    assert!(first.iter().zip(&again).any(settled), "{first:?} {again:?}");
    env.check_all(&keys, &[&first, &again]).await;
    env.check_all(&unanswered, &[&outcomes]).await;
}

/// Guards against connections to leafs that go silent and stall all later queries.
#[tokio::test]
async fn connections_to_leafs_go_silent() {
    let env = Env::start("connections_go_silent", true).await;
    let proxy = env.proxy.as_ref().unwrap();
    for host in 0..3 {
        env.until_whole(host).await;
    }
    env.admin(proxy, "/routes/*/silence", json!({})).await;
    let keys: Vec<String> = (0..10).map(|_| key()).collect();
    let outcomes = env.spread(&keys, 0).await;
    for host in 0..3 {
        env.until_whole(host).await;
    }
    env.check_all(&keys, &[&outcomes]).await;
}

/// Guards against answers that mix snapshots or claim too much while data moves and is replaced.
#[tokio::test]
async fn data_moves_while_queries_run() {
    let env = Env::start("data_moves", false).await;
    let collection = env.data.preset.searched;
    let finished = AtomicBool::new(false);
    let text = records::term(11);
    let load = async |host: usize| {
        let mut answers = 0;
        while !finished.load(Ordering::Relaxed) {
            let found = env.search(host, &text).await.unwrap();
            env.whole(&text, &found);
            answers += u32::from(found.is_ok());
        }
        answers
    };
    let moves = async {
        let mut data = env.data.clone();
        for round in 0..12 {
            let part = (round * 7) % 18;
            data.split(collection, part);
            data.shift(collection, part + 1, u16::try_from(round).unwrap());
            data.merge(collection, part);
            if round % 3 == 2 {
                data.publish(collection);
            }
            env.place(&data, collection).await;
            sleep(Duration::from_millis(100)).await;
        }
        finished.store(true, Ordering::Relaxed);
        data.newest(collection).snapshot
    };
    let (answers, newest) = tokio::join!(join_all((0..3).map(load)), moves);
    println!("answers by host: {answers:?}");
    assert!(answers.iter().all(|n| *n > 0), "{answers:?}");
    let fresh = async |e: &Env| match e.search(0, &text).await {
        Ok(found) => e.whole(&text, &found) && found.unwrap().answer.snapshot == newest,
        Err(_) => false,
    };
    env.until("a whole answer from the newest snapshot", fresh)
        .await;
}
