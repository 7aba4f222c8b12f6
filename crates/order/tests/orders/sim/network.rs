//! Simulated calls between hosts, and the dispatchers and leafs that serve them.

use std::time::Duration;

use rattanmast_model::{
    host::{Incarnation, Name},
    outcome::{Outcome, Reason},
    peer::{self, Error, Order, Result, Step, Subquery, Subreply},
};
use rattanmast_order::{key::Identity, settings::CLAIM_TTL};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout},
};

use super::{Fleet, HOSTS, MAX_SKEW_MS, ProcessId, Run, name};

/// Upper bound of the time from a claim to the run at a leaf, without faults.
const MAX_SEND_TIME: Duration = Duration::from_millis(500);

#[derive(Clone)]
pub struct Peers {
    fleet: Fleet,
    id: ProcessId,
}

fn not_run(reason: Reason) -> Outcome {
    Outcome::NotRun {
        reason,
        remedy: "try again".into(),
    }
}

impl Peers {
    pub fn new(fleet: &Fleet, id: ProcessId) -> Self {
        let fleet = fleet.clone();
        Self { fleet, id }
    }

    fn index(host: &Name) -> usize {
        (0..HOSTS)
            .find(|h| name(*h) == host)
            .expect("a host of the roster")
    }

    /// Delivers `message` and its reply, each of which may be lost, delayed or duplicated.
    async fn call(&self, host: usize, message: Order) -> Result<Outcome> {
        let (target, broken) = (name(host), |why: &str| Error::Broken {
            host: name(host).into(),
            why: why.into(),
        });
        self.fleet.wait_until_running(self.id).await;
        let up = self.fleet.lock().hosts[host].up;
        if !up || self.fleet.fault_occurs(|f| f.connect) {
            let host = target.into();
            return Err(Error::Connect { host });
        }
        if self.fleet.fault_occurs(|f| f.duplicate) {
            let (fleet, message) = (self.fleet.clone(), message.clone());
            tokio::spawn(async move {
                fleet.sleep_random(0..40_000).await;
                fleet.serve(host, message).await;
            });
        }
        let (reply, receiver) = oneshot::channel();
        let (fleet, sender) = (self.fleet.clone(), self.id);
        tokio::spawn(async move {
            fleet.sleep_random(1..4).await;
            if fleet.fault_occurs(|f| f.delay) {
                fleet.sleep_random(10..20_000).await;
            }
            let outcome = fleet.serve(host, message).await;
            fleet.sleep_random(1..4).await;
            fleet.wait_until_running(sender).await;
            let _ = reply.send(outcome);
        });
        if self.fleet.fault_occurs(|f| f.break_reply) {
            self.fleet.sleep_random(1..100).await;
            return Err(broken("connection reset"));
        }
        let outcome = receiver.await.map_err(|_| broken("closed"))?;
        Ok(outcome)
    }
}

impl Fleet {
    /// Serves `message` in the current process of `host`.
    async fn serve(&self, host: usize, message: Order) -> Outcome {
        let id = self.id(host);
        self.wait_until_running(id).await;
        let Some(process) = self.process(host) else {
            return std::future::pending().await;
        };
        let outcome = match message.step {
            Step::Claim => process.accept(message).await,
            Step::Dispatch => self.dispatch(id, message).await,
        };
        self.wait_until_running(id).await;
        outcome
    }

    /// Sends an order to a leaf, as its dispatcher.
    async fn dispatch(&self, id: ProcessId, message: Order) -> Outcome {
        if let Err(refusal) = self.lock().hosts[id.host].dedup.admit(&message) {
            return refusal;
        }
        if self.lock().hosts[id.host].stale {
            return not_run(Reason::Stale);
        }
        if self.fault_occurs(|f| f.shed) {
            return not_run(Reason::Unreachable);
        }
        self.sleep_random(0..20).await;
        if self.wall_ms(id.host) > message.not_after_ms {
            return not_run(Reason::Late);
        }
        // A pause may fall between the check and the send.
        self.wait_until_running(id).await;
        self.sleep_random(0..5).await;
        if self.true_ms() > message.not_after_ms {
            return not_run(Reason::Late);
        }
        let outcome = self.run(&message);
        self.sleep_random(2..30).await;
        if self.fault_occurs(|f| f.break_reply) {
            return Outcome::Unknown {
                remedy: "look".into(),
            };
        }
        outcome
    }

    /// Runs the order at the leaf, and checks the age of its claim.
    fn run(&self, message: &Order) -> Outcome {
        let mut state = self.lock();
        let identity = Identity::new(&message.caller, &message.key);
        let claimed = state.claims.get(&identity.0).copied();
        let limit = CLAIM_TTL + MAX_SEND_TIME + Duration::from_millis(MAX_SKEW_MS.unsigned_abs());
        if let Some(age) = claimed.map(|at| at.elapsed()).filter(|age| *age > limit) {
            let violation = format!("key {} ran {age:?} after its claim", message.key);
            state.violations.push(violation);
        }
        let key = (message.caller.to_string(), message.key.to_string());
        let runs = state.runs.entry(key).or_default();
        let attempt = message
            .trace
            .expect("an attempt is identified by its trace")
            .trace;
        let result = format!("run {} of attempt {attempt}", runs.len());
        runs.push(Run {
            attempt,
            result: result.clone(),
        });
        let result = result.into();
        Outcome::Done { result }
    }
}

impl peer::Peers for Peers {
    async fn subquery(&self, _: &Name, _: Subquery, _: Duration) -> Result<Subreply> {
        std::future::pending().await
    }

    async fn order(&self, host: &Name, message: Order, limit: Duration) -> Result<Outcome> {
        let why = "no reply within the timeout".into();
        let index = Self::index(host);
        timeout(limit, self.call(index, message))
            .await
            .unwrap_or(Err(Error::Broken {
                host: host.clone(),
                why,
            }))
    }

    async fn outcome(&self, host: &Name, caller: &str, key: &str) -> Result<Option<Outcome>> {
        let index = Self::index(host);
        self.fleet.wait_until_running(self.id).await;
        self.fleet.sleep_random(1..4).await;
        let id = self.fleet.id(index);
        self.fleet.wait_until_running(id).await;
        let process = self.fleet.process(index);
        let host = host.clone();
        process
            .map(|p| p.local_outcome(caller, key))
            .ok_or(Error::Connect { host })
    }

    fn incarnation(&self, host: &Name) -> Option<Incarnation> {
        self.fleet.lock().hosts[self.id.host].known_incarnations[Self::index(host)]
    }

    fn is_usable(&self, host: &Name) -> bool {
        let index = Self::index(host);
        index == self.id.host || {
            let state = self.fleet.lock();
            state.hosts[self.id.host].suspected_until[index] <= Instant::now()
        }
    }
}
