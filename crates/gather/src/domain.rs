//! Forwarding calls through the designated sender in the failure domain, with fallback to direct
//! sends.

use std::{
    pin::pin,
    sync::{Arc, Mutex, PoisonError, RwLock},
    task::Poll,
    time::Duration,
};

use futures::{
    Stream, StreamExt as _,
    stream::{self, FuturesUnordered},
};
use rattanmast_model::{
    catalog::Service,
    config::Config,
    forward::{self, Call, Completion, Forward, Options, RelayClient},
    hash::Map,
    host,
    peer::{Cause, Error},
    roster,
};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout},
};

/// Time within which a host of the same failure domain must accept a call; the network takes
/// about a hundredth of it.
const RELAY_ACCEPT_TIMEOUT: Duration = Duration::from_millis(40);

/// Time for which calls bypass a host that did not accept a call, or whose connection broke.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// The sender of each service; a service without an entry is sent to directly.
type Senders = Map<Service, host::Name>;

/// Sends calls through the hosts of this host's failure domain that are the senders of the
/// services.
///
/// Correctness does not depend on hosts agreeing on the senders: each host sends whatever reaches
/// it.
pub struct Domain<L, R> {
    local: L,
    relays: R,
    me: host::Name,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    senders: RwLock<Arc<Senders>>,
    suspected_until: Mutex<Map<host::Name, Instant>>,
}

impl<L: Clone, R: Clone> Clone for Domain<L, R> {
    fn clone(&self) -> Self {
        Self {
            local: self.local.clone(),
            relays: self.relays.clone(),
            me: self.me.clone(),
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<L: Forward, R: RelayClient> Domain<L, R> {
    /// Creates the forwarder of host `me`, which sends directly through `local`.
    pub fn new(me: host::Name, local: L, relays: R) -> Self {
        Self {
            local,
            relays,
            me,
            shared: Arc::default(),
        }
    }

    /// Updates the senders from the roster and the collections of `config`.
    pub fn apply(&self, config: &Config) {
        let own = config.hosts.iter().find(|h| h.name == self.me);
        let mut senders = Senders::default();
        for collection in &config.collections {
            let connections = collection.limits.connections;
            if roster::can_connect_directly(config.hosts.len(), connections) {
                continue;
            }
            for index in 0..collection.services {
                let service = Service {
                    collection: collection.name.clone(),
                    index,
                };
                let sender = own.and_then(|o| roster::sender(&config.hosts, &o.domain, &service));
                if let Some(sender) = sender.filter(|s| s.name != self.me) {
                    senders.insert(service, sender.name.clone());
                }
            }
        }
        let mut current = self
            .shared
            .senders
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(senders);
    }

    fn senders(&self) -> Arc<Senders> {
        let senders = self.shared.senders.read();
        Arc::clone(&senders.unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the host that is to send to `service`, or `None` for this host.
    fn sender(&self, senders: &Senders, service: &Service, now: Instant) -> Option<host::Name> {
        let sender = senders.get(service)?;
        let mut suspected = self.suspected_until();
        match suspected.get(sender) {
            Some(until) if now < *until => None,
            Some(_) => {
                suspected.remove(sender);
                Some(sender.clone())
            }
            None => Some(sender.clone()),
        }
    }

    fn suspected_until(&self) -> std::sync::MutexGuard<'_, Map<host::Name, Instant>> {
        let suspected = self.shared.suspected_until.lock();
        suspected.unwrap_or_else(PoisonError::into_inner)
    }

    fn suspect(&self, host: &host::Name, call: &Call, why: &str) {
        let previous = self
            .suspected_until()
            .insert(host.clone(), Instant::now() + SUSPICION_TIMEOUT);
        if previous.is_none() {
            let (request, ms) = (&call.id, SUSPICION_TIMEOUT.as_millis());
            log::info!(
                "event=host_doubted host={host} request={request} for_ms={ms} why=\"{why}\""
            );
        }
    }

    /// Sends the call to the services at `positions`, through `host` if there is one.
    async fn send(
        &self,
        host: Option<host::Name>,
        positions: Vec<usize>,
        forwarding: Forwarding<'_>,
        parts_tx: mpsc::UnboundedSender<(usize, Completion)>,
    ) {
        let mut remaining = positions;
        let mut options = forwarding.options;
        if let Some(host) = host {
            match self
                .relay(&host, &mut remaining, forwarding, &parts_tx)
                .await
            {
                RelayOutcome::Complete => return,
                RelayOutcome::NotAccepted => {}
                // The host may have sent the call to one leaf of each service.
                RelayOutcome::Interrupted => {
                    options.max_attempts = options.max_attempts.saturating_sub(1)
                }
            }
        }
        if options.max_attempts == 0
            || (options.max_attempts < forwarding.options.max_attempts && !options.idempotent)
        {
            for position in remaining {
                let forwarded = Completion {
                    begun: true,
                    ..not_sent()
                };
                // The receiver outlives this future.
                let _closed = parts_tx.send((position, forwarded));
            }
            return;
        }
        let services: Vec<Service> = remaining
            .iter()
            .map(|p| forwarding.services[*p].clone())
            .collect();
        let mut local = pin!(self.local.forward_all(&services, forwarding.call, options));
        while let Some((position, forwarded)) = local.next().await {
            let _closed = parts_tx.send((remaining[position], forwarded));
        }
    }

    /// Relays the call through `host`; leaves the positions without a report in `remaining`.
    async fn relay(
        &self,
        host: &host::Name,
        remaining: &mut Vec<usize>,
        forwarding: Forwarding<'_>,
        parts_tx: &mpsc::UnboundedSender<(usize, Completion)>,
    ) -> RelayOutcome {
        let services = remaining
            .iter()
            .map(|p| forwarding.services[*p].clone())
            .collect();
        let asked = remaining.clone();
        let accepted = self
            .relays
            .relay(host, services, forwarding.call, forwarding.options);
        let mut reports = match timeout(RELAY_ACCEPT_TIMEOUT, accepted).await {
            Ok(Ok(reports)) => reports,
            Ok(Err(Error::Broken { .. })) => {
                self.suspect(host, forwarding.call, "connection broke");
                return RelayOutcome::Interrupted;
            }
            Ok(Err(Error::Connect { .. })) => {
                self.suspect(host, forwarding.call, "connection failed");
                return RelayOutcome::NotAccepted;
            }
            Err(_) => {
                self.suspect(host, forwarding.call, "no reply in time");
                return RelayOutcome::NotAccepted;
            }
        };
        while let Some(report) = reports.next().await {
            let Ok((position, forwarded)) = report else {
                self.suspect(host, forwarding.call, "connection broke");
                return RelayOutcome::Interrupted;
            };
            let Some(position) = asked.get(position).copied() else {
                continue;
            };
            remaining.retain(|p| *p != position);
            let _closed = parts_tx.send((position, forwarded));
        }
        match remaining.is_empty() {
            true => RelayOutcome::Complete,
            false => RelayOutcome::Interrupted,
        }
    }
}

/// The outcome of relaying a call through another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayOutcome {
    /// The host has reported on all services.
    Complete,
    /// The host did not send the call.
    NotAccepted,
    /// The host may have sent the call, but will report no more.
    Interrupted,
}

/// A call, its services and its options.
#[derive(Clone, Copy)]
struct Forwarding<'a> {
    services: &'a [Service],
    call: &'a Arc<Call>,
    options: Options,
}

impl<L: Forward, R: RelayClient> Forward for Domain<L, R> {
    async fn forward(&self, service: &Service, call: Arc<Call>, options: Options) -> Completion {
        if !self.senders().contains_key(service) {
            return self.local.forward(service, call, options).await;
        }
        let services = std::slice::from_ref(service);
        let part = self.forward_all(services, &call, options).next().await;
        part.map_or_else(not_sent, |(_, forwarded)| forwarded)
    }

    fn forward_all<'a>(
        &'a self,
        services: &'a [Service],
        call: &'a Arc<Call>,
        options: Options,
    ) -> impl Stream<Item = (usize, Completion)> + Send + Unpin + 'a {
        let (senders, now) = (self.senders(), Instant::now());
        let mut groups: Map<Option<host::Name>, Vec<usize>> = Map::default();
        for (position, service) in services.iter().enumerate() {
            let sender = self.sender(&senders, service, now);
            groups.entry(sender).or_default().push(position);
        }
        let (parts_tx, mut parts) = mpsc::unbounded_channel();
        let forwarding = Forwarding {
            services,
            call,
            options,
        };
        let mut sends: FuturesUnordered<_> = groups
            .into_iter()
            .map(|(host, positions)| {
                Box::pin(self.send(host, positions, forwarding, parts_tx.clone()))
            })
            .collect();
        drop(parts_tx);
        stream::poll_fn(move |cx| {
            while let Poll::Ready(Some(())) = sends.poll_next_unpin(cx) {}
            parts.poll_recv(cx)
        })
    }

    fn admits(&self, service: &Service, options: &Options) -> Result<(), Cause> {
        match self.sender(&self.senders(), service, Instant::now()) {
            Some(_) => Ok(()),
            None => self.local.admits(service, options),
        }
    }
}

/// Returns the result of a call that no host has sent.
fn not_sent() -> Completion {
    Completion {
        result: Err(forward::Error {
            cause: Cause::Unreachable,
            reply: None,
        }),
        begun: false,
        sent: 0,
    }
}
