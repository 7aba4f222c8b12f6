//! Entries of failed hosts are removed; entries of temporarily unreachable hosts are kept.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use rattanmast_model::host::{Host, Name};
use rattanmast_state::monitor::{Connector, Monitor};
use tokio::{sync::watch, time};

/// The unreachable hosts, and the hosts whose entries were removed.
#[derive(Clone, Default)]
struct World(Arc<Mutex<(Vec<Name>, Vec<Name>)>>);

impl World {
    fn down(&self, names: &[&str]) {
        self.0.lock().unwrap().0 = names.iter().map(Name::new).collect();
    }

    fn removed(&self) -> Vec<Name> {
        self.0.lock().unwrap().1.clone()
    }
}

impl Connector for World {
    async fn reaches(&self, host: &Host) -> bool {
        !self.0.lock().unwrap().0.contains(&host.name)
    }

    async fn remove(&self, host: &Host) {
        self.0.lock().unwrap().1.push(host.name.clone());
    }
}

fn host(name: &str, domain: &str) -> Host {
    let addr = ([127, 0, 0, 1], 1).into();
    Host {
        name: name.into(),
        domain: domain.into(),
        http: addr,
        hop: addr,
        exchange: addr,
        link_mbps: 0,
        cpu_millis: 0,
    }
}

/// Starts a monitor on each host except the failed one; all share one roster.
fn start(world: &World) -> watch::Sender<Vec<Host>> {
    let mut hosts: Vec<Host> = (0..4).map(|i| host(&format!("h{i}"), "east")).collect();
    hosts.push(host("other", "west"));
    let (sender, roster) = watch::channel(hosts.clone());
    for host in hosts.into_iter().filter(|host| host.name != "h2") {
        let monitor = Monitor {
            own_name: host.name,
            domain: host.domain,
            roster: roster.clone(),
            reach: world.clone(),
        };
        tokio::spawn(monitor.run());
    }
    sender
}

/// Guards against entries of failed hosts that are never removed, or are removed twice.
#[tokio::test(start_paused = true)]
async fn a_host_that_is_gone_is_removed_once() {
    let world = World::default();
    world.down(&["h2"]);
    let roster = start(&world);
    time::sleep(Duration::from_secs(59)).await;
    assert!(world.removed().is_empty());
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(world.removed(), ["h2"]);
    roster.send_modify(|hosts| hosts.retain(|host| host.name != "h2"));
    time::sleep(Duration::from_secs(600)).await;
    assert_eq!(world.removed(), ["h2"]);
}

/// Guards against the removal of hosts that restart or are paused for a while.
#[tokio::test(start_paused = true)]
async fn a_host_that_is_away_for_a_while_stays() {
    let world = World::default();
    let _roster = start(&world);
    for _ in 0..10 {
        world.down(&["h2", "other"]);
        time::sleep(Duration::from_secs(45)).await;
        world.down(&[]);
        time::sleep(Duration::from_secs(15)).await;
    }
    assert!(world.removed().is_empty());
}
