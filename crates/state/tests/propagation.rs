//! Propagation of configurations between hosts.

#[expect(dead_code, reason = "each test file uses its own part")]
mod support;

use std::time::Duration;

use support::{Fleet, seconds};

/// Guards against a host that serves before it has proof, or never does.
#[tokio::test(start_paused = true)]
async fn hosts_serve_once_they_have_proof() {
    let fleet = Fleet::started(9, 1);
    assert!(!(0..9).any(|i| fleet.serving(i)));
    let took = fleet.until(Duration::from_secs(3), Fleet::all_serve).await;
    assert!(took.is_some());
    assert!(fleet.all_have(1));
}

/// Guards against slow or incomplete propagation with lost messages, and against a version that
/// goes back at any host.
#[tokio::test(start_paused = true)]
async fn changes_reach_all_hosts_despite_loss() {
    let fleet = Fleet::started(9, 2);
    fleet.net.lock().loss = 0.01;
    fleet.until(Duration::from_secs(3), Fleet::all_serve).await;
    for version in 2..30 {
        fleet.put(version);
        let took = fleet
            .until(Duration::from_secs(3), |f| f.all_have(version))
            .await;
        assert!(took.is_some(), "version {version} did not reach all hosts");
        assert!(fleet.all_serve());
        seconds(2).await;
        assert!((0..9).all(|i| fleet.version(i) == version));
    }
}
