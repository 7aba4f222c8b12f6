//! Searches one service: attempts, hedges and retries.

use std::sync::Arc;

use rattanmast_model::{
    catalog::Snapshot,
    leaf::{self, Connector, Searcher},
    peer::{Ask, Cause, Subquery},
    range,
};
use tokio::time::Instant;

use crate::{
    attempt::{Attempt, Outcome},
    hedge::{Hedge as _, OpenParts},
    hedging::{HedgeToken, next_outcome, wait_until},
    lease::Lease,
    policy::Policy,
    progress::Progress,
    service::Service,
};

/// Retries of one search after silent connections; each of them has cost a connection.
const MAX_SILENCE_RETRIES: u32 = 2;

/// The result of searching one service.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub(crate) parts: Vec<leaf::Part>,
    pub(crate) miss: Option<Cause>,
    pub(crate) sent: u32,
    pub(crate) begun: bool,
}

/// A search of one service.
pub(crate) struct Search<'a, C: Connector, P: Policy> {
    service: &'a Arc<Service<C, P>>,
    message: &'a Subquery,
    deadline: Instant,
    progress: &'a Progress,
    /// At most one first attempt or retry, and one hedge.
    attempts: [Option<Attempt<leaf::SearchReply>>; 2],
    /// Bit set of the leafs that may be asked.
    eligible: u64,
    held_snapshots: Option<Vec<Snapshot>>,
    /// Key ranges that are not answered yet.
    missing: range::Set,
    /// Whether the search was retried because a leaf lacked some of the keys.
    missing_retried: bool,
    silence_retries: u32,
    shed_retried: bool,
    answer: Answer,
}

impl<'a, C: Connector, P: Policy> Search<'a, C, P>
where
    C::Connection: Searcher,
{
    pub(crate) fn new(
        service: &'a Arc<Service<C, P>>,
        message: &'a Subquery,
        ask: &'a Ask,
        deadline: Instant,
        progress: &'a Progress,
    ) -> Self {
        let eligible = service.lock().matching_names(&ask.leafs);
        Self {
            service,
            message,
            deadline,
            progress,
            attempts: [None, None],
            eligible,
            held_snapshots: None,
            missing: range::Set::of(ask.ranges.iter().copied()),
            missing_retried: false,
            silence_retries: 0,
            shed_retried: false,
            answer: Answer::default(),
        }
    }

    /// Runs the search until it ends or its deadline passes.
    pub(crate) async fn run(mut self) -> Answer {
        let result = match tokio::time::timeout_at(self.deadline, self.execute()).await {
            Ok(result) => result,
            Err(_) => {
                self.service.shared.counters.late.add(1);
                Err(Cause::Late)
            }
        };
        // An attempt that is still in flight may have begun.
        self.answer.begun |= self.attempts.iter().any(Option::is_some);
        self.answer.miss = result.err();
        self.answer
    }

    /// Accepts parts that lie in the asked ranges and do not overlap.
    fn accept(&mut self, parts: Vec<leaf::Part>) {
        for part in parts {
            if !part.range.is_empty() && self.missing.covers(part.range) {
                self.missing.remove(part.range);
                self.answer.parts.push(part);
            }
        }
    }

    async fn execute(&mut self) -> Result<(), Cause> {
        let lease = self.acquire().await?;
        self.service.lock().hedge.earn(self.message.rank);
        self.start(lease);
        let mut hedge = self.hedge_at(Instant::now());
        loop {
            let outcome = tokio::select! {
                biased;
                outcome = next_outcome(&mut self.attempts) => outcome,
                () = wait_until(hedge) => match self.hedge().await {
                    HedgeResult::Ended(outcome) => outcome,
                    HedgeResult::NextAt(at) => {
                        hedge = at;
                        continue;
                    }
                }
            };
            let (replica, outcome) = outcome;
            match outcome {
                Outcome::Success(found) | Outcome::Failure(found) => {
                    self.answer.begun = true;
                    self.accept(found.parts);
                    if self.missing.is_empty() {
                        return Ok(());
                    }
                    self.handle_missing(replica).await?;
                }
                Outcome::Abandoned => {
                    self.answer.begun = true;
                    if self.has_attempt() {
                        continue;
                    }
                    if self.silence_retries == MAX_SILENCE_RETRIES {
                        return Err(Cause::Unreachable);
                    }
                    self.silence_retries += 1;
                    self.retry().await?;
                }
                Outcome::Error(error) => self.handle_error(replica, error).await?,
            }
            hedge = self.hedge_at(Instant::now());
        }
    }

    fn has_attempt(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    async fn acquire(&self) -> Result<Lease<C, P>, Cause> {
        let rank = self.message.rank;
        self.service
            .acquire(rank, self.deadline, self.eligible)
            .await
    }

    fn start(&mut self, lease: Lease<C, P>) {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let search = leaf::Search {
            id: self.service.shared.ids.next(),
            collection: self.message.collection.clone(),
            snapshot: self.message.snapshot,
            ranges: self.missing.ranges().to_vec(),
            text: self.message.text.clone(),
            rank: self.message.rank,
            budget_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            trace: self.message.trace,
        };
        self.answer.sent += 1;
        let slot = usize::from(self.attempts[0].is_some());
        self.attempts[slot] = Some(Attempt::start(lease, search));
    }

    async fn retry(&mut self) -> Result<(), Cause> {
        let lease = self.acquire().await?;
        self.service.shared.counters.retries.add(1);
        self.start(lease);
        Ok(())
    }

    /// Retries at another leaf: at once if the leaf had not begun, else within the hedge budget.
    ///
    /// A search is retried after only one shed, and not at all after a leaf reported that its
    /// deadline had expired.
    async fn handle_error(&mut self, replica: usize, error: leaf::Error) -> Result<(), Cause> {
        self.answer.begun |= !error.not_begun();
        self.eligible &= !(1 << replica);
        let first_shed = matches!(error, leaf::Error::Shed { .. }) && !self.shed_retried;
        let (cause, retryable) = match error {
            leaf::Error::Gone { holds, .. } => {
                let held = self.held_snapshots.get_or_insert_default();
                held.extend(holds);
                held.sort_unstable();
                held.dedup();
                (Cause::Gone(held.clone()), true)
            }
            leaf::Error::Shed { .. } => (Cause::Overload, first_shed),
            leaf::Error::Expired { .. } => (Cause::Late, false),
            leaf::Error::Connect { .. } | leaf::Error::Full | leaf::Error::Leaving { .. } => {
                (Cause::Unreachable, true)
            }
            leaf::Error::Broken { .. } | leaf::Error::Lost { .. } | leaf::Error::Failed { .. } => {
                (Cause::Unreachable, false)
            }
        };
        self.shed_retried |= first_shed;
        if self.has_attempt() {
            return Ok(());
        }
        let now = Instant::now();
        let others = self.service.lock().usable(now) & self.eligible != 0;
        if others && retryable {
            return self.retry().await.map_err(|_| cause);
        }
        let failed = cause == Cause::Unreachable;
        let token =
            (others && failed).then(|| HedgeToken::acquire(self.service, self.message.rank));
        let Some(Some(token)) = token else {
            return Err(cause);
        };
        let lease = self.acquire().await.map_err(|_| cause)?;
        token.spend();
        self.start(lease);
        Ok(())
    }

    /// Asks one other leaf for the keys that a leaf lacked.
    ///
    /// A leaf that lags behind answers fastest, so retries of the root would reach it too. Only one
    /// other leaf is asked, since no leaf has data that moved to another service.
    async fn handle_missing(&mut self, replica: usize) -> Result<(), Cause> {
        self.eligible &= !(1 << replica);
        if self.has_attempt() {
            return Ok(());
        }
        let others = self.service.lock().usable(Instant::now()) & self.eligible != 0;
        if self.missing_retried || !others {
            return Err(Cause::Moved);
        }
        self.missing_retried = true;
        self.retry().await.map_err(|_| Cause::Moved)
    }

    fn open_parts(&self) -> OpenParts {
        OpenParts {
            start: self.message.open,
            now: self.message.open.saturating_sub(self.progress.done()),
        }
    }

    /// Returns when to hedge, if exactly one attempt is in flight and the budget allows it.
    fn hedge_at(&self, now: Instant) -> Option<Instant> {
        let [Some(first), None] = &self.attempts else {
            return None;
        };
        let rank = self.message.rank;
        let state = self.service.lock();
        let quantile = state.hedge.quantile(rank, self.open_parts())?;
        let slow_after = state.slow_after(first.replica, rank, quantile)?;
        let at = first.sent_at + slow_after;
        // After a hedge that was not possible, the next one is due after half of the time.
        Some(if at > now { at } else { now + slow_after / 2 })
    }

    /// Sends a hedge if another leaf is fast enough, the queue is short and the budget allows it.
    ///
    /// The hedge is queued like any request. A long wait means that load causes the slowness, which
    /// a hedge would add to.
    async fn hedge(&mut self) -> HedgeResult {
        let Some(first) = &self.attempts[0] else {
            return HedgeResult::NextAt(None);
        };
        let (service, rank) = (self.service, self.message.rank);
        let (now, waited) = (Instant::now(), first.sent_at.elapsed());
        let (queued, hedge_targets) = {
            let state = service.lock();
            (
                state.expected_waits(now)[rank.index()],
                state.hedge_targets(now),
            )
        };
        let others = hedge_targets & self.eligible & !(1 << first.replica);
        let worthwhile = others != 0 && queued < waited / 2;
        let token = worthwhile.then(|| HedgeToken::acquire(service, rank));
        let Some(Some(token)) = token else {
            return HedgeResult::NextAt(self.hedge_at(now));
        };
        let lease = tokio::select! {
            biased;
            outcome = next_outcome(&mut self.attempts) => return HedgeResult::Ended(outcome),
            lease = service.acquire_uncounted(rank, self.deadline, others) => lease,
        };
        let Ok(lease) = lease else {
            return HedgeResult::NextAt(self.hedge_at(Instant::now()));
        };
        token.spend();
        self.start(lease);
        HedgeResult::NextAt(None)
    }
}

/// The result of trying to hedge.
enum HedgeResult {
    /// An attempt ended before the hedge was sent.
    Ended((usize, Outcome<leaf::SearchReply>)),
    /// When to try the next hedge, if at all.
    NextAt(Option<Instant>),
}
