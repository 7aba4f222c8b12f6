//! Removes the entries of failed hosts: each host checks the next one of its failure domain.
//!
//! A host that stops in an orderly way removes its own entry, but a host that crashes can't.

use std::{future::Future, time::Duration};

use rattanmast_model::{
    host::{self, Host},
    roster,
};
use tokio::{sync::watch, time};

/// Interval between checks of the next host.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Consecutive failed checks after which a host is removed; a restart takes less time than that.
const FAILED_CHECKS_BEFORE_REMOVAL: u32 = 6;

/// Access to other hosts and their entries.
pub trait Connector: Send + Sync + 'static {
    /// Returns whether `host` accepts connections.
    fn reaches(&self, host: &Host) -> impl Future<Output = bool> + Send;

    /// Removes the entry of `host` unless the entry has changed.
    fn remove(&self, host: &Host) -> impl Future<Output = ()> + Send;
}

/// Monitors one other host.
pub struct Monitor<R> {
    /// The name of this host.
    pub own_name: host::Name,
    /// The failure domain of this host.
    pub domain: host::Domain,
    /// The roster as known so far.
    pub roster: watch::Receiver<Vec<Host>>,
    /// Access to other hosts.
    pub reach: R,
}

impl<R: Connector> Monitor<R> {
    /// Checks the next host periodically until the future is dropped.
    pub async fn run(self) {
        let (mut watched, mut misses) = (None, 0);
        loop {
            time::sleep(CHECK_INTERVAL).await;
            let next = self.next();
            if next != watched {
                (watched, misses) = (next, 0);
            }
            let Some(host) = &watched else { continue };
            misses = match self.reach.reaches(host).await {
                true => 0,
                false => misses + 1,
            };
            if misses >= FAILED_CHECKS_BEFORE_REMOVAL {
                let unreached = CHECK_INTERVAL.as_secs() * u64::from(misses);
                log::info!("event=host_gone host={} unreached_s={unreached}", host.name);
                self.reach.remove(host).await;
                misses = 0;
            }
        }
    }

    /// Returns the host after this one, in an order that is the same on all hosts.
    fn next(&self) -> Option<Host> {
        let hosts = self.roster.borrow();
        let order = roster::ranked_in_domain(&hosts, &self.domain, &[b"monitor"]);
        let own = order.iter().position(|host| host.name == self.own_name)?;
        let next = order[(own + 1) % order.len()];
        (next.name != self.own_name).then(|| next.clone())
    }
}
