//! Propagation of configurations and of their proofs under faults.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_fakes::store::Faults;
use rattanmast_model::{
    config::{self, Config},
    exchange::{Digest, Message, Proof, Source},
    host::{Host, Incarnation},
    store,
};
use rattanmast_state::accept;
use tokio::time::Instant;

mod support;

use support::{Fleet, Node, seconds};

const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

async fn ready(count: usize, seed: u64) -> Fleet {
    let fleet = Fleet::started(count, seed);
    let took = fleet.until(PROPAGATION_LIMIT, Fleet::all_serve).await;
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

/// Panics if the configuration of a node reverts to an older version.
async fn assert_monotonic(node: Node) {
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

/// Guards against a host that serves before it has a proof, or never serves.
#[tokio::test(start_paused = true)]
async fn hosts_serve_once_they_have_proof() {
    let fleet = Fleet::started(9, 1);
    assert!(!(0..9).any(|i| fleet.serving(i)));
    let took = fleet.until(PROPAGATION_LIMIT, Fleet::all_serve).await;
    assert!(took.is_some());
    assert!(fleet.all_have(1));
}

/// Guards against slow propagation while most hosts are cut off from the platform and messages are
/// lost, duplicated and delayed, and against a version that reverts on any host.
#[tokio::test(start_paused = true)]
async fn changes_reach_all_hosts_through_peers() {
    let fleet = ready(9, 2).await;
    let followers: Vec<_> = fleet
        .nodes
        .iter()
        .map(|n| tokio::spawn(assert_monotonic(n.clone())))
        .collect();
    fleet.network.lock().loss_share = 0.01;
    fleet.network.lock().repeat_share = 0.2;
    for host in &fleet.hosts[..8] {
        fleet.store.set_cut(&host.name, true);
    }
    for version in 2..42 {
        fleet.put(version);
        let took = fleet
            .until(PROPAGATION_LIMIT, |f| f.all_have(version))
            .await;
        assert!(took.is_some(), "version {version} did not reach all hosts");
        seconds(2).await;
        assert!(fleet.all_serve());
    }
    assert!(
        followers.iter().all(|f| !f.is_finished()),
        "a version went back"
    );
}

/// Guards against a host that waits for a lost fetch before it exchanges again.
#[tokio::test(start_paused = true)]
async fn lost_fetches_hold_nothing_up() {
    let fleet = ready(2, 12).await;
    fleet.store.set_cut(&fleet.hosts[1].name, true);
    seconds(1).await;
    fleet.network.lock().lost_fetches_left = u32::MAX;
    fleet.network.lock().counting = true;
    fleet.put(2);
    seconds(10).await;
    // A random host and the next watcher are contacted at least every 550 ms.
    let calls = fleet.network.lock().traffic[&fleet.hosts[1].exchange].calls;
    assert!(calls >= 2 * 18, "{calls} exchanges in 10 s");
    fleet.network.lock().lost_fetches_left = 0;
    let took = fleet.until(PROPAGATION_LIMIT, |f| f.all_have(2)).await;
    assert!(took.is_some());
}

/// Guards against a change that is missed while watches fail: the version read has to detect it.
#[tokio::test(start_paused = true)]
async fn change_is_found_without_watches() {
    let mut fleet = Fleet::new(1, 3);
    fleet
        .store
        .set_latency(Duration::from_millis(2)..=Duration::from_millis(8));
    fleet.start(0);
    fleet.until(PROPAGATION_LIMIT, Fleet::all_serve).await;
    // Open watches fail in the outage, and are retried only after the next version read.
    outage(&fleet, true);
    seconds(2).await;
    outage(&fleet, false);
    fleet.put(2);
    let took = fleet
        .until(Duration::from_millis(1_600), |f| f.all_have(2))
        .await;
    assert!(took.is_some());
}

/// Guards against hosts that stop serving, or replaced hosts that do not start serving, while the
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
        let took = fleet.until(PROPAGATION_LIMIT, Fleet::all_serve).await;
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

/// Guards against a host that keeps serving while it is isolated from peers and platform.
#[tokio::test(start_paused = true)]
async fn isolated_host_stops_serving() {
    let fleet = ready(9, 5).await;
    fleet.set_partition(0, 1);
    fleet.store.set_cut(&fleet.hosts[0].name, true);
    fleet.put(2);
    seconds(4).await;
    assert!(!fleet.serving(0) && fleet.version(0) == 1);
    assert!((1..9).all(|i| fleet.serving(i) && fleet.version(i) == 2));
    fleet.set_partition(0, 0);
    let took = fleet.until(PROPAGATION_LIMIT, |f| f.serving(0)).await;
    assert!(took.is_some() && fleet.version(0) == 2);
}

/// Guards against a minority of watchers that serves while the platform is down, and against a
/// majority that does not.
#[tokio::test(start_paused = true)]
async fn majority_of_watchers_serves_without_platform() {
    let fleet = ready(9, 6).await;
    (0..4).for_each(|i| fleet.set_partition(i, 1));
    outage(&fleet, true);
    seconds(4).await;
    assert!(!(0..4).any(|i| fleet.serving(i)));
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!((4..9).all(|i| fleet.serving(i)));
    }
    outage(&fleet, false);
    let took = fleet.until(PROPAGATION_LIMIT, Fleet::all_serve).await;
    assert!(
        took.is_some(),
        "the minority reaches the platform and does not serve"
    );
}

/// Guards against a fleet that serves after all processes were restarted during an outage: no host
/// can know which configuration was accepted before.
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

/// Guards against counting watchers that were restarted during an outage: their previous
/// incarnations may have helped to accept a configuration that no remaining host holds.
#[tokio::test(start_paused = true)]
async fn restarted_majority_proves_nothing() {
    let mut fleet = ready(9, 10).await;
    outage(&fleet, true);
    (0..5).for_each(|i| fleet.kill(i));
    seconds(4).await;
    (0..5).for_each(|i| fleet.start(i));
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!(0..9).any(|i| fleet.serving(i)));
    }
    assert!(fleet.all_have(1), "hosts did not fetch the configuration");
    outage(&fleet, false);
    let took = fleet.until(PROPAGATION_LIMIT, Fleet::all_serve).await;
    assert!(took.is_some());
}

/// Guards against accepting a proof from a request, whose network delay is unknown.
#[tokio::test(start_paused = true)]
async fn confirmation_in_a_request_is_no_proof() {
    let fleet = ready(9, 11).await;
    fleet.set_partition(0, 1);
    fleet.store.set_cut(&fleet.hosts[0].name, true);
    seconds(4).await;
    let now = Proof {
        version: store::Version(1),
        age_ms: 0,
        source: Source::Platform,
    };
    for host in &fleet.hosts[1..] {
        let digest = Digest {
            host: host.name.clone(),
            incarnation: Incarnation(u64::MAX),
            informed: true,
            object: store::Version(1),
            confirmed: Some(now),
            ..Digest::default()
        };
        fleet.nodes[0].handle(Message::Exchange(digest)).await;
    }
    seconds(2).await;
    assert!(!fleet.serving(0));
}

/// Guards against a host that resumes after a pause and serves with an expired proof.
#[tokio::test(start_paused = true)]
async fn paused_host_needs_new_proof() {
    let mut fleet = ready(9, 8).await;
    let node = fleet.nodes[0].clone();
    fleet.kill(0);
    seconds(4).await;
    assert!(!node.proof().serving());
}

/// Guards against replacing the last valid configuration by an unreadable or older object.
#[tokio::test(start_paused = true)]
async fn unreadable_or_older_object_changes_nothing() {
    let fleet = ready(9, 9).await;
    fleet.put(5);
    seconds(2).await;
    for value in [&b"{\"version\":"[..], b"", b"[]", b"{\"version\":9}"] {
        fleet.store.write_now("config/current", value);
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

/// Checks that a serving host holds every configuration that was accepted more than 3 s ago.
///
/// A configuration is accepted as soon as a majority of the watchers of the previous roster and a
/// majority of those of its own roster hold it.
struct Safety {
    /// The roster of each configuration, by version - 1.
    rosters: Vec<Vec<Host>>,
    accepted: Vec<(u64, Instant)>,
}

impl Safety {
    fn new(roster: &[Host]) -> Self {
        Self {
            rosters: vec![roster.to_vec()],
            accepted: vec![(1, Instant::now())],
        }
    }

    /// Returns the newest accepted version and the time of its acceptance.
    fn newest(&self) -> (u64, Instant) {
        self.accepted[self.accepted.len() - 1]
    }

    fn config(&self, version: u64) -> Config {
        Config {
            version: config::Version(version),
            hosts: self.rosters[version as usize - 1].clone(),
            ..Config::default()
        }
    }

    fn check(&mut self, fleet: &Fleet, alive: &[bool], seed: u64) {
        let now = Instant::now();
        let held = |name: &str| {
            let i = fleet.hosts.iter().position(|h| h.name == name)?;
            alive[i].then(|| config::Version(fleet.version(i)))
        };
        for version in self.newest().0 + 1..=self.rosters.len() as u64 {
            let (before, after) = (self.config(version - 1), self.config(version));
            if accept::accepted(&before, &after, held).is_ok() {
                self.accepted.push((version, now));
            }
        }
        let old = self
            .accepted
            .iter()
            .rfind(|a| now.duration_since(a.1) > PROPAGATION_LIMIT);
        let newest_required = old.map_or(0, |a| a.0);
        for i in (0..fleet.hosts.len()).filter(|i| alive[*i]) {
            let version = fleet.version(i);
            let is_outdated = fleet.serving(i) && version < newest_required;
            assert!(
                !is_outdated,
                "seed {seed}: host {i} serves {version}, {newest_required} is accepted"
            );
        }
    }
}

/// Clears all faults except repeated messages, and restarts the killed hosts.
fn clear_faults(fleet: &mut Fleet, alive: &mut [bool]) {
    outage(fleet, false);
    fleet.network.lock().loss_share = 0.0;
    for (i, alive) in alive.iter_mut().enumerate() {
        fleet.set_partition(i, 0);
        fleet.store.set_cut(&fleet.hosts[i].name, false);
        if !std::mem::replace(alive, true) {
            fleet.start(i);
        }
    }
}

/// Injects a random fault, or writes a configuration.
fn inject_fault(fleet: &mut Fleet, alive: &mut [bool], safety: &mut Safety, rng: &mut SmallRng) {
    let count = fleet.hosts.len();
    let i = rng.random_range(0..count);
    match rng.random_range(0..13) {
        0..4 if !fleet.store.faults().down => {
            let (newest, since) = safety.newest();
            let written = safety.rosters.len() as u64;
            let mut roster = safety.rosters[written as usize - 1].clone();
            // As in `accept::confirm`, the roster changes only after the last one was accepted.
            let pause = since.elapsed() > Duration::from_secs(10);
            if newest == written && pause && roster.len() < count {
                let rest = fleet.hosts.iter().filter(|h| !roster.contains(h));
                let rest: Vec<Host> = rest.cloned().collect();
                for _ in 0..rng.random_range(0..4) {
                    let out = rng.random_range(0..roster.len());
                    roster.remove(out);
                }
                roster.extend(rest);
            }
            fleet.put_for(&roster, written + 1);
            safety.rosters.push(roster);
        }
        4 => outage(fleet, rng.random_bool(0.6)),
        5 => fleet.set_partition(i, rng.random_range(0..2)),
        6 => (0..count).for_each(|i| fleet.set_partition(i, 0)),
        7 => fleet
            .store
            .set_cut(&fleet.hosts[i].name, rng.random_bool(0.5)),
        8 => fleet.network.lock().loss_share = rng.random_range(0.0..0.3),
        9 => fleet.network.lock().repeat_share = rng.random_range(0.0..0.5),
        10 => {
            fleet.start(i);
            alive[i] = true;
        }
        11 => {
            fleet.kill(i);
            alive[i] = false;
        }
        _ => {}
    }
}

/// Runs random faults; `changing` hosts are not in the initial roster.
async fn run_with_faults(count: usize, changing: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(count, seed);
    let roster = fleet.hosts[changing..].to_vec();
    fleet.put_for(&roster, 1);
    (0..count).for_each(|i| fleet.start(i));
    assert!(
        fleet
            .until(PROPAGATION_LIMIT, Fleet::all_serve)
            .await
            .is_some()
    );
    let mut alive = vec![true; count];
    let mut safety = Safety::new(&roster);
    for step in 0..1_200 {
        if step % 300 == 299 {
            clear_faults(&mut fleet, &mut alive);
        } else if step % 10 == 0 {
            inject_fault(&mut fleet, &mut alive, &mut safety, &mut rng);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        safety.check(&fleet, &alive, seed);
    }
    clear_faults(&mut fleet, &mut alive);
    let newest = safety.rosters.len() as u64;
    let healed = |f: &Fleet| f.all_serve() && f.all_have(newest);
    let took = fleet.until(Duration::from_secs(35), healed).await;
    assert!(
        took.is_some(),
        "seed {seed}: hosts do not recover after all faults are gone"
    );
    assert!(
        safety.accepted.len() > 2,
        "seed {seed} accepts hardly anything"
    );
}

/// Guards against serving an old configuration under random outages, partitions, disconnected
/// hosts, restarts, and lost, duplicated and delayed messages.
#[tokio::test(start_paused = true)]
async fn no_host_serves_an_old_configuration() {
    for seed in 0..6 {
        run_with_faults(if seed % 3 == 0 { 20 } else { 9 }, 0, seed).await;
    }
}

/// Guards against the same while the roster, and with it the watchers, change.
#[tokio::test(start_paused = true)]
async fn no_host_serves_an_old_roster() {
    for seed in 100..106 {
        run_with_faults(12, 3, seed).await;
    }
}
