//! Calls whose content the product passes on: from the route to the answer.

use std::{
    sync::{Arc, Mutex, PoisonError, RwLock},
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{
    forward::{Call, Forward, Missed, Reply, Terms},
    peer::Cause,
    route::{Route, Share, Table, Target},
};
use tokio::time::Instant;

use crate::scatter::{self, Scatter};

/// A result of a call.
pub type Result<T> = std::result::Result<T, Refusal>;

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// What to pass on.
    pub call: Call,
    /// The authority that the caller named.
    pub authority: smol_str::SmolStr,
    /// When the request began to arrive.
    pub received: Instant,
    /// Whether the caller opened its connection for this request.
    pub fresh: bool,
    /// How long the caller waits.
    pub wait: Option<Duration>,
}

/// An answer that a caller gets.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A leaf's reply as it is, also one that reports a failure.
    Passed(Reply),
    /// An answer made of the replies of many services.
    Merged(scatter::Answer),
}

/// How a call that may have run failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The time ran out.
    Late,
    /// The connections to the leafs broke, or their replies were not usable.
    Broken,
}

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    Unready,
    /// The configuration has no such route.
    NoRoute,
    /// No leaf began the call.
    NotRun(Cause),
    /// A leaf may have run the call.
    Unknown(Failure),
}

/// Times that the relay keeps back.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What a request and its answer need on their way, kept back from the goal.
    pub way: Duration,
    /// What opening the connection needs beside that.
    pub opening: Duration,
    /// What is kept back from the deadline.
    pub margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            way: Duration::from_millis(18),
            opening: Duration::from_millis(6),
            margin: Duration::from_millis(10),
        }
    }
}

/// Answers calls by the routes of the newest configuration.
#[derive(Debug)]
pub struct Relay<F> {
    forward: F,
    settings: Settings,
    table: RwLock<Option<Arc<Table>>>,
    random: Mutex<SmallRng>,
}

impl<F: Forward> Relay<F> {
    /// Returns a relay that sends calls through `forward`.
    pub fn new(forward: F, settings: Settings, seed: u64) -> Self {
        Self {
            forward,
            settings,
            table: RwLock::default(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Puts routes into use, unless newer ones are.
    pub fn apply(&self, table: Arc<Table>) {
        let mut known = self.table.write().unwrap_or_else(PoisonError::into_inner);
        match &*known {
            Some(known) if known.version >= table.version => {}
            _ => *known = Some(table),
        }
    }

    /// Returns the routes in use.
    pub fn table(&self) -> Option<Arc<Table>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Answers a call by its route; dropping the future cancels its work at leafs.
    ///
    /// # Errors
    ///
    /// Returns what became of a call that has no answer.
    pub async fn answer(&self, table: &Table, route: &Route, request: Request) -> Result<Answer> {
        let wait = request
            .wait
            .unwrap_or(route.longest_wait)
            .min(route.longest_wait);
        let margin = self.settings.margin.min(wait / 4);
        let way = match request.fresh {
            true => self.settings.way + self.settings.opening,
            false => self.settings.way,
        };
        let goal = match route.target {
            Target::One(_) => route.goal,
            Target::All(_) => route.goal.saturating_sub(way),
        };
        let terms = Terms {
            rank: route.rank,
            repeatable: route.repeatable,
            attempts: route.attempts.max(1),
            goal: request.received + goal,
            deadline: request.received + wait - margin,
        };
        let call = Arc::new(request.call);
        match &route.target {
            Target::One(shares) => self.pass(shares, call, terms).await.map(Answer::Passed),
            Target::All(gather) => {
                let scatter = Scatter::new(gather, table.version);
                let answer = scatter.run(&self.forward, &call, terms).await;
                answer.map(Answer::Merged)
            }
        }
    }

    async fn pass(&self, shares: &[Share], call: Arc<Call>, terms: Terms) -> Result<Reply> {
        let Some(share) = self.choose(shares) else {
            return Err(Refusal::NotRun(Cause::Unreachable));
        };
        let forwarded = self.forward.forward(&share.service, call, terms).await;
        match forwarded.result {
            Ok(reply) => Ok(reply),
            Err(Missed {
                reply: Some(reply), ..
            }) => Ok(reply),
            Err(Missed { cause, .. }) if !forwarded.begun => Err(Refusal::NotRun(cause)),
            Err(Missed {
                cause: Cause::Late, ..
            }) => Err(Refusal::Unknown(Failure::Late)),
            Err(_) => Err(Refusal::Unknown(Failure::Broken)),
        }
    }

    fn choose<'s>(&self, shares: &'s [Share]) -> Option<&'s Share> {
        if shares.len() < 2 {
            return shares.first();
        }
        let total: f64 = shares.iter().map(|s| s.weight).sum();
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let mut point = random.random::<f64>() * total;
        drop(random);
        let chosen = shares.iter().find(|share| {
            point -= share.weight;
            point < 0.0
        });
        chosen.or(shares.last())
    }
}
