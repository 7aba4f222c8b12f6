//! Direct notices to the hosts of a failure domain about calls that crash leafs.
//!
//! A caller whose call crashed leafs tries again within milliseconds at another host of its failure
//! domain, sooner than that host hears of the call through the platform.

use std::time::Duration;

use futures::{StreamExt as _, stream::FuturesUnordered};
use rattanmast_model::{
    host::{self, Host},
    quarantine::{Messenger, Report},
};
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

/// Time within which another host has to take a notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of notices in a [`NOTICE_PERIOD`]; the first ones of an incident matter.
const MAX_NOTICES: u32 = 8;

/// Period over which notices are counted.
const NOTICE_PERIOD: Duration = Duration::from_secs(10);

/// Sends notices to the other hosts of a failure domain.
pub struct Notifier<M> {
    /// Access to the other hosts.
    pub messenger: M,
    /// The name of this host.
    pub own_name: host::Name,
    /// The failure domain of this host.
    pub domain: host::Domain,
    /// The roster as known so far.
    pub roster: watch::Receiver<Vec<Host>>,
    /// The start of the current period, and the notices in it.
    sent: Option<(Instant, u32)>,
}

impl<M: Messenger> Notifier<M> {
    /// Returns a notifier for the failure domain of host `own_name`.
    pub fn new(
        messenger: M,
        own_name: host::Name,
        domain: host::Domain,
        roster: watch::Receiver<Vec<Host>>,
    ) -> Self {
        Self {
            messenger,
            own_name,
            domain,
            roster,
            sent: None,
        }
    }

    /// Tells the other hosts of the failure domain of a call, unless there were many notices lately.
    pub fn notify(&mut self, report: Report) {
        if !self.may_notify() {
            return;
        }
        let hosts = self.roster.borrow();
        let others = hosts.iter().filter(|host| host.domain == self.domain);
        let others = others.filter(|host| host.name != self.own_name);
        let others: Vec<host::Name> = others.map(|host| host.name.clone()).collect();
        let messenger = self.messenger.clone();
        tokio::spawn(async move {
            let tell = |host| {
                let messenger = messenger.clone();
                async move { timeout(NOTICE_TIMEOUT, messenger.tell(&host, report)).await }
            };
            let mut told: FuturesUnordered<_> = others.into_iter().map(tell).collect();
            // A host that can't be told hears of the call through the platform.
            while told.next().await.is_some() {}
        });
    }

    /// Counts a notice; returns whether it is within the limit.
    fn may_notify(&mut self) -> bool {
        let now = Instant::now();
        let (start, count) = match self.sent {
            Some((start, count)) if now < start + NOTICE_PERIOD => (start, count),
            _ => (now, 0),
        };
        self.sent = Some((start, count + 1));
        count < MAX_NOTICES
    }
}
