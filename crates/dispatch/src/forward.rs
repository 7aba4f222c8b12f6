//! One forwarded call to one service: attempts, hedges and repeats.

use std::{fmt::Display, sync::Arc};

use rattanmast_model::{
    catalog,
    forward::{self, Call, Forwarded, Missed, Reply, Terms},
    leaf::{self, Connector, Forward, Forwarder},
    peer::Cause,
};
use smol_str::format_smolstr;
use tokio::time::{Duration, Instant};

use crate::{
    Dispatcher,
    attempt::{Attempt, End},
    hedge::{Hedge as _, Open},
    hedging::{Token, next, wait_until},
    latency::Level,
    lease::Lease,
    policy::Policy,
    service::Service,
    work::Passing,
};

/// The hedges of a call do not depend on other parts of the same query.
const SINGLE: Open = Open { start: 1, now: 1 };

/// A call on its way through one service.
pub(crate) struct Passage<'a, C: Connector, P: Policy> {
    service: &'a Arc<Service<C, P>>,
    call: Arc<Call>,
    terms: Terms,
    /// At most one first try and one hedge.
    attempts: [Option<Attempt<Reply>>; 2],
    /// Leafs that may be asked, a bit each.
    eligible: u64,
    /// Requests that may have run.
    runs: u32,
    sent: u32,
    /// The last failure that a leaf reported.
    failure: Option<Reply>,
}

impl<'a, C: Connector, P: Policy> Passage<'a, C, P>
where
    C::Link: Forwarder,
{
    pub(crate) fn new(service: &'a Arc<Service<C, P>>, call: Arc<Call>, terms: Terms) -> Self {
        Self {
            service,
            call,
            terms,
            attempts: [None, None],
            eligible: u64::MAX,
            runs: 0,
            sent: 0,
            failure: None,
        }
    }

    /// Passes the call on to its end, at the latest at its deadline.
    pub(crate) async fn run(mut self) -> Forwarded {
        let result = match tokio::time::timeout_at(self.terms.deadline, self.find()).await {
            Ok(result) => result,
            Err(_) => {
                self.service.shared.counters.late.add(1);
                Err(Cause::Late)
            }
        };
        Forwarded {
            result: result.map_err(|cause| Missed {
                cause,
                reply: self.failure.take(),
            }),
            begun: self.runs > 0,
            sent: self.sent,
        }
    }

    async fn find(&mut self) -> Result<Reply, Cause> {
        // Counted before it is sent: the budget is a share of what callers ask for.
        self.service.lock().hedge.earn(self.terms.rank);
        let lease = self.acquire().await?;
        self.start(lease);
        let mut hedge = self.hedge_at(Instant::now());
        loop {
            let (replica, end) = tokio::select! {
                biased;
                end = next(&mut self.attempts) => end,
                () = wait_until(hedge) => match self.hedge().await {
                    Some(end) => end,
                    None => {
                        hedge = self.hedge_at(Instant::now());
                        continue;
                    }
                }
            };
            match end {
                End::Found(reply) => return Ok(reply),
                End::Refuted(reply) => {
                    self.failed(replica, &format_args!("status {}", reply.status));
                    self.failure = Some(reply);
                    self.repeat(replica, Cause::Unreachable, true).await?;
                }
                End::GivenUp => {
                    self.failed(replica, &"connection is silent");
                    self.repeat(replica, Cause::Unreachable, true).await?;
                }
                End::Failed(error) => {
                    self.failed(replica, &error);
                    let begun = !error.not_begun();
                    let cause = match &error {
                        leaf::Error::Shed { .. } => Cause::Overload,
                        leaf::Error::Expired { .. } => Cause::Late,
                        _ => Cause::Unreachable,
                    };
                    let arrived = begun || error.load().is_some();
                    self.runs -= u32::from(!begun);
                    self.repeat(replica, cause, arrived).await?;
                }
            }
            hedge = self.hedge_at(Instant::now());
        }
    }

    /// Sends the call to another leaf, on budget if the last request `arrived` at its leaf.
    ///
    /// A call that must not run twice has had its one run once it may have begun.
    async fn repeat(&mut self, replica: usize, cause: Cause, arrived: bool) -> Result<(), Cause> {
        self.eligible &= !(1 << replica);
        if self.attempts.iter().any(Option::is_some) {
            return Ok(());
        }
        if self.runs >= self.limit() {
            return Err(cause);
        }
        let usable = self.service.lock().usable(Instant::now());
        if usable & self.eligible == 0 {
            return Err(cause);
        }
        let token = match arrived {
            true => Some(Token::take(self.service, self.terms.rank).ok_or(cause.clone())?),
            false => None,
        };
        let lease = self.acquire().await.map_err(|_| cause.clone())?;
        if let Some(token) = token {
            token.spend();
        }
        self.service.shared.counters.repeats.add(1);
        let why = format_smolstr!("{cause:?}");
        self.note(replica, lease.replica, &why);
        self.start(lease);
        Ok(())
    }

    /// Returns how many leafs may run the call.
    fn limit(&self) -> u32 {
        match self.terms.repeatable {
            true => self.terms.attempts,
            false => 1,
        }
    }

    async fn acquire(&self) -> Result<Lease<C, P>, Cause> {
        let Terms { rank, deadline, .. } = self.terms;
        self.service.acquire(rank, deadline, self.eligible).await
    }

    fn start(&mut self, lease: Lease<C, P>) {
        let leaf = self.service.lock().replicas[lease.replica]
            .leaf
            .name
            .clone();
        let passing = Passing {
            forward: Forward {
                id: self.service.shared.ids.next(),
                call: Arc::clone(&self.call),
                leaf,
                deadline: self.terms.deadline,
            },
            repeatable: self.terms.repeatable,
        };
        self.runs += 1;
        self.sent += 1;
        let place = usize::from(self.attempts[0].is_some());
        self.attempts[place] = Some(Attempt::start(lease, passing));
    }

    /// Logs that a leaf did not serve the call.
    fn failed(&self, replica: usize, why: &impl Display) {
        let leaf = self.service.lock().replicas[replica].leaf.name.clone();
        let (request, service) = (&self.call.id, &self.service.name.collection);
        log::info!(
            "event=attempt_failed request={request} service={service} leaf={leaf} why=\"{why}\""
        );
    }

    /// Logs that the call is sent to another leaf too.
    fn note(&self, first: usize, second: usize, why: &str) {
        let state = self.service.lock();
        let leaf = |i: usize| state.replicas[i].leaf.name.clone();
        let (request, service) = (&self.call.id, &self.service.name.collection);
        let (first, second) = (leaf(first), leaf(second));
        log::info!(
            "event=sent_again request={request} service={service} from={first} to={second} \
             why=\"{why}\""
        );
    }

    /// Returns when to hedge the only attempt, if at all.
    ///
    /// The latest time leaves another leaf what it usually needs before the goal.
    fn hedge_at(&self, now: Instant) -> Option<Instant> {
        let [Some(first), None] = &self.attempts else {
            return None;
        };
        if !self.terms.repeatable || self.runs >= self.terms.attempts {
            return None;
        }
        let rank = self.terms.rank;
        let state = self.service.lock();
        let level = state.hedge.level(rank, SINGLE)?;
        let pace = self.service.pace();
        let slow =
            pace.quantile(rank, level)? + state.replicas[first.replica].way.unwrap_or_default();
        let usual = pace.quantile(rank, Level::P50)?;
        let others = (0..state.replicas.len()).filter(|i| *i != first.replica);
        let way = others.filter_map(|i| state.replicas[i].way).min();
        let latest = self
            .terms
            .goal
            .checked_sub(usual + way.unwrap_or_default())?;
        let at = match first.sent + slow {
            at if latest > first.sent => at.min(latest),
            at => at,
        };
        // A hedge that was not possible is tried again soon.
        Some(if at > now { at } else { now + RETRY })
    }

    /// Sends the call to another leaf too, if there is budget and room for it.
    async fn hedge(&mut self) -> Option<(usize, End<Reply>)> {
        let first = self.attempts[0].as_ref()?;
        let (service, rank) = (self.service, self.terms.rank);
        let usable = service.lock().usable(Instant::now());
        let others = usable & self.eligible & !(1 << first.replica);
        let token = (others != 0).then(|| Token::take(service, rank));
        let Some(Some(token)) = token else {
            return None;
        };
        let lease = tokio::select! {
            biased;
            end = next(&mut self.attempts) => return Some(end),
            lease = service.wait(rank, self.terms.deadline, others) => lease.ok()?,
        };
        token.spend();
        if let Some(first) = &self.attempts[0] {
            let after = first.sent.elapsed().as_millis();
            let why = format_smolstr!("no reply after {after} ms");
            self.note(first.replica, lease.replica, &why);
        }
        self.start(lease);
        None
    }
}

/// Time after which a hedge that was not possible is tried again.
const RETRY: Duration = Duration::from_millis(10);

impl<C: Connector, P: Policy> forward::Forward for Dispatcher<C, P>
where
    C::Link: Forwarder,
{
    async fn forward(
        &self,
        service: &catalog::Service,
        call: Arc<Call>,
        terms: Terms,
    ) -> Forwarded {
        let _hand = self.hold();
        match self.service(service) {
            Some(service) => Passage::new(&service, call, terms).run().await,
            None => Forwarded {
                result: Err(Missed {
                    cause: Cause::Unreachable,
                    reply: None,
                }),
                begun: false,
                sent: 0,
            },
        }
    }

    fn admits(&self, service: &catalog::Service, terms: &Terms) -> Result<(), Cause> {
        let now = Instant::now();
        let service = self.service(service).ok_or(Cause::Unreachable)?;
        let state = service.lock();
        if state.usable(now) == 0 {
            return Err(Cause::Unreachable);
        }
        state.check(terms.rank, terms.deadline, now, self.headroom())?;
        Ok(())
    }
}
