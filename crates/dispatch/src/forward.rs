//! Forwards one call to one service: attempts, hedges and retries.

use std::{fmt::Display, sync::Arc};

use futures::stream::{FuturesUnordered, Stream};
use rattanmast_model::{
    catalog,
    forward::{self, Batch, Call, Completion, Options, Reply},
    leaf::{self, Connector, Forward, Forwarder},
    peer::Cause,
};
use smol_str::format_smolstr;
use tokio::time::{Duration, Instant};

use crate::{
    Dispatcher,
    attempt::{Attempt, Outcome},
    hedge::{Hedge as _, OpenParts},
    hedging::{HedgeToken, next_outcome, wait_until},
    latency::Quantile,
    lease::Lease,
    losses::Losses,
    policy::Policy,
    service::Service,
    work::ForwardRequest,
};

/// A call has no other parts that its hedges could depend on.
const SINGLE_PART: OpenParts = OpenParts { start: 1, now: 1 };

/// A call that is forwarded to one service.
pub(crate) struct ForwardedCall<'a, C: Connector, P: Policy> {
    service: &'a Arc<Service<C, P>>,
    call: Arc<Call>,
    options: Options,
    /// At most one first attempt or retry, and one hedge.
    attempts: [Option<Attempt<Reply>>; 2],
    /// Bit set of the leafs that may be asked.
    eligible: u64,
    /// Attempts that may have run at a leaf.
    possible_runs: u32,
    sent: u32,
    /// Leafs that crashed under the call, as far as this host knows.
    lost: u32,
    /// The same for all services of the call.
    losses: Arc<Losses>,
    /// The last reply that reported a failure.
    failure: Option<Reply>,
    /// What the leafs that answered said of themselves.
    notices: Vec<leaf::Notice>,
}

impl<'a, C: Connector, P: Policy> ForwardedCall<'a, C, P>
where
    C::Connection: Forwarder,
{
    pub(crate) fn new(
        service: &'a Arc<Service<C, P>>,
        call: Arc<Call>,
        options: Options,
        losses: Arc<Losses>,
    ) -> Self {
        Self {
            service,
            call,
            options,
            attempts: [None, None],
            eligible: u64::MAX,
            possible_runs: 0,
            sent: 0,
            lost: 0,
            losses,
            failure: None,
            notices: Vec::new(),
        }
    }

    /// Runs the call until it ends or its deadline passes.
    pub(crate) async fn run(mut self) -> Completion {
        let result = match tokio::time::timeout_at(self.options.deadline, self.execute()).await {
            Ok(result) => result,
            Err(_) => {
                self.service.shared.counters.late.add(1);
                Err(Cause::Late)
            }
        };
        Completion {
            result: result.map_err(|cause| forward::Error {
                cause,
                reply: self.failure.take(),
            }),
            begun: self.possible_runs > 0,
            sent: self.sent,
            lost: self.lost,
            notices: self.notices,
        }
    }

    async fn execute(&mut self) -> Result<Reply, Cause> {
        // Credited before the send: the budget is a share of the calls that arrive.
        self.service.lock().hedge.earn(self.options.rank);
        let lease = self.acquire().await?;
        self.start(lease);
        let mut hedge = self.hedge_at(Instant::now());
        loop {
            let (replica, outcome) = tokio::select! {
                biased;
                outcome = next_outcome(&mut self.attempts) => outcome,
                () = wait_until(hedge) => match self.hedge().await {
                    Some(outcome) => outcome,
                    None => {
                        hedge = self.hedge_at(Instant::now());
                        continue;
                    }
                }
            };
            self.notices.extend(self.service.notice(replica));
            match outcome {
                Outcome::Success(reply) => {
                    self.losses.record_reply();
                    return Ok(reply);
                }
                Outcome::Failure(reply) => {
                    self.losses.record_reply();
                    self.log_failure(replica, &format_args!("status {}", reply.status));
                    self.failure = Some(reply);
                    self.retry(replica, Cause::Unreachable, true).await?;
                }
                Outcome::Abandoned => {
                    self.log_failure(replica, &"connection is silent");
                    self.retry(replica, Cause::Unreachable, true).await?;
                }
                Outcome::Error(leaf::Error::Lost { why }) => {
                    self.log_failure(replica, &leaf::Error::Lost { why });
                    self.record_end(replica).await;
                    self.retry(replica, Cause::Unreachable, true).await?;
                }
                Outcome::Error(error) => {
                    self.log_failure(replica, &error);
                    let begun = !error.not_begun();
                    let cause = match &error {
                        leaf::Error::Shed { .. } => Cause::Overload,
                        leaf::Error::Expired { .. } => Cause::Late,
                        _ => Cause::Unreachable,
                    };
                    let reached_leaf = begun || error.load().is_some();
                    self.possible_runs -= u32::from(!begun);
                    self.retry(replica, cause, reached_leaf).await?;
                }
            }
            hedge = self.hedge_at(Instant::now());
        }
    }

    /// Retries at another leaf, within the hedge budget if the last attempt reached its leaf.
    ///
    /// A call that must not run twice is not retried once it may have begun.
    async fn retry(
        &mut self,
        replica: usize,
        cause: Cause,
        reached_leaf: bool,
    ) -> Result<(), Cause> {
        self.eligible &= !(1 << replica);
        if self.attempts.iter().any(Option::is_some) {
            return Ok(());
        }
        if self.possible_runs >= self.max_runs() {
            return Err(cause);
        }
        if self.losses.is_suspicious() && !self.losses.may_retry().await {
            return Err(cause);
        }
        let usable = self.service.lock().usable(Instant::now());
        if usable & self.eligible == 0 {
            return Err(cause);
        }
        let token = match reached_leaf {
            true => {
                Some(HedgeToken::acquire(self.service, self.options.rank).ok_or(cause.clone())?)
            }
            false => None,
        };
        let lease = self.acquire().await.map_err(|_| cause.clone())?;
        if let Some(token) = token {
            token.spend();
        }
        self.service.shared.counters.retries.add(1);
        let why = format_smolstr!("{cause:?}");
        self.log_retry(replica, lease.replica, &why);
        self.start(lease);
        Ok(())
    }

    /// Records whether a leaf that ended the connection of an attempt has crashed.
    ///
    /// That does not matter once another leaf has survived the call.
    async fn record_end(&mut self, replica: usize) {
        if !self.losses.is_replied() && !self.service.is_accepting(replica).await {
            self.lost += 1;
            self.losses.record_loss();
        }
    }

    /// Returns the maximum number of leafs that may run the call.
    fn max_runs(&self) -> u32 {
        match self.options.idempotent {
            true => self.options.max_attempts,
            false => 1,
        }
    }

    async fn acquire(&self) -> Result<Lease<C, P>, Cause> {
        let Options { rank, deadline, .. } = self.options;
        self.service.acquire(rank, deadline, self.eligible).await
    }

    fn start(&mut self, lease: Lease<C, P>) {
        let leaf = self.service.lock().replicas[lease.replica]
            .leaf
            .name
            .clone();
        let request = ForwardRequest {
            forward: Forward {
                id: self.service.shared.ids.next(),
                call: Arc::clone(&self.call),
                leaf,
                deadline: self.options.deadline,
            },
            idempotent: self.options.idempotent,
        };
        self.possible_runs += 1;
        self.sent += 1;
        let slot = usize::from(self.attempts[0].is_some());
        self.attempts[slot] = Some(Attempt::start(lease, request));
    }

    /// Logs a failed attempt.
    fn log_failure(&self, replica: usize, why: &impl Display) {
        let leaf = self.service.lock().replicas[replica].leaf.name.clone();
        let (request, service) = (&self.call.id, &self.service.name.collection);
        log::info!(
            "event=attempt_failed request={request} service={service} leaf={leaf} why=\"{why}\""
        );
    }

    /// Logs that the call is sent to a second leaf, as a retry or a hedge.
    fn log_retry(&self, first: usize, second: usize, why: &str) {
        let state = self.service.lock();
        let leaf = |i: usize| state.replicas[i].leaf.name.clone();
        let (request, service) = (&self.call.id, &self.service.name.collection);
        let (first, second) = (leaf(first), leaf(second));
        log::info!(
            "event=sent_again request={request} service={service} from={first} to={second} \
             why=\"{why}\""
        );
    }

    /// Returns when to hedge, if exactly one attempt is in flight and another may run.
    ///
    /// The hedge is sent early enough for another leaf to reply before the latency goal, but not
    /// before the first one has had the time that its replies usually take.
    fn hedge_at(&self, now: Instant) -> Option<Instant> {
        let [Some(first), None] = &self.attempts else {
            return None;
        };
        if !self.options.idempotent || self.possible_runs >= self.options.max_attempts {
            return None;
        }
        let rank = self.options.rank;
        let state = self.service.lock();
        let quantile = state.hedge.quantile(rank, SINGLE_PART)?;
        let processing_times = self.service.processing_times();
        let first_round_trip = state.replicas[first.replica].round_trip.unwrap_or_default();
        let slow_after = processing_times.quantile(rank, quantile)? + first_round_trip;
        let usual_time = processing_times.quantile(rank, Quantile::P50)?;
        let earliest = first.sent_at + usual_time + first_round_trip;
        let others = (0..state.replicas.len()).filter(|i| *i != first.replica);
        let round_trip = others.filter_map(|i| state.replicas[i].round_trip).min();
        let latest = self
            .options
            .goal
            .checked_sub(usual_time + round_trip.unwrap_or_default())?;
        let at = match first.sent_at + slow_after {
            at if latest > first.sent_at => at.min(latest.max(earliest)),
            at => at,
        };
        // After a hedge that was not possible, the next one is due after a short delay.
        Some(if at > now {
            at
        } else {
            now + HEDGE_RETRY_DELAY
        })
    }

    /// Sends a hedge to another leaf, if one is usable and the budget allows it.
    async fn hedge(&mut self) -> Option<(usize, Outcome<Reply>)> {
        let first = self.attempts[0].as_ref()?;
        if !self.losses.may_hedge() {
            return None;
        }
        let (service, rank) = (self.service, self.options.rank);
        let usable = service.lock().usable(Instant::now());
        let others = usable & self.eligible & !(1 << first.replica);
        let token = (others != 0).then(|| HedgeToken::acquire(service, rank));
        let Some(Some(token)) = token else {
            return None;
        };
        let lease = tokio::select! {
            biased;
            outcome = next_outcome(&mut self.attempts) => return Some(outcome),
            lease = service.acquire_uncounted(rank, self.options.deadline, others) => lease.ok()?,
        };
        token.spend();
        self.losses.record_hedge();
        if let Some(first) = &self.attempts[0] {
            let after = first.sent_at.elapsed().as_millis();
            let why = format_smolstr!("no reply after {after} ms");
            self.log_retry(first.replica, lease.replica, &why);
        }
        self.start(lease);
        None
    }
}

/// Delay before the next hedge after one that was not possible.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(10);

impl<C: Connector, P: Policy> Dispatcher<C, P>
where
    C::Connection: Forwarder,
{
    /// Forwards a call to one of the services that `losses` is shared by.
    async fn forward_to(
        &self,
        service: &catalog::Service,
        call: Arc<Call>,
        options: Options,
        losses: Arc<Losses>,
    ) -> Completion {
        let _guard = self.track_message();
        match self.service(service) {
            Some(service) => {
                let call = ForwardedCall::new(&service, call, options, losses);
                call.run().await
            }
            None => Completion {
                result: Err(forward::Error {
                    cause: Cause::Unreachable,
                    reply: None,
                }),
                begun: false,
                sent: 0,
                lost: 0,
                notices: Vec::new(),
            },
        }
    }
}

impl<C: Connector, P: Policy> forward::Forward for Dispatcher<C, P>
where
    C::Connection: Forwarder,
{
    async fn forward(
        &self,
        service: &catalog::Service,
        call: Arc<Call>,
        options: Options,
    ) -> Completion {
        let losses = Arc::new(Losses::new(1));
        self.forward_to(service, call, options, losses).await
    }

    fn forward_all<'a>(
        &'a self,
        services: &'a [catalog::Service],
        call: &'a Arc<Call>,
        options: Options,
    ) -> impl Stream<Item = Batch> + Send + Unpin + 'a {
        let losses = Arc::new(Losses::new(services.len()));
        let send = move |(position, service)| {
            let (call, losses) = (Arc::clone(call), Arc::clone(&losses));
            async move {
                let completion = self.forward_to(service, call, options, losses).await;
                Batch::from((position, completion))
            }
        };
        let calls = services.iter().enumerate().map(send);
        calls.collect::<FuturesUnordered<_>>()
    }

    fn admits(&self, service: &catalog::Service, options: &Options) -> Result<(), Cause> {
        let now = Instant::now();
        let service = self.service(service).ok_or(Cause::Unreachable)?;
        let state = service.lock();
        if state.usable(now) == 0 {
            return Err(Cause::Unreachable);
        }
        state.check_deadline(options.rank, options.deadline, now, self.headroom())?;
        Ok(())
    }

    fn record_notice(&self, service: &catalog::Service, notice: &leaf::Notice) {
        self.record_report(notice);
        // If the service has no listed leafs, the report binds once it has.
        if let Some(service) = self.service(service) {
            service.record_notice(notice);
        }
    }
}
