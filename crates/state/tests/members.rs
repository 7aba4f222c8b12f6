//! Membership, leaving hosts and leaving leafs.

use std::time::Duration;

use rattanmast_model::{
    catalog::Hosts,
    exchange::{Digest, Liveness, MAX_RUMORS, Rumor},
    host::{Incarnation, Name, State},
    leaf,
};
use rattanmast_state::{member::Members, record};
use tokio::time::{Instant, advance};

#[expect(dead_code, reason = "each test file uses its own part")]
mod support;

use support::{Fleet, seconds};

const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

async fn ready(count: usize, seed: u64) -> Fleet {
    let fleet = Fleet::started(count, seed);
    fleet.until(PROPAGATION_LIMIT, Fleet::all_serve).await;
    seconds(5).await;
    fleet
}

fn usable_at_others(fleet: &Fleet, host: usize) -> usize {
    let name = &fleet.hosts[host].name;
    let others = fleet.nodes.iter().enumerate().filter(|(i, _)| *i != host);
    others.filter(|(_, n)| n.is_usable(name)).count()
}

/// Guards against slow detection of a killed host, which would still be sent work.
#[tokio::test(start_paused = true)]
async fn killed_host_is_suspected_everywhere() {
    for seed in 0..10 {
        let mut fleet = ready(9, seed).await;
        assert_eq!(usable_at_others(&fleet, 4), 8);
        fleet.kill(4);
        let took = fleet
            .until(Duration::from_secs(2), |f| usable_at_others(f, 4) == 0)
            .await;
        assert!(took.is_some(), "seed {seed}");
    }
}

/// Guards against a wrong suspicion that is not refuted.
#[tokio::test(start_paused = true)]
async fn wrong_suspicion_is_cleared() {
    let fleet = ready(9, 11).await;
    fleet.nodes[0].record_failure(&fleet.hosts[4].name);
    assert!(!fleet.nodes[0].is_usable(&fleet.hosts[4].name));
    let took = fleet
        .until(PROPAGATION_LIMIT, |f| usable_at_others(f, 4) == 8)
        .await;
    assert!(took.is_some());
    seconds(10).await;
    assert_eq!(usable_at_others(&fleet, 4), 8);
}

/// Guards against a restarted host that is still considered suspected or leaving.
#[tokio::test(start_paused = true)]
async fn restarted_host_is_told_from_its_last_run() {
    let mut fleet = ready(9, 12).await;
    let name = fleet.hosts[4].name.clone();
    let before = fleet.nodes[0].incarnation(&name);
    fleet.nodes[4].leave().await;
    let took = fleet
        .until(Duration::from_millis(100), |f| usable_at_others(f, 4) == 0)
        .await;
    assert!(took.is_some(), "peers were not notified");
    // It still replies while it drains, but remains marked as leaving.
    seconds(5).await;
    assert_eq!(usable_at_others(&fleet, 4), 0);
    fleet.kill(4);
    seconds(5).await;
    fleet.start(4);
    let took = fleet
        .until(PROPAGATION_LIMIT, |f| usable_at_others(f, 4) == 8)
        .await;
    assert!(took.is_some(), "new process is not used");
    assert!(fleet.nodes[0].incarnation(&name) > before);
}

/// Guards against digests that grow with the number of failed hosts.
#[tokio::test(start_paused = true)]
async fn digest_is_bounded() {
    let hosts = support::hosts(2_200, 8);
    let mut members = Members::new(hosts[0].name.clone(), Incarnation(1));
    members.set_roster(&hosts);
    for host in &hosts {
        members.record_failure(&host.name);
    }
    for _ in 0..1_000 {
        assert!(members.take_rumors(Some(&hosts[5].name)).len() <= MAX_RUMORS);
    }
}

/// Guards against rumors that circulate forever.
#[tokio::test(start_paused = true)]
async fn rumors_end() {
    let mut fleet = ready(9, 13).await;
    fleet.kill(4);
    seconds(120).await;
    fleet.network.lock().counting = true;
    seconds(60).await;
    let sent: u64 = fleet.network.lock().traffic.values().map(|t| t.sent).sum();
    // 8 hosts send and answer two messages per second; 200 bytes leave no room for rumors.
    assert!(sent < 8 * 60 * 4 * 200, "{sent} bytes");
}

fn rumor(host: &Name, incarnation: u64, counter: u32, state: Liveness) -> Rumor {
    Rumor {
        host: host.clone(),
        incarnation: Incarnation(incarnation),
        counter,
        state,
    }
}

fn digest(host: &Name, incarnation: u64) -> Digest {
    Digest {
        host: host.clone(),
        incarnation: Incarnation(incarnation),
        ..Digest::default()
    }
}

/// Guards against old rumors that override newer ones, in any order of arrival.
#[tokio::test(start_paused = true)]
async fn newer_rumors_win_in_any_order() {
    use Liveness::{Alive, Leaving, Suspect};
    let hosts = support::hosts(3, 3);
    let name = &hosts[1].name;
    let rumors = [
        (rumor(name, 1, 0, Suspect), false),
        (rumor(name, 1, 1, Alive), true),
        (rumor(name, 1, 1, Suspect), false),
        (rumor(name, 1, 2, Alive), true),
        (rumor(name, 1, 0, Leaving), false),
        (rumor(name, 2, 0, Alive), true),
        (rumor(name, 2, 0, Suspect), false),
    ];
    let now = Instant::now();
    for last in 0..rumors.len() {
        for first in 0..=last {
            let mut members = Members::new(hosts[0].name.clone(), Incarnation(1));
            members.set_roster(&hosts);
            let given = &rumors[..=last];
            for (rumor, _) in given[first..].iter().chain(&given[..first]) {
                members.merge_rumor(rumor, now);
            }
            assert_eq!(members.usable(name), rumors[last].1, "{last}, {first}");
        }
    }
}

/// Guards against a late message of an earlier incarnation that is attributed to the new one.
#[tokio::test(start_paused = true)]
async fn late_message_of_an_earlier_run_is_ignored() {
    let hosts = support::hosts(3, 3);
    let name = &hosts[1].name;
    let mut members = Members::new(hosts[0].name.clone(), Incarnation(1));
    members.set_roster(&hosts);
    members.merge_digest(&digest(name, 2), Instant::now());
    let leaving = Digest {
        leaving: true,
        ..digest(name, 1)
    };
    members.merge_digest(&leaving, Instant::now());
    assert!(members.usable(name));
    assert_eq!(members.incarnation(name), Some(Incarnation(2)));
}

/// Guards against preferring the platform's outdated list to newer evidence, and against ignoring
/// the list where there is no evidence.
#[tokio::test(start_paused = true)]
async fn platform_list_is_combined_with_evidence() {
    let hosts = support::hosts(4, 3);
    let mut members = Members::new(hosts[0].name.clone(), Incarnation(1));
    members.set_roster(&hosts);
    members.merge_host_list(&Hosts::default(), Instant::now());
    assert!(members.usable(&hosts[1].name));
    let list = Hosts {
        hosts: vec![
            (hosts[0].name.clone(), State::Live),
            (hosts[1].name.clone(), State::Live),
            (hosts[2].name.clone(), State::Leaving),
        ],
    };
    members.merge_host_list(&list, Instant::now());
    assert!(members.usable(&hosts[1].name));
    assert!(!members.usable(&hosts[2].name));
    assert!(!members.usable(&hosts[3].name));
    advance(Duration::from_secs(1)).await;
    members.merge_digest(&digest(&hosts[3].name, 1), Instant::now());
    assert!(members.usable(&hosts[3].name));
}

/// Guards against announcements of a leaving leaf that reach other hosts too late, or never expire.
#[tokio::test(start_paused = true)]
async fn leaving_leaf_is_known_everywhere() {
    for (count, seed) in [(9, 14), (60, 15)] {
        let fleet = ready(count, seed).await;
        fleet.network.lock().loss_share = 0.01;
        let leaf = leaf::Name::from("leaf-0007");
        fleet.nodes[3].announce_leaving([&leaf]);
        let all = |f: &Fleet| f.nodes.iter().all(|n| n.leaving_leafs() == [leaf.clone()]);
        let took = fleet.until(PROPAGATION_LIMIT, all).await;
        assert!(took.is_some(), "{count} hosts");
        seconds(61).await;
        assert!(fleet.nodes.iter().all(|n| n.leaving_leafs().is_empty()));
    }
}

/// Guards against traffic per host that grows with the fleet.
#[tokio::test(start_paused = true)]
async fn traffic_of_a_host_is_bounded() {
    for (count, seed) in [(9, 16), (60, 17), (150, 18)] {
        let fleet = ready(count, seed).await;
        seconds(20).await;
        fleet.network.lock().counting = true;
        seconds(20).await;
        let shared = fleet.network.lock();
        let busiest = shared.traffic.values().map(|t| t.sent + t.received).max();
        assert!(
            busiest <= Some(4 * 1024 * 20),
            "{count} hosts: {busiest:?} bytes in 20 s"
        );
    }
}

/// Guards against platform calls that grow with the fleet.
#[tokio::test(start_paused = true)]
async fn platform_calls_do_not_grow_with_the_fleet() {
    for (count, seed) in [(9, 19), (60, 20)] {
        let fleet = ready(count, seed).await;
        let before = fleet.store.calls();
        seconds(60).await;
        let calls = fleet.store.calls().total() - before.total();
        // 9 version reads per second, with an interval shortened by up to 5%, and 27 watches
        // every 30 s.
        assert!(
            calls <= 60 * 10 + 2 * 27 + 27,
            "{count} hosts: {calls} calls in 60 s"
        );
    }
}

/// Guards against an incarnation that stays unknown because no random exchange reaches the host.
#[tokio::test(start_paused = true)]
async fn sought_process_run_is_found() {
    let fleet = ready(60, 21).await;
    let unknown = |n: &support::Node| {
        fleet
            .hosts
            .iter()
            .find(|h| n.incarnation(&h.name).is_none())
    };
    for node in &fleet.nodes {
        let Some(host) = unknown(node) else { continue };
        let took = fleet
            .until(PROPAGATION_LIMIT, |_| {
                node.incarnation(&host.name).is_some()
            })
            .await;
        assert!(took.is_some());
    }
}

/// Guards against lists that do not reach the hosts that do not read the platform themselves.
#[tokio::test(start_paused = true)]
async fn lists_reach_all_hosts() {
    let fleet = ready(60, 22).await;
    let live = fleet.hosts.iter().map(|h| (h.name.clone(), State::Live));
    let mut hosts = Hosts {
        hosts: live.collect(),
    };
    hosts.hosts[7].1 = State::Leaving;
    fleet.store.write_now(
        record::HOSTS,
        &serde_json::to_vec(&hosts).expect("lists have JSON"),
    );
    let all_updated = |f: &Fleet| {
        let views = f.nodes.iter().map(|n| n.view().borrow().clone());
        views
            .into_iter()
            .all(|v| v.hosts.hosts.get(7).is_some_and(|h| h.1 == State::Leaving))
    };
    assert!(fleet.until(PROPAGATION_LIMIT, all_updated).await.is_some());
    let views = fleet.nodes.iter().map(|n| n.view().borrow().clone());
    assert!(
        views
            .into_iter()
            .all(|v| v.catalogs.len() == 4 && !v.leafs.leafs.is_empty())
    );
}
