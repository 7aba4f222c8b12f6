//! Calls with opaque content: from the caller's request to the answer.

use std::{
    sync::{Arc, Mutex, PoisonError, RwLock},
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{
    fingerprint::Fingerprint,
    forward::{self, Call, Forward, Merge, Options, Reply},
    peer::Cause,
    route::{Destination, Route, Table, Target},
};
use tokio::time::Instant;

use crate::{
    evidence::Evidence,
    quarantine::{Admission, Quarantine},
    scatter::{self, Scatter},
};

/// The result of a call.
pub type Result<T> = std::result::Result<T, Refusal>;

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The call to forward.
    pub call: Call,
    /// The authority that the caller named.
    pub authority: smol_str::SmolStr,
    /// When the request began to arrive.
    pub received: Instant,
    /// Whether the caller opened its connection for this request.
    pub first_on_connection: bool,
    /// How long the caller waits, if it said so.
    pub timeout: Option<Duration>,
}

impl Request {
    /// Returns the request with a timeout that ends at `end` at the latest, so that it is refused as not
    /// run if that is too early.
    #[must_use]
    pub fn ending_by(self, end: Instant) -> Self {
        let left = end.saturating_duration_since(self.received);
        let timeout = self.timeout.map_or(left, |timeout| timeout.min(left));
        Self {
            timeout: Some(timeout),
            ..self
        }
    }
}

/// An answer to a caller.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A leaf's unchanged reply, which may report a failure.
    Passed(Reply),
    /// An answer merged from the replies of many services.
    Merged(scatter::Answer),
}

/// How a call that may have run failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The deadline passed.
    Late,
    /// The connections to the leafs broke, or their replies were unusable.
    Broken,
}

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    Unready,
    /// The configuration has no matching route.
    NoRoute,
    /// No leaf began the call.
    NotRun(Cause),
    /// The call was not sent, because such calls crash leafs, or are suspected to.
    Quarantined {
        /// How long that holds.
        remaining: Duration,
    },
    /// A leaf may have run the call.
    Unknown(Failure),
}

/// Times that the relay reserves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Round-trip time between caller and host, deducted from the latency goal of calls to several
    /// services; the goal of a call to one service is not reduced.
    pub round_trip: Duration,
    /// Additional time to open the caller's connection, if it is new.
    pub connect: Duration,
    /// Time reserved before the deadline.
    pub deadline_margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            round_trip: Duration::from_millis(18),
            connect: Duration::from_millis(6),
            deadline_margin: Duration::from_millis(10),
        }
    }
}

/// Holds the newest routes and answers each call according to its route.
#[derive(Debug)]
pub struct Relay<F> {
    forward: F,
    settings: Settings,
    table: RwLock<Option<Arc<Table>>>,
    quarantine: Quarantine,
    random: Mutex<SmallRng>,
}

impl<F: Forward> Relay<F> {
    /// Creates a relay that sends calls through `forward`, except those that `quarantine` rejects.
    pub fn new(forward: F, quarantine: Quarantine, settings: Settings, seed: u64) -> Self {
        Self {
            forward,
            settings,
            table: RwLock::default(),
            quarantine,
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Replaces the routes unless the current ones are at least as new.
    pub fn apply(&self, table: Arc<Table>) {
        let mut current = self.table.write().unwrap_or_else(PoisonError::into_inner);
        match &*current {
            Some(current) if current.version >= table.version => {}
            _ => *current = Some(table),
        }
    }

    /// Returns the current routes, or `None` if no configuration is known yet.
    pub fn table(&self) -> Option<Arc<Table>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Answers a call by its route; dropping the future cancels its work at leafs.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that has no answer.
    pub async fn answer(&self, table: &Table, route: &Route, request: Request) -> Result<Answer> {
        let timeout = request
            .timeout
            .unwrap_or(route.longest_wait)
            .min(route.longest_wait);
        let margin = self.settings.deadline_margin.min(timeout / 4);
        let round_trip = match request.first_on_connection {
            true => self.settings.round_trip + self.settings.connect,
            false => self.settings.round_trip,
        };
        let goal = match route.target {
            Target::One(_) => route.goal,
            Target::All(_) => route.goal.saturating_sub(round_trip),
        };
        let options = Options {
            rank: route.rank,
            idempotent: route.idempotent,
            max_attempts: route.max_attempts.max(1),
            goal: request.received + goal,
            deadline: request.received + timeout - margin,
            merge: match &route.target {
                Target::One(_) => None,
                Target::All(gather) => Some(Merge {
                    record_bytes: gather.record_bytes,
                    top_k: gather.top_k,
                }),
            },
        };
        let call = Arc::new(request.call);
        let fingerprint = || Fingerprint::new(&request.authority, &call);
        let admission = match self.quarantine.is_empty() {
            true => Admission::Free,
            false => self.quarantine.admit(fingerprint()),
        };
        let trial = match admission {
            Admission::Free => None,
            Admission::Trial(trial) => Some(trial),
            Admission::Rejected(remaining) => return Err(Refusal::Quarantined { remaining }),
        };
        let on_trial = trial.is_some();
        let (result, evidence) = self
            .forward_call(table, route, &call, options, on_trial)
            .await;
        if evidence.lost > 0 || on_trial {
            let Evidence { lost, replied } = evidence;
            let (id, fingerprint) = (&call.id, fingerprint());
            log::info!(
                "event=leafs_lost request={id} fingerprint={fingerprint} lost={lost} \
                 replied={replied} on_trial={on_trial}"
            );
            self.quarantine.record(fingerprint, evidence, on_trial);
        }
        result
    }

    /// Sends a call to the target of its route.
    async fn forward_call(
        &self,
        table: &Table,
        route: &Route,
        call: &Arc<Call>,
        options: Options,
        on_trial: bool,
    ) -> (Result<Answer>, Evidence) {
        match &route.target {
            Target::One(shares) => {
                let max_attempts = match on_trial {
                    true => 1,
                    false => options.max_attempts,
                };
                let options = Options {
                    max_attempts,
                    ..options
                };
                let (reply, evidence) = self.forward_to_one(shares, call, options).await;
                (reply.map(Answer::Passed), evidence)
            }
            Target::All(gather) => {
                let scatter = Scatter::new(gather, table.version);
                let run = scatter.run(&self.forward, call, options, on_trial);
                let (answer, evidence) = run.await;
                (answer.map(Answer::Merged), evidence)
            }
        }
    }

    async fn forward_to_one(
        &self,
        shares: &[Destination],
        call: &Arc<Call>,
        options: Options,
    ) -> (Result<Reply>, Evidence) {
        let mut evidence = Evidence::default();
        let Some(share) = self.choose_by_weight(shares) else {
            return (Err(Refusal::NotRun(Cause::Unreachable)), evidence);
        };
        let call = Arc::clone(call);
        let forwarded = self.forward.forward(&share.service, call, options).await;
        evidence.record(&forwarded);
        let result = match forwarded.result {
            Ok(reply) => Ok(reply),
            Err(forward::Error {
                reply: Some(reply), ..
            }) => Ok(reply),
            Err(forward::Error { cause, .. }) if !forwarded.begun => Err(Refusal::NotRun(cause)),
            Err(forward::Error {
                cause: Cause::Late, ..
            }) => Err(Refusal::Unknown(Failure::Late)),
            Err(_) => Err(Refusal::Unknown(Failure::Broken)),
        };
        (result, evidence)
    }

    fn choose_by_weight<'s>(&self, shares: &'s [Destination]) -> Option<&'s Destination> {
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
