//! The search of one service: attempts, hedges and repeats.

use std::sync::Arc;

use rattanmast_model::{
    catalog::Snapshot,
    leaf::{self, Connector, Searcher},
    peer::{Ask, Cause, Subquery},
    range,
};
use tokio::time::Instant;

use crate::{
    attempt::{Attempt, End},
    hedge::{Hedge as _, Open},
    hedging::{Token, next, wait_until},
    lease::Lease,
    policy::Policy,
    progress::Progress,
    service::Service,
};

/// Repeats of one search after silent connections; each has cost a connection.
const REPEATS: u32 = 2;

/// What became of one ask.
#[derive(Debug, Default)]
pub(crate) struct Asked {
    pub(crate) parts: Vec<leaf::Part>,
    pub(crate) miss: Option<Cause>,
    pub(crate) sent: u32,
    pub(crate) begun: bool,
}

/// The search of one service.
pub(crate) struct Search<'a, C: Connector, P: Policy> {
    service: &'a Arc<Service<C, P>>,
    message: &'a Subquery,
    deadline: Instant,
    progress: &'a Progress,
    /// At most one first try and one hedge.
    attempts: [Option<Attempt<leaf::Found>>; 2],
    /// Leafs that may be asked, a bit each.
    eligible: u64,
    holds: Option<Vec<Snapshot>>,
    /// What is still to be found.
    missing: range::Set,
    /// Whether a leaf lacked some of the keys.
    lacked: bool,
    repeats: u32,
    shed: bool,
    asked: Asked,
}

impl<'a, C: Connector, P: Policy> Search<'a, C, P>
where
    C::Link: Searcher,
{
    pub(crate) fn new(
        service: &'a Arc<Service<C, P>>,
        message: &'a Subquery,
        ask: &'a Ask,
        deadline: Instant,
        progress: &'a Progress,
    ) -> Self {
        let eligible = service.lock().named(&ask.leafs);
        Self {
            service,
            message,
            deadline,
            progress,
            attempts: [None, None],
            eligible,
            holds: None,
            missing: range::Set::of(ask.ranges.iter().copied()),
            lacked: false,
            repeats: 0,
            shed: false,
            asked: Asked::default(),
        }
    }

    /// Runs the search to its end, at the latest at its deadline.
    pub(crate) async fn run(mut self) -> Asked {
        let result = match tokio::time::timeout_at(self.deadline, self.find()).await {
            Ok(result) => result,
            Err(_) => {
                self.service.shared.counters.late.add(1);
                Err(Cause::Late)
            }
        };
        // What is still at a leaf may have begun there.
        self.asked.begun |= self.attempts.iter().any(Option::is_some);
        self.asked.miss = result.err();
        self.asked
    }

    /// Accepts parts that lie in the asked ranges and do not overlap.
    fn accept(&mut self, parts: Vec<leaf::Part>) {
        for part in parts {
            if !part.range.is_empty() && self.missing.covers(part.range) {
                self.missing.remove(part.range);
                self.asked.parts.push(part);
            }
        }
    }

    async fn find(&mut self) -> Result<(), Cause> {
        let lease = self.acquire().await?;
        self.service.lock().hedge.earn(self.message.rank);
        self.start(lease);
        let mut hedge = self.hedge_at(Instant::now());
        loop {
            let end = tokio::select! {
                biased;
                end = next(&mut self.attempts) => end,
                () = wait_until(hedge) => match self.hedge().await {
                    Hedged::Ended(end) => end,
                    Hedged::Again(at) => {
                        hedge = at;
                        continue;
                    }
                }
            };
            let (replica, end) = end;
            match end {
                End::Found(found) | End::Refuted(found) => {
                    self.asked.begun = true;
                    self.accept(found.parts);
                    if self.missing.is_empty() {
                        return Ok(());
                    }
                    self.lacking(replica).await?;
                }
                End::GivenUp => {
                    self.asked.begun = true;
                    if self.is_waiting() {
                        continue;
                    }
                    if self.repeats == REPEATS {
                        return Err(Cause::Unreachable);
                    }
                    self.repeats += 1;
                    self.repeat().await?;
                }
                End::Failed(error) => self.failed(replica, error).await?,
            }
            hedge = self.hedge_at(Instant::now());
        }
    }

    fn is_waiting(&self) -> bool {
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
        self.asked.sent += 1;
        let place = usize::from(self.attempts[0].is_some());
        self.attempts[place] = Some(Attempt::start(lease, search));
    }

    async fn repeat(&mut self) -> Result<(), Cause> {
        let lease = self.acquire().await?;
        self.service.shared.counters.repeats.add(1);
        self.start(lease);
        Ok(())
    }

    /// Goes on after a failure: elsewhere at once if the leaf had not begun, else on budget.
    async fn failed(&mut self, replica: usize, error: leaf::Error) -> Result<(), Cause> {
        self.asked.begun |= !error.not_begun();
        self.eligible &= !(1 << replica);
        let first_shed = matches!(error, leaf::Error::Shed { .. }) && !self.shed;
        let (cause, again) = match error {
            leaf::Error::Gone { holds, .. } => {
                let known = self.holds.get_or_insert_default();
                known.extend(holds);
                known.sort_unstable();
                known.dedup();
                (Cause::Gone(known.clone()), true)
            }
            leaf::Error::Shed { .. } => (Cause::Overload, first_shed),
            leaf::Error::Expired { .. } => (Cause::Late, false),
            leaf::Error::Connect { .. } | leaf::Error::Full | leaf::Error::Leaving { .. } => {
                (Cause::Unreachable, true)
            }
            leaf::Error::Broken { .. } | leaf::Error::Failed { .. } => (Cause::Unreachable, false),
        };
        self.shed |= first_shed;
        if self.is_waiting() {
            return Ok(());
        }
        let now = Instant::now();
        let others = self.service.lock().usable(now) & self.eligible != 0;
        if others && again {
            return self.repeat().await.map_err(|_| cause);
        }
        let failed = cause == Cause::Unreachable;
        let token = (others && failed).then(|| Token::take(self.service, self.message.rank));
        let Some(Some(token)) = token else {
            return Err(cause);
        };
        let lease = self.acquire().await.map_err(|_| cause)?;
        token.spend();
        self.start(lease);
        Ok(())
    }

    /// Goes on after a leaf that lacks some of the keys: one other leaf is asked for the rest.
    ///
    /// A leaf that lags behind answers fastest, so the root's repeats would go to it too. Where
    /// the data has moved to another service no leaf has it, so more than one is not asked.
    async fn lacking(&mut self, replica: usize) -> Result<(), Cause> {
        self.eligible &= !(1 << replica);
        if self.is_waiting() {
            return Ok(());
        }
        let others = self.service.lock().usable(Instant::now()) & self.eligible != 0;
        if self.lacked || !others {
            return Err(Cause::Moved);
        }
        self.lacked = true;
        self.repeat().await.map_err(|_| Cause::Moved)
    }

    fn open(&self) -> Open {
        Open {
            start: self.message.open,
            now: self.message.open.saturating_sub(self.progress.done()),
        }
    }

    /// Returns when to hedge the only attempt, if at all.
    fn hedge_at(&self, now: Instant) -> Option<Instant> {
        let [Some(first), None] = &self.attempts else {
            return None;
        };
        let rank = self.message.rank;
        let state = self.service.lock();
        let level = state.hedge.level(rank, self.open())?;
        let slow = state.slow(first.replica, rank, level)?;
        let at = first.sent + slow;
        // A hedge that was not possible is tried again after half of the time.
        Some(if at > now { at } else { now + slow / 2 })
    }

    /// Sends the search to another leaf too, if there is evidence, budget and room for it.
    ///
    /// It waits for its turn like any request. A long wait shows that slowness comes from load.
    async fn hedge(&mut self) -> Hedged {
        let Some(first) = &self.attempts[0] else {
            return Hedged::Again(None);
        };
        let (service, rank) = (self.service, self.message.rank);
        let (now, waited) = (Instant::now(), first.sent.elapsed());
        let (queued, hedge_targets) = {
            let state = service.lock();
            (state.waits(now)[rank.index()], state.hedge_targets(now))
        };
        let others = hedge_targets & self.eligible & !(1 << first.replica);
        let worth = others != 0 && queued < waited / 2;
        let token = worth.then(|| Token::take(service, rank));
        let Some(Some(token)) = token else {
            return Hedged::Again(self.hedge_at(now));
        };
        let lease = tokio::select! {
            biased;
            end = next(&mut self.attempts) => return Hedged::Ended(end),
            lease = service.wait(rank, self.deadline, others) => lease,
        };
        let Ok(lease) = lease else {
            return Hedged::Again(self.hedge_at(Instant::now()));
        };
        token.spend();
        self.start(lease);
        Hedged::Again(None)
    }
}

/// What became of the wait for a hedge.
enum Hedged {
    /// An attempt ended before the hedge was sent.
    Ended((usize, End<leaf::Found>)),
    /// When to hedge next, if at all.
    Again(Option<Instant>),
}
