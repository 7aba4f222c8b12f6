//! Proof that a configuration is in force.

use std::time::Duration;

use rattanmast_model::{exchange::Source, host::Name, store::Version};
use rattanmast_state::proof::{Ledger, MAX_AGE};
use tokio::time::{Instant, advance};

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|i| Name::from(format!("w{i}"))).collect()
}

const SECOND: Duration = Duration::from_secs(1);

/// Guards against serving without a proof, or with an expired one.
#[tokio::test(start_paused = true)]
async fn proof_expires() {
    let mut ledger = Ledger::new(Instant::now());
    ledger.set_held(Version(5));
    assert!(!ledger.proof(Instant::now()).serving());
    ledger.record_proof(Version(5), Instant::now(), Source::Platform);
    advance(MAX_AGE).await;
    assert!(ledger.proof(Instant::now()).serving());
    advance(Duration::from_millis(1)).await;
    assert!(!ledger.proof(Instant::now()).serving());
    assert_eq!(ledger.proof_for_reply(Instant::now()), None);
}

/// Guards against an old configuration that is proven by the proof of a newer one.
#[tokio::test(start_paused = true)]
async fn newer_version_proves_nothing_until_it_is_held() {
    let mut ledger = Ledger::new(Instant::now());
    ledger.set_held(Version(5));
    ledger.record_proof(Version(6), Instant::now(), Source::Platform);
    assert!(!ledger.proof(Instant::now()).serving());
    assert!(ledger.is_behind());
    ledger.set_held(Version(6));
    assert!(ledger.proof(Instant::now()).serving());
    assert!(!ledger.is_behind());
}

/// Guards against counting a restarted watcher that may have lost a configuration that it helped
/// to accept: the previous incarnation held it, and the proof is from before the restart.
#[tokio::test(start_paused = true)]
async fn proof_from_before_the_start_does_not_inform() {
    let before = Instant::now();
    advance(SECOND).await;
    let mut ledger = Ledger::new(Instant::now());
    ledger.set_held(Version(5));
    ledger.record_proof(Version(5), before, Source::Platform);
    assert!(ledger.proof(Instant::now()).serving());
    assert!(!ledger.informed());
    advance(SECOND).await;
    ledger.record_proof(Version(5), Instant::now(), Source::Watchers);
    assert!(ledger.informed());
}

/// Guards against a proof by half of the watchers: the other half may hold a newer configuration.
#[tokio::test(start_paused = true)]
async fn half_of_the_watchers_is_not_enough() {
    let watchers = names(4);
    let me = Name::from("other");
    let mut ledger = Ledger::new(Instant::now());
    ledger.set_held(Version(5));
    for name in &watchers[..2] {
        ledger.record_watcher(name, Version(5), Instant::now());
    }
    ledger.record_majority_proof(&watchers, &me, Instant::now());
    assert!(!ledger.proof(Instant::now()).serving());
    ledger.record_watcher(&watchers[2], Version(5), Instant::now());
    ledger.record_majority_proof(&watchers, &me, Instant::now());
    assert!(ledger.proof(Instant::now()).serving());
}

/// Guards against a proof with the age of the latest report instead of the oldest one that the
/// majority needs.
#[tokio::test(start_paused = true)]
async fn majority_is_as_old_as_its_oldest_statement() {
    let watchers = names(3);
    let mut ledger = Ledger::new(Instant::now());
    ledger.set_held(Version(5));
    ledger.record_watcher(&watchers[0], Version(5), Instant::now());
    advance(2 * SECOND).await;
    ledger.record_watcher(&watchers[1], Version(5), Instant::now());
    ledger.record_majority_proof(&watchers, &Name::from("other"), Instant::now());
    assert_eq!(ledger.proof(Instant::now()).age, Some(2 * SECOND));
}

/// Guards against a proof while a watcher reports a newer version.
#[tokio::test(start_paused = true)]
async fn highest_version_of_the_watchers_counts() {
    let watchers = names(3);
    let mut ledger = Ledger::new(Instant::now());
    ledger.set_held(Version(5));
    for (name, version) in watchers.iter().zip([5, 6, 5]) {
        ledger.record_watcher(name, Version(version), Instant::now());
    }
    ledger.record_majority_proof(&watchers, &Name::from("other"), Instant::now());
    assert!(!ledger.proof(Instant::now()).serving());
    assert!(ledger.is_behind());
}

/// Guards against an uninformed watcher that counts itself.
#[tokio::test(start_paused = true)]
async fn uninformed_watcher_does_not_count_itself() {
    let watchers = names(3);
    let mut ledger = Ledger::new(Instant::now());
    ledger.set_held(Version(5));
    ledger.record_watcher(&watchers[1], Version(5), Instant::now());
    ledger.record_majority_proof(&watchers, &watchers[0], Instant::now());
    assert!(!ledger.proof(Instant::now()).serving());
}
