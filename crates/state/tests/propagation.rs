//! Propagation of configurations, and proof that they are in force, under faults.

use std::time::Duration;

use rattanmast_fakes::store::Faults;
use rattanmast_model::roster;

mod support;

use support::{Fleet, Node, seconds};

const LIMIT: Duration = Duration::from_secs(3);

async fn ready(count: usize, seed: u64) -> Fleet {
    let fleet = Fleet::started(count, seed);
    let took = fleet.until(LIMIT, Fleet::all_serve).await;
    assert!(took.is_some(), "hosts do not serve after the start");
    fleet
}

fn outage(fleet: &Fleet, down: bool) {
    let faults = Faults {
        down,
        ..Faults::default()
    };
    fleet.store.set_faults(faults);
}

/// Fails the test when the configuration at a node goes back.
async fn follow(node: Node) {
    let mut view = node.view();
    let mut last = 0;
    while view.changed().await.is_ok() {
        let version = view.borrow_and_update().config.version.0;
        assert!(
            version >= last,
            "version went back from {last} to {version}"
        );
        last = version;
    }
}

/// Guards against a host that serves before it has proof, or never does.
#[tokio::test(start_paused = true)]
async fn hosts_serve_once_they_have_proof() {
    let fleet = Fleet::started(9, 1);
    assert!(!(0..9).any(|i| fleet.serving(i)));
    let took = fleet.until(LIMIT, Fleet::all_serve).await;
    assert!(took.is_some());
    assert!(fleet.all_have(1));
}

/// Guards against slow propagation where most hosts are cut off from the platform and messages
/// are lost, repeated and late, and against a version that goes back at any host.
#[tokio::test(start_paused = true)]
async fn changes_reach_all_hosts_through_peers() {
    let fleet = ready(9, 2).await;
    let followers: Vec<_> = fleet
        .nodes
        .iter()
        .map(|n| tokio::spawn(follow(n.clone())))
        .collect();
    fleet.net.lock().loss = 0.01;
    fleet.net.lock().repeat = 0.2;
    for host in &fleet.hosts[..8] {
        fleet.store.cut(&host.name, true);
    }
    for version in 2..42 {
        fleet.put(version);
        let took = fleet.until(LIMIT, |f| f.all_have(version)).await;
        assert!(took.is_some(), "version {version} did not reach all hosts");
        seconds(2).await;
        assert!(fleet.all_serve());
    }
    assert!(
        followers.iter().all(|f| !f.is_finished()),
        "a version went back"
    );
}

/// Guards against a watch that goes silent: the version read finds the change.
#[tokio::test(start_paused = true)]
async fn change_is_found_without_watches() {
    let mut fleet = Fleet::new(1, 3);
    fleet
        .store
        .set_latency(Duration::from_millis(2)..=Duration::from_millis(8));
    fleet.start(0);
    fleet.until(LIMIT, Fleet::all_serve).await;
    // Watches that are waiting fail at the outage, and come back after the version read.
    outage(&fleet, true);
    seconds(2).await;
    outage(&fleet, false);
    fleet.put(2);
    let took = fleet
        .until(Duration::from_millis(1_600), |f| f.all_have(2))
        .await;
    assert!(took.is_some());
}

/// Guards against hosts that stop serving, or replaced hosts that never start to, while the
/// platform is down.
#[tokio::test(start_paused = true)]
async fn fleet_outlives_an_hour_without_platform() {
    let mut fleet = ready(9, 4).await;
    outage(&fleet, true);
    for minute in 0..60 {
        let replaced = minute % 9;
        fleet.kill(replaced);
        for _ in 0..300 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let others = (0..9).filter(|i| *i != replaced);
            let bad: Vec<usize> = others.filter(|i| !fleet.serving(*i)).collect();
            assert!(
                bad.is_empty(),
                "minute {minute}: hosts {bad:?} do not serve"
            );
        }
        fleet.start(replaced);
        let took = fleet.until(LIMIT, Fleet::all_serve).await;
        assert!(
            took.is_some(),
            "minute {minute}: the new host does not serve"
        );
        seconds(25).await;
    }
    outage(&fleet, false);
    fleet.put(2);
    seconds(10).await;
    assert!(fleet.all_have(2) && fleet.all_serve());
}

/// Guards against a host that serves on while it is cut off from everything.
#[tokio::test(start_paused = true)]
async fn isolated_host_stops_serving() {
    let fleet = ready(9, 5).await;
    fleet.side(0, 1);
    fleet.store.cut(&fleet.hosts[0].name, true);
    fleet.put(2);
    seconds(4).await;
    assert!(!fleet.serving(0) && fleet.version(0) == 1);
    assert!((1..9).all(|i| fleet.serving(i) && fleet.version(i) == 2));
    fleet.side(0, 0);
    let took = fleet.until(LIMIT, |f| f.serving(0)).await;
    assert!(took.is_some() && fleet.version(0) == 2);
}

/// Guards against a minority of watchers that serves without the platform, and against a
/// majority that does not.
#[tokio::test(start_paused = true)]
async fn majority_of_watchers_serves_without_platform() {
    let fleet = ready(9, 6).await;
    (0..4).for_each(|i| fleet.side(i, 1));
    outage(&fleet, true);
    seconds(4).await;
    assert!(!(0..4).any(|i| fleet.serving(i)));
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!((4..9).all(|i| fleet.serving(i)));
    }
    outage(&fleet, false);
    let took = fleet.until(LIMIT, Fleet::all_serve).await;
    assert!(
        took.is_some(),
        "the minority reaches the platform and does not serve"
    );
}

/// Guards against a fleet that serves after all its processes were restarted during an outage:
/// nobody can know what was accepted before.
#[tokio::test(start_paused = true)]
async fn restarted_fleet_waits_for_the_platform() {
    let mut fleet = ready(9, 7).await;
    outage(&fleet, true);
    seconds(1).await;
    (0..9).for_each(|i| fleet.start(i));
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!(0..9).any(|i| fleet.serving(i)));
    }
    outage(&fleet, false);
    let took = fleet.until(Duration::from_secs(31), Fleet::all_serve).await;
    assert!(took.is_some());
}

/// Guards against a host that resumes after a pause and serves with the proof from before.
#[tokio::test(start_paused = true)]
async fn paused_host_needs_new_proof() {
    let mut fleet = ready(9, 8).await;
    let node = fleet.nodes[0].clone();
    fleet.kill(0);
    seconds(4).await;
    assert!(!node.proof().serving());
}

/// Guards against a stored object that no host can read: the last good configuration stays.
#[tokio::test(start_paused = true)]
async fn unreadable_or_older_object_changes_nothing() {
    let fleet = ready(9, 9).await;
    fleet.put(5);
    seconds(2).await;
    for value in [&b"{\"version\":"[..], b"", b"[]", b"{\"version\":9}"] {
        fleet.store.put("config/current", value);
        seconds(5).await;
        assert!(fleet.all_serve() && (0..9).all(|i| fleet.version(i) == 5));
    }
    fleet.put(3);
    seconds(5).await;
    assert!(fleet.all_serve() && (0..9).all(|i| fleet.version(i) == 5));
    fleet.put(6);
    seconds(9).await;
    assert!(fleet.all_serve() && (0..9).all(|i| fleet.version(i) == 6));
}

/// A host that serves has every configuration that was accepted more than 3 s ago.
///
/// A configuration is accepted at the moment when more than half of the watchers hold it.
struct Safety {
    accepted: Vec<(u64, tokio::time::Instant)>,
}

impl Safety {
    fn check(&mut self, fleet: &Fleet, alive: &[bool], seed: u64) {
        let now = tokio::time::Instant::now();
        let watchers = roster::watchers(&fleet.hosts);
        let watches = |i: &usize| watchers.iter().any(|w| w.name == fleet.hosts[*i].name);
        let held = (0..fleet.hosts.len()).filter(|i| alive[*i] && watches(i));
        let mut held: Vec<u64> = held.map(|i| fleet.version(i)).collect();
        held.sort_unstable_by_key(|v| std::cmp::Reverse(*v));
        let newest = held.get(watchers.len() / 2).copied().unwrap_or_default();
        if self.accepted.last().is_none_or(|a| a.0 < newest) {
            self.accepted.push((newest, now));
        }
        let old = self
            .accepted
            .iter()
            .rfind(|a| now.duration_since(a.1) > LIMIT);
        let least = old.map_or(0, |a| a.0);
        for i in (0..fleet.hosts.len()).filter(|i| alive[*i]) {
            let version = fleet.version(i);
            let wrong = fleet.serving(i) && version < least;
            assert!(
                !wrong,
                "seed {seed}: host {i} serves {version}, {least} is accepted"
            );
        }
    }
}

/// Ends all faults, and starts the hosts that were killed.
fn heal(fleet: &mut Fleet, alive: &mut [bool]) {
    outage(fleet, false);
    fleet.net.lock().loss = 0.0;
    for (i, alive) in alive.iter_mut().enumerate() {
        fleet.side(i, 0);
        fleet.store.cut(&fleet.hosts[i].name, false);
        if !std::mem::replace(alive, true) {
            fleet.start(i);
        }
    }
}

/// Guards against serving an old configuration under any mix of outages, partitions, hosts cut
/// off, restarts, and lost, repeated and late messages.
#[tokio::test(start_paused = true)]
async fn no_host_serves_an_old_configuration() {
    use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
    for seed in 0..6 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = if seed % 3 == 0 { 20 } else { 9 };
        let mut fleet = ready(count, seed).await;
        let mut alive = vec![true; count];
        let mut safety = Safety {
            accepted: Vec::new(),
        };
        let mut version = 1;
        for step in 0..1_200 {
            if step % 300 == 299 {
                heal(&mut fleet, &mut alive);
            } else if step % 10 == 0 {
                let i = rng.random_range(0..count);
                match rng.random_range(0..12) {
                    0..3 if !fleet.store.faults().down => {
                        version += 1;
                        fleet.put(version);
                    }
                    3 => outage(&fleet, rng.random_bool(0.6)),
                    4 => fleet.side(i, rng.random_range(0..2)),
                    5 => (0..count).for_each(|i| fleet.side(i, 0)),
                    6 => fleet.store.cut(&fleet.hosts[i].name, rng.random_bool(0.5)),
                    7 => fleet.net.lock().loss = rng.random_range(0.0..0.3),
                    8 => fleet.net.lock().repeat = rng.random_range(0.0..0.5),
                    9 => {
                        fleet.start(i);
                        alive[i] = true;
                    }
                    10 => {
                        fleet.kill(i);
                        alive[i] = false;
                    }
                    _ => {}
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
            safety.check(&fleet, &alive, seed);
        }
        heal(&mut fleet, &mut alive);
        let took = fleet.until(Duration::from_secs(35), Fleet::all_serve).await;
        assert!(
            took.is_some(),
            "seed {seed}: hosts do not serve after all faults are gone"
        );
        assert!(fleet.all_have(version));
        assert!(
            safety.accepted.len() > 2,
            "seed {seed} accepts hardly anything"
        );
    }
}
