//! A small deployment: the store, leafs, and entry hosts as processes.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use crate::{
    host::{Host, wait_until},
    leaf::{Handler, Leaf},
    store::Store,
};

/// The zones of the site, with the same number of hosts in each.
pub const ZONES: [&str; 3] = ["oslo-a", "bergen-a", "bodo-a"];

/// Slots of each leaf.
pub const SLOTS: u32 = 6;

/// A running deployment.
pub struct Fleet {
    pub store: Store,
    pub leafs: Vec<Leaf>,
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.iter_mut().for_each(Host::kill);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    /// Prepares a deployment with `hosts` hosts in each zone; no host is started.
    pub fn new(root: &Path, hosts: usize) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("rattanmast-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::default();
        let names = ZONES
            .iter()
            .flat_map(|zone| (1..=hosts).map(move |n| (*zone, n)));
        let hosts: Vec<Host> = names
            .map(|(zone, n)| Host::new(root, &folder, &format!("frontend-{zone}-{n}"), zone))
            .collect();
        let address = store.listen()?;
        let seeds: Vec<SocketAddr> = hosts.iter().take(3).map(|host| host.control).collect();
        for host in &hosts {
            host.write_settings(address, &seeds)?;
        }
        Ok(Self {
            store,
            leafs: Vec::new(),
            hosts,
            folder,
        })
    }

    /// Starts the leafs of a service, and lists them in the store.
    pub fn add_service(
        &mut self,
        service: &str,
        leafs: usize,
        handler: &Handler,
    ) -> io::Result<()> {
        for number in 0..leafs {
            let (name, zone) = (format!("i-{service}-{number}"), ZONES[number % ZONES.len()]);
            let leaf = Leaf::start(&name, service, zone, handler.clone())?;
            self.store
                .put("servers", &name, &leaf.entry("ready", SLOTS, 1));
            self.leafs.push(leaf);
        }
        Ok(())
    }

    /// Starts all hosts, and waits until they are ready and know each other.
    pub fn start(&mut self) -> Result<(), String> {
        for host in &mut self.hosts {
            host.start()
                .map_err(|error| format!("{} does not start: {error}", host.name))?;
        }
        let known = format!("event=hosts known={}", self.hosts.len());
        let is_ready = |host: &Host| host.is_ready() && host.log().contains(&known);
        match wait_until(Duration::from_secs(25), || self.hosts.iter().all(is_ready)) {
            true => Ok(()),
            false => Err("the hosts are not ready in time".to_owned()),
        }
    }
}
