//! Forwarding calls through the designated sender in the failure domain, with fallback to direct
//! sends.

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    task::Poll,
    time::Duration,
};

use futures::{
    Stream, StreamExt as _,
    stream::{self, FuturesUnordered},
};
use rattanmast_model::{
    catalog::Service,
    config::{Collection, Config},
    forward::{self, Batch, Call, Completion, Forward, Options, RelayClient},
    hash::Map,
    host::{self, Host},
    leaf,
    peer::{Cause, Error},
    roster::{self, Senders},
};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

/// Time within which a host of the same failure domain must accept a call; the network takes
/// about a hundredth of it.
const RELAY_ACCEPT_TIMEOUT: Duration = Duration::from_millis(40);

/// The maximum number of hosts that are asked to accept a call.
const MAX_HANDOVERS: usize = 2;

/// Time for which calls bypass a host that did not accept a call, or whose connection broke.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a second host is asked to accept a call that the first has not accepted yet.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(15);

/// The number of calls in a row that another host accepted first after which a host is suspected.
const MAX_SLOW_HANDOVERS: u32 = 3;

/// The hosts that may send to each service, in the order of responsibility; a service without an
/// entry is sent to directly.
type Candidates = Map<Service, Arc<[host::Name]>>;

/// The suspected hosts, each with the end of its suspicion.
type Suspicions = Map<host::Name, Instant>;

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
    candidates: RwLock<Arc<Candidates>>,
    applied: Mutex<Applied>,
    suspected_until: Mutex<Suspicions>,
    /// The number of calls in a row that another host accepted before this one.
    slow_handovers: Mutex<Map<host::Name, u32>>,
}

/// The roster and the collections from which the candidates were derived.
#[derive(Debug, Default)]
struct Applied {
    hosts: Vec<Host>,
    collections: Vec<Collection>,
}

impl Applied {
    fn has_same_candidates(&self, config: &Config) -> bool {
        let same = |(a, b): (&Collection, &Collection)| {
            let services = a.name == b.name && a.services == b.services;
            services && a.limits.connections == b.limits.connections
        };
        self.hosts == config.hosts
            && self.collections.len() == config.collections.len()
            && self.collections.iter().zip(&config.collections).all(same)
    }
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

    /// Updates the candidates from the roster and the collections of `config`.
    pub fn apply(&self, config: &Config) {
        let mut applied = lock(&self.shared.applied);
        if applied.has_same_candidates(config) {
            return;
        }
        *applied = Applied {
            hosts: config.hosts.clone(),
            collections: config.collections.clone(),
        };
        let candidates = Arc::new(self.derive_candidates(config));
        let current = self.shared.candidates.write();
        *current.unwrap_or_else(PoisonError::into_inner) = candidates;
    }

    fn derive_candidates(&self, config: &Config) -> Candidates {
        let Some(own) = config.hosts.iter().find(|h| h.name == self.me) else {
            return Candidates::default();
        };
        let senders = Senders::select(&config.hosts, &own.domain);
        let (hosts, services) = (config.hosts.len(), config.services());
        let mut candidates = Candidates::default();
        for collection in &config.collections {
            if roster::can_connect_directly(hosts, services, collection.limits.connections) {
                continue;
            }
            for index in 0..collection.services {
                let service = Service {
                    collection: collection.name.clone(),
                    index,
                };
                let hosts = senders.candidates(&service);
                let names = hosts.iter().map(|host| host.name.clone());
                candidates.insert(service.clone(), names.collect());
            }
        }
        candidates
    }

    fn candidates(&self) -> Arc<Candidates> {
        let candidates = self.shared.candidates.read();
        Arc::clone(&candidates.unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the hosts that are to send to `service`, the preferred one first; none if this host
    /// is to send itself.
    fn senders<'c>(
        &self,
        candidates: &'c Candidates,
        service: &Service,
        suspected: &Suspicions,
    ) -> impl Iterator<Item = &'c host::Name> {
        let candidates = candidates.get(service).map_or(&[][..], |hosts| &hosts[..]);
        let usable = candidates.iter().filter(|c| !suspected.contains_key(*c));
        usable.take_while(|c| **c != self.me)
    }

    /// Locks the suspicions that have not ended.
    fn suspicions(&self) -> MutexGuard<'_, Suspicions> {
        let now = Instant::now();
        let mut suspected = lock(&self.shared.suspected_until);
        suspected.retain(|_, until| now < *until);
        suspected
    }

    /// Groups `services` by the host that is preferred to send to them.
    fn group(&self, services: &[Service]) -> Vec<Group> {
        let candidates = self.candidates();
        let suspected = self.suspicions();
        let mut groups: Map<Option<&host::Name>, Group> = Map::default();
        for (position, service) in services.iter().enumerate() {
            let senders = || self.senders(&candidates, service, &suspected);
            let group = groups.entry(senders().next()).or_insert_with(|| Group {
                hosts: senders().cloned().collect(),
                positions: Vec::new(),
            });
            group.positions.push(position);
        }
        groups.into_values().collect()
    }

    fn suspect(&self, host: &host::Name, call: &Call, why: &str) {
        let previous = lock(&self.shared.suspected_until)
            .insert(host.clone(), Instant::now() + SUSPICION_TIMEOUT);
        if previous.is_none() {
            let (request, ms) = (&call.id, SUSPICION_TIMEOUT.as_millis());
            log::info!(
                "event=host_doubted host={host} request={request} for_ms={ms} why=\"{why}\""
            );
        }
    }

    /// Records that another host accepted a call before `host`, which is suspected after some such
    /// calls in a row: a host that is merely busy is better left its work.
    fn record_slow_handover(&self, host: &host::Name, call: &Call) {
        let slow_handovers = {
            let mut slow = lock(&self.shared.slow_handovers);
            let count = slow.entry(host.clone()).or_insert(0);
            *count += 1;
            *count
        };
        if slow_handovers >= MAX_SLOW_HANDOVERS {
            lock(&self.shared.slow_handovers).remove(host);
            self.suspect(host, call, "other hosts accepted calls first");
        }
    }

    /// Sends the call to the services of `group`, through one of its hosts if there are any.
    async fn send(
        &self,
        group: Group,
        forwarding: Forwarding<'_>,
        batches_tx: mpsc::UnboundedSender<Batch>,
    ) {
        let mut remaining = group.positions;
        let mut options = forwarding.options;
        if !group.hosts.is_empty() {
            match self
                .relay(&group.hosts, &mut remaining, forwarding, &batches_tx)
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
                let _closed = batches_tx.send(Batch::from((position, forwarded)));
            }
            return;
        }
        let services = forwarding.services_at(&remaining);
        self.log_direct_send(&services, forwarding.call);
        let mut local = pin!(self.local.forward_all(&services, forwarding.call, options));
        while let Some(batch) = local.next().await {
            let _closed = batches_tx.send(batch.map_positions(&remaining));
        }
    }

    /// Logs that this host sends to services whose preferred sender is another host.
    fn log_direct_send(&self, services: &[Service], call: &Call) {
        let candidates = self.candidates();
        let is_other = |hosts: &Arc<[host::Name]>| hosts.first().is_some_and(|h| *h != self.me);
        let others = services
            .iter()
            .filter(|s| candidates.get(*s).is_some_and(is_other));
        match others.count() {
            0 => {}
            count => log::info!("event=sent_directly request={} services={count}", call.id),
        }
    }

    /// Relays the call through one of `hosts`; leaves the positions without a report in
    /// `remaining`.
    async fn relay(
        &self,
        hosts: &[host::Name],
        remaining: &mut Vec<usize>,
        forwarding: Forwarding<'_>,
        batches_tx: &mpsc::UnboundedSender<Batch>,
    ) -> RelayOutcome {
        let asked = remaining.clone();
        let (host, mut reports) = match self.hand_over(hosts, &asked, forwarding).await {
            Ok(accepted) => accepted,
            Err(outcome) => return outcome,
        };
        while let Some(report) = reports.next().await {
            let Ok(batch) = report else {
                self.suspect(host, forwarding.call, "connection broke");
                return RelayOutcome::Interrupted;
            };
            if batch.outcomes.iter().any(|(at, _)| *at >= asked.len()) {
                self.suspect(host, forwarding.call, "it reported an unknown service");
                return RelayOutcome::Interrupted;
            }
            let batch = batch.map_positions(&asked);
            self.record_notices(forwarding.services, &batch);
            remaining.retain(|p| batch.outcomes.iter().all(|(reported, _)| reported != p));
            let _closed = batches_tx.send(batch);
        }
        match remaining.is_empty() {
            true => RelayOutcome::Complete,
            false => RelayOutcome::Interrupted,
        }
    }

    /// Records what leafs said of themselves in the answers that another host reports, because this
    /// host passes these answers on.
    fn record_notices(&self, services: &[Service], batch: &Batch) {
        for (position, completion) in &batch.outcomes {
            for notice in &completion.notices {
                self.local.record_notice(&services[*position], notice);
            }
        }
    }

    /// Asks the first of `hosts` to accept the call, and also the second if the first fails or is
    /// slow; returns the host that has accepted it.
    ///
    /// A host that has not accepted the call does not send it once its handover is dropped.
    async fn hand_over<'h>(
        &self,
        hosts: &'h [host::Name],
        positions: &[usize],
        forwarding: Forwarding<'_>,
    ) -> Result<(&'h host::Name, R::Parts), RelayOutcome> {
        let give_up = sleep(RELAY_ACCEPT_TIMEOUT);
        let mut give_up = pin!(give_up);
        let mut asking = FuturesUnordered::new();
        let mut unasked = hosts.iter().take(MAX_HANDOVERS);
        let ask = |host: &'h host::Name| {
            let services = forwarding.services_at(positions);
            let Forwarding { call, options, .. } = forwarding;
            async move { (host, self.relays.relay(host, services, call, options).await) }
        };
        let mut outstanding = Vec::with_capacity(MAX_HANDOVERS);
        loop {
            if let Some(host) = unasked.next() {
                asking.push(ask(host));
                outstanding.push(host);
            }
            let retry = sleep(RELAY_RETRY_DELAY);
            let (host, result) = tokio::select! {
                biased;
                Some(asked) = asking.next() => asked,
                () = retry, if unasked.len() > 0 => continue,
                () = &mut give_up => {
                    for host in outstanding {
                        self.suspect(host, forwarding.call, "no reply in time");
                    }
                    return Err(RelayOutcome::NotAccepted);
                }
            };
            outstanding.retain(|asked| *asked != host);
            match result {
                Ok(reports) => {
                    lock(&self.shared.slow_handovers).remove(host);
                    for slow in outstanding {
                        self.record_slow_handover(slow, forwarding.call);
                    }
                    return Ok((host, reports));
                }
                Err(Error::Broken { .. }) => {
                    self.suspect(host, forwarding.call, "connection broke");
                    return Err(RelayOutcome::Interrupted);
                }
                Err(Error::Connect { .. }) => {
                    self.suspect(host, forwarding.call, "connection failed");
                    if asking.is_empty() && unasked.len() == 0 {
                        return Err(RelayOutcome::NotAccepted);
                    }
                }
            }
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

impl Forwarding<'_> {
    fn services_at(&self, positions: &[usize]) -> Vec<Service> {
        let services = positions.iter().map(|p| self.services[*p].clone());
        services.collect()
    }
}

/// Services that are sent to through the same host, as positions in the services of the call.
struct Group {
    /// The hosts to hand the call over to, the preferred one first; none for direct sends.
    hosts: Vec<host::Name>,
    positions: Vec<usize>,
}

impl<L: Forward, R: RelayClient> Forward for Domain<L, R> {
    async fn forward(&self, service: &Service, call: Arc<Call>, options: Options) -> Completion {
        if !self.candidates().contains_key(service) {
            return self.local.forward(service, call, options).await;
        }
        let services = std::slice::from_ref(service);
        let batch = self.forward_all(services, &call, options).next().await;
        let outcome = batch.and_then(|batch| batch.outcomes.into_iter().next());
        outcome.map_or_else(not_sent, |(_, forwarded)| forwarded)
    }

    fn forward_all<'a>(
        &'a self,
        services: &'a [Service],
        call: &'a Arc<Call>,
        options: Options,
    ) -> impl Stream<Item = Batch> + Send + Unpin + 'a {
        let groups = self.group(services);
        let (batches_tx, mut batches) = mpsc::unbounded_channel();
        let forwarding = Forwarding {
            services,
            call,
            options,
        };
        let mut sends: FuturesUnordered<_> = groups
            .into_iter()
            .map(|group| Box::pin(self.send(group, forwarding, batches_tx.clone())))
            .collect();
        drop(batches_tx);
        stream::poll_fn(move |cx| {
            while let Poll::Ready(Some(())) = sends.poll_next_unpin(cx) {}
            batches.poll_recv(cx)
        })
    }

    fn admits(&self, service: &Service, options: &Options) -> Result<(), Cause> {
        let candidates = self.candidates();
        let sender = self
            .senders(&candidates, service, &self.suspicions())
            .next();
        match sender {
            Some(_) => Ok(()),
            None => self.local.admits(service, options),
        }
    }

    fn record_notice(&self, service: &Service, notice: &leaf::Notice) {
        self.local.record_notice(service, notice);
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
        lost: 0,
        notices: Vec::new(),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
