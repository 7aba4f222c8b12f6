//! Tests of the claim log: its size, deletions, and reads.

use std::time::Duration;

use rattanmast_model::outcome::{Outcome, Reason};
use rattanmast_order::{Settings, key::Identity, settings::Mutation};
use tokio::time::sleep;

use crate::{
    claims::{claimer, fleet, order, process, reason, runs, set_suspected, submit},
    sim::{self, Fleet, HOSTS, uuid},
};

/// Guards against a double run when a claimer that was idle for a while creates a batch at a
/// sequence number that another claimer used and compacted in the meantime.
#[tokio::test(start_paused = true)]
async fn deleted_batches_are_not_written_again() {
    for (mutation, expected) in [(Mutation::None, 1), (Mutation::Proof, 2)] {
        let settings = Settings {
            idempotency_window: Duration::from_secs(3600),
            idle_timeout: Duration::from_secs(3600),
            ..sim::settings(mutation)
        };
        let fleet = Fleet::new(1, settings);
        let key = uuid(fleet.true_ms(), 7);
        let partition = Identity::new("a", &key).partition();
        let (first, second) = (claimer(&fleet, &key, 0), claimer(&fleet, &key, 1));
        let now = fleet.true_ms();
        let in_partition = (0..).map(|r| uuid(now, 1000 + r));
        let in_partition = in_partition.filter(|k| Identity::new("a", k).partition() == partition);
        let keys: Vec<String> = in_partition.take(20).collect();
        assert_eq!(submit(&fleet, first, &keys[0]).await.name(), "done");
        sleep(Duration::from_secs(1)).await;
        set_suspected(&fleet, first, true);
        assert_eq!(submit(&fleet, second, &key).await.name(), "done");
        for key in &keys[1..] {
            assert_eq!(submit(&fleet, second, key).await.name(), "done");
            sleep(Duration::from_secs(1)).await;
        }
        sleep(Duration::from_secs(90)).await;
        set_suspected(&fleet, first, false);
        submit(&fleet, first, &key).await;
        assert_eq!(runs(&fleet, "a", &key), expected, "{mutation:?}");
    }
}

/// Guards against objects over the platform's size limit and unbounded memory.
#[tokio::test(start_paused = true)]
async fn batches_and_memory_are_bounded() {
    let settings = Settings {
        max_keys: 5_000,
        ..sim::settings(Mutation::None)
    };
    let fleet = Fleet::new(1, settings);
    let orders = (0..12_000).map(|n| {
        let (process, key) = (process(&fleet, 0), uuid(fleet.true_ms(), n << 20));
        async move {
            // Staggered, because more messages at one instant would be reordered by more than
            // the duplicate filter can tell apart.
            sleep(Duration::from_millis(n / 10)).await;
            process.submit(order("a", &key)).await
        }
    });
    // The simulated store panics on values over the limit.
    let outcomes = futures::future::join_all(orders).await;
    let full = outcomes
        .iter()
        .filter(|o| reason(o) == Some(Reason::Overload))
        .count();
    assert!(
        (1_900..2_100).contains(&full),
        "{full} of 12,000 refused with room for 10,000"
    );
    assert!(outcomes.iter().all(|o| o.name() != "unknown"));
    sleep(Duration::from_secs(60)).await;
    for host in 0..HOSTS {
        let key = uuid(fleet.true_ms(), 1 + host as u64);
        assert_eq!(submit(&fleet, host, &key).await.name(), "done");
        let keys = process(&fleet, host).stats().keys;
        assert!(keys < 20, "{keys} keys in memory after the window");
    }
}

/// Guards against a log that grows without bound, and keys that are lost in its compaction.
#[tokio::test(start_paused = true)]
async fn log_is_cut_and_keeps_its_keys() {
    let fleet = fleet(Mutation::None);
    let mut sizes = Vec::new();
    let mut keys = Vec::new();
    for second in 0..400 {
        let key = uuid(fleet.true_ms(), second << 16);
        assert_eq!(submit(&fleet, 0, &key).await.name(), "done");
        keys.push(key);
        sleep(Duration::from_secs(1)).await;
        sizes.push(fleet.stored());
    }
    assert!(
        sizes[399] < sizes[199] * 5 / 4,
        "{} then {} bytes",
        sizes[199],
        sizes[399]
    );
    // All processes restart, so the keys are in the log only.
    for host in 0..HOSTS {
        fleet.kill(host);
        fleet.start_process(host);
        fleet.announce(host);
    }
    sleep(Duration::from_secs(4)).await;
    for key in &keys[380..] {
        assert_eq!(submit(&fleet, 0, key).await.name(), "already-done");
    }
}

/// Guards against reading the whole log for each look-up of an unknown key.
#[tokio::test(start_paused = true)]
async fn look_ups_do_not_flood_the_platform() {
    let fleet = fleet(Mutation::None);
    let key = uuid(fleet.true_ms(), 7);
    assert_eq!(submit(&fleet, 0, &key).await.name(), "done");
    sleep(Duration::from_secs(2)).await;
    let partition = Identity::new("a", &key).partition();
    let keys = (0..).map(|n| uuid(fleet.true_ms(), 1000 + n));
    let keys = keys.filter(|k| Identity::new("a", k).partition() == partition);
    let calls_before: u64 = fleet.lock().calls.values().sum();
    for key in keys.take(100) {
        assert_eq!(process(&fleet, 1).outcome("a", &key).await, None);
    }
    let reads = fleet.lock().calls.values().sum::<u64>() - calls_before;
    assert!(reads <= 6, "{reads} calls for 100 look-ups within a second");
    let found = process(&fleet, 1).outcome("a", &key).await;
    assert!(matches!(found, Some(Outcome::Done { .. })), "{found:?}");
}
