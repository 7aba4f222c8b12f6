//! Finds hosts that are gone for good: each host looks after the next one of its failure domain.
//!
//! A host that leaves in order removes its own entry; one that fails cannot.

use std::{future::Future, time::Duration};

use rattanmast_model::{
    host::{self, Host},
    roster,
};
use tokio::{sync::watch, time};

/// Time between two checks of the next host.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Checks in a row without an answer after which a host is gone: it would have been restarted.
const MAX_MISSES: u32 = 6;

/// What a monitor needs of the outside.
pub trait Reach: Send + Sync + 'static {
    /// Tells whether `host` accepts connections.
    fn reaches(&self, host: &Host) -> impl Future<Output = bool> + Send;

    /// Removes the entry of `host`, unless it has changed.
    fn remove(&self, host: &Host) -> impl Future<Output = ()> + Send;
}

/// Looks after one other host.
pub struct Monitor<R> {
    /// The own host's name.
    pub me: host::Name,
    /// The own host's failure domain.
    pub domain: host::Domain,
    /// The hosts, as they become known.
    pub roster: watch::Receiver<Vec<Host>>,
    /// Reaches them.
    pub reach: R,
}

impl<R: Reach> Monitor<R> {
    /// Checks until the future is dropped.
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
            if misses >= MAX_MISSES {
                let unreached = CHECK_INTERVAL.as_secs() * u64::from(misses);
                log::info!("event=host_gone host={} unreached_s={unreached}", host.name);
                self.reach.remove(host).await;
                misses = 0;
            }
        }
    }

    /// Returns the host after the own one, in an order that is the same everywhere.
    fn next(&self) -> Option<Host> {
        let hosts = self.roster.borrow();
        let order = roster::within(&hosts, &self.domain, &[b"monitor"]);
        let own = order.iter().position(|host| host.name == self.me)?;
        let next = order[(own + 1) % order.len()];
        (next.name != self.me).then(|| next.clone())
    }
}
