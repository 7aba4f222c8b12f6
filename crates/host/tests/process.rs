//! Tests with real processes and sockets.
//!
//! Tests poll for events with a generous timeout and assert no durations. Only the expiry of a
//! lease is awaited by a sleep of fixed length.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod env;

use std::{
    cell::RefCell,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use env::{Env, SearchResult, key};
use futures::future::join_all;
use rattanmast_fakes::records;
use rattanmast_model::{
    outcome::{Outcome, Reason},
    range::KEY_SPACE,
};
use serde_json::json;
use tokio::time::sleep;

/// Exceeds the lease of a claim (2 s) and of a proof of the configuration (3 s).
const LEASE_EXPIRY_WAIT: Duration = Duration::from_secs(4);

impl Env {
    /// Checks that an answer holds exactly the records that it claims to cover, and returns whether
    /// the coverage is complete.
    fn check_answer(&self, text: &str, found: &SearchResult) -> bool {
        let Ok(found) = found else {
            return false;
        };
        let (answer, collection) = (&found.answer, self.data.preset.search_collection);
        let count = |range| records::count(collection, answer.snapshot, range);
        let missing: u64 = answer.missing.iter().copied().map(count).sum();
        assert_eq!(answer.total, count(KEY_SPACE));
        assert_eq!(answer.records, answer.total - missing);
        let mut expected_rows = records::rows(collection, answer.snapshot, KEY_SPACE, text);
        expected_rows.retain(|row| !answer.missing.iter().any(|r| r.contains(row.key)));
        assert_eq!(answer.rows, expected_rows);
        let covered = answer.coverage >= 1.0;
        assert_eq!(covered, answer.missing.is_empty());
        // Parsing JSON may round the last digit.
        let share = answer.records as f64 / answer.total as f64;
        assert!(answer.coverage <= share + f64::EPSILON);
        covered
    }

    /// Waits until `host` answers a search with full coverage.
    async fn wait_until_whole(&self, host: usize) {
        let text = records::term(7);
        let last = RefCell::new(String::new());
        let whole = async |e: &Env| {
            let found = e.search(host, &text).await;
            last.replace(format!("host {host}: {found:?}"));
            found.is_ok_and(|found| e.check_answer(&text, &found))
        };
        self.wait_until_or("a whole answer", whole, || last.borrow().clone())
            .await;
    }

    /// Checks the reported outcomes of all orders, once none of them is in flight.
    async fn check_orders(&self, keys: &[String], outcomes: &[&[Result<Outcome, String>]]) {
        self.wait_until_whole(1).await;
        let mut tally = std::collections::BTreeMap::<&str, u32>::new();
        for outcome in outcomes.iter().copied().flatten() {
            *tally
                .entry(outcome.as_ref().map_or("broken", Outcome::name))
                .or_default() += 1;
        }
        println!("outcomes: {tally:?}");
        for (n, key) in keys.iter().enumerate() {
            let outcomes_of_key: Vec<_> = outcomes.iter().map(|o| o[n].clone()).collect();
            self.check_order(key, &outcomes_of_key).await;
        }
        assert_eq!(
            self.refused_connections().await,
            0,
            "leafs refused connections"
        );
    }

    /// Checks that the reported outcomes of the order with `key` agree with how often it ran.
    async fn check_order(&self, key: &str, outcomes: &[Result<Outcome, String>]) {
        let runs = self.runs(key).await;
        assert!(runs <= 1, "{key} ran {runs} times");
        let any = |f: fn(&Outcome) -> bool| outcomes.iter().flatten().any(f);
        if any(|o| matches!(o, Outcome::Done { .. } | Outcome::AlreadyDone { .. })) {
            assert_eq!(runs, 1, "{key}: {outcomes:?}");
        }
        let not_run = |o: &Result<Outcome, String>| matches!(o, Ok(Outcome::NotRun { .. }));
        if outcomes.iter().all(not_run) {
            assert_eq!(runs, 0, "{key}: {outcomes:?}");
        }
    }
}

impl Env {
    /// Sends an order for each of `keys` to `host`, 1 ms apart, so that a fault hits them at
    /// different steps.
    async fn send_staggered(&self, keys: &[String], host: usize) -> Vec<Result<Outcome, String>> {
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

/// Guards against a host that reports ready but gives partial answers to its first requests.
#[tokio::test]
async fn queries_are_whole() {
    let env = Env::start("queries_are_whole", false).await;
    for host in 0..3 {
        let text = records::term(9);
        let found = env.search(host, &text).await.unwrap();
        assert!(env.check_answer(&text, &found), "{found:?}");
    }
}

/// Guards against an order that runs twice when it is sent to several hosts, at once or later.
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

/// Guards against answers that stay partial, or overstate their coverage, after one replica of
/// each shard is lost.
#[tokio::test]
async fn leafs_are_lost() {
    let env = Env::start("leafs_are_lost", false).await;
    env.wait_until_whole(0).await;
    env.leafs[1].kill();
    for host in 0..3 {
        env.wait_until_whole(host).await;
    }
    let key = key();
    let outcome = env.order(0, &key).await;
    env.check_order(&key, &[outcome]).await;
}

/// Guards against a replica without data that attracts all queries because it answers fastest.
#[tokio::test]
async fn replicas_are_empty() {
    let env = Env::start("replicas_are_empty", false).await;
    env.wait_until_whole(0).await;
    let empty = json!([[1, []]]);
    env.admin(&env.leafs[1], "/leafs/*/holdings", empty).await;
    for host in 0..3 {
        env.wait_until_whole(host).await;
    }
}

/// Guards against services and order keys that stay unserved after their host is killed.
#[tokio::test]
async fn a_host_is_killed() {
    let env = Env::start("a_host_is_killed", false).await;
    env.wait_until_whole(0).await;
    let keys: Vec<String> = (0..60).map(|_| key()).collect();
    let (orders, ()) = tokio::join!(env.send_staggered(&keys, 0), async {
        sleep(Duration::from_millis(30)).await;
        env.hosts[2].signal("KILL");
    });
    env.wait_until_whole(0).await;
    env.wait_until_whole(1).await;
    env.check_orders(&keys, &[&orders]).await;
    let done = async |e: &Env| {
        let key = key();
        let outcome = e.order(1, &key).await;
        let done = is_done(&outcome);
        e.check_order(&key, &[outcome]).await;
        done
    };
    env.wait_until("an order that is done", done).await;
}

/// Guards against an order that runs twice because its holder was paused past its lease.
#[tokio::test]
async fn hosts_are_paused_past_their_leases() {
    let env = Env::start("hosts_are_paused", false).await;
    // Each host claims different keys and dispatches to different services.
    for paused in 0..3 {
        let (second, third) = ((paused + 1) % 3, (paused + 2) % 3);
        let keys: Vec<String> = (0..40).map(|_| key()).collect();
        let pause = async {
            sleep(Duration::from_millis(20)).await;
            env.hosts[paused].signal("STOP");
            let before_expiry = join_all(keys.iter().map(|key| env.order(second, key))).await;
            sleep(LEASE_EXPIRY_WAIT).await;
            let after_expiry = join_all(keys.iter().map(|key| env.order(third, key))).await;
            env.hosts[paused].signal("CONT");
            (before_expiry, after_expiry)
        };
        let (first, (before_expiry, after_expiry)) =
            tokio::join!(env.send_staggered(&keys, paused), pause);
        for host in 0..3 {
            env.wait_until("a host that is ready", async |e| e.ready(host).await)
                .await;
            env.wait_until_whole(host).await;
        }
        env.check_orders(&keys, &[&first, &before_expiry, &after_expiry])
            .await;
    }
}

/// Guards against requests that are cut off or refused during a graceful stop or a start.
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
            // Like the load balancer, a caller checks readiness before it selects a host.
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
            env.wait_until("a host that is ready again", async |e| e.ready(host).await)
                .await;
        }
        sleep(Duration::from_millis(300)).await;
        finished.store(true, Ordering::Relaxed);
    };
    let (answers, ()) = tokio::join!(join_all((0..6).map(load)), restarts);
    println!("answers by caller and host: {answers:?}");
    assert!(answers.iter().flatten().all(|n| *n > 0), "{answers:?}");
    assert_eq!(
        env.refused_connections().await,
        0,
        "leafs refused connections"
    );
}

/// Guards against queries and orders with tickets that fail while the platform is down, and
/// against orders that run without a claim.
#[tokio::test]
async fn the_platform_is_down_for_a_while() {
    let env = Env::start("the_platform_is_down", false).await;
    env.wait_until_whole(0).await;
    env.admin(&env.platform, "/faults", json!({"down": true}))
        .await;
    // By then, the proof of the configuration from before the outage has expired.
    sleep(LEASE_EXPIRY_WAIT).await;
    for host in 0..3 {
        env.wait_until("a host that is ready", async |e| e.ready(host).await)
            .await;
        env.wait_until_whole(host).await;
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
    env.wait_until("an order that is done", done).await;
}

/// Guards against queries that fail after the platform is lost permanently.
#[tokio::test]
async fn the_platform_is_killed() {
    let env = Env::start("the_platform_is_killed", false).await;
    env.wait_until_whole(0).await;
    env.platform.kill();
    sleep(LEASE_EXPIRY_WAIT).await;
    for host in 0..3 {
        env.wait_until("a host that is ready", async |e| e.ready(host).await)
            .await;
        env.wait_until_whole(host).await;
    }
}

/// Guards against an order that runs twice, or is reported as not run, because its reply was lost.
#[tokio::test]
async fn replies_are_lost() {
    let env = Env::start("replies_are_lost", true).await;
    let proxy = env.proxy.as_ref().unwrap();
    env.wait_until_whole(0).await;
    env.admin(proxy, "/routes/*/faults", json!({"lose_reply": 0.2}))
        .await;
    let keys: Vec<String> = (0..60).map(|_| key()).collect();
    let first = env.send_staggered(&keys, 0).await;
    assert!(first.iter().any(is_unknown), "{first:?}");
    let retried = join_all(keys.iter().map(|key| env.order(1, key))).await;
    let text = records::term(5);
    for host in 0..3 {
        let found = env.search(host, &text).await.unwrap();
        env.check_answer(&text, &found);
    }
    env.admin(
        proxy,
        "/routes/*/faults",
        json!({"close_after_request": 0.2}),
    )
    .await;
    let closed: Vec<String> = (0..60).map(|_| key()).collect();
    let outcomes = env.send_staggered(&closed, 2).await;
    assert!(outcomes.iter().any(is_unknown), "{outcomes:?}");
    env.admin(proxy, "/routes/*/faults", json!({})).await;
    env.check_orders(&keys, &[&first, &retried]).await;
    env.check_orders(&closed, &[&outcomes]).await;
}

/// Guards against orders that run twice, or are reported as not run, because the platform's reply
/// to a claim was lost after it took effect, while the network to the leafs is slow and lossy.
#[tokio::test]
async fn the_platform_loses_answers() {
    let env = Env::start("the_platform_loses_answers", true).await;
    let proxy = env.proxy.as_ref().unwrap();
    env.wait_until_whole(0).await;
    env.admin(&env.platform, "/faults", json!({"lose_answer": 0.5}))
        .await;
    let slow = json!({"delay_ms": 20, "jitter_ms": 40});
    env.admin(proxy, "/routes/*/faults", slow).await;
    let keys: Vec<String> = (0..60).map(|_| key()).collect();
    let first = env.send_staggered(&keys, 0).await;
    let dropped = json!({"delay_ms": 20, "drop_to_client": true});
    env.admin(proxy, "/routes/*/faults", dropped).await;
    let unanswered: Vec<String> = (0..30).map(|_| key()).collect();
    let outcomes = env.send_staggered(&unanswered, 2).await;
    env.admin(proxy, "/routes/*/faults", json!({})).await;
    env.admin(&env.platform, "/faults", json!({})).await;
    let retried = join_all(keys.iter().map(|key| env.order(1, key))).await;
    let either_done = |(first, retried): (&Result<Outcome, String>, &Result<Outcome, String>)| {
        is_done(first) || is_done(retried)
    };
    assert!(
        first.iter().zip(&retried).any(either_done),
        "{first:?} {retried:?}"
    );
    env.check_orders(&keys, &[&first, &retried]).await;
    env.check_orders(&unanswered, &[&outcomes]).await;
}

/// Guards against connections to leafs that stop responding and stall all later queries.
#[tokio::test]
async fn connections_to_leafs_go_silent() {
    let env = Env::start("connections_go_silent", true).await;
    let proxy = env.proxy.as_ref().unwrap();
    for host in 0..3 {
        env.wait_until_whole(host).await;
    }
    env.admin(proxy, "/routes/*/silence", json!({})).await;
    let keys: Vec<String> = (0..10).map(|_| key()).collect();
    let outcomes = env.send_staggered(&keys, 0).await;
    for host in 0..3 {
        env.wait_until_whole(host).await;
    }
    env.check_orders(&keys, &[&outcomes]).await;
}

/// Guards against answers that mix snapshots, or overstate their coverage, while data moves and is
/// replaced.
#[tokio::test]
async fn data_moves_while_queries_run() {
    let env = Env::start("data_moves", false).await;
    let collection = env.data.preset.search_collection;
    let finished = AtomicBool::new(false);
    let text = records::term(11);
    let load = async |host: usize| {
        let mut answers = 0;
        while !finished.load(Ordering::Relaxed) {
            let found = env.search(host, &text).await.unwrap();
            env.check_answer(&text, &found);
            answers += u32::from(found.is_ok());
        }
        answers
    };
    let moves = async {
        let mut data = env.data.clone();
        for round in 0..12 {
            let part = (round * 7) % 18;
            data.split_part(collection, part);
            data.move_part(collection, part + 1, u16::try_from(round).unwrap());
            data.merge_parts(collection, part);
            if round % 3 == 2 {
                data.publish(collection);
            }
            env.place_data(&data, collection).await;
            sleep(Duration::from_millis(100)).await;
        }
        finished.store(true, Ordering::Relaxed);
        data.newest(collection).snapshot
    };
    let (answers, newest) = tokio::join!(join_all((0..3).map(load)), moves);
    println!("answers by host: {answers:?}");
    assert!(answers.iter().all(|n| *n > 0), "{answers:?}");
    let is_newest = async |e: &Env| match e.search(0, &text).await {
        Ok(found) => e.check_answer(&text, &found) && found.unwrap().answer.snapshot == newest,
        Err(_) => false,
    };
    env.wait_until("a whole answer from the newest snapshot", is_newest)
        .await;
}
