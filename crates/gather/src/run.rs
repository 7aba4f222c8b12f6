//! One query, from admission to its answer.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt as _, stream::FuturesUnordered};
use rattanmast_model::{
    outcome::{Outcome, Reason},
    peer::{self, Peers, Subquery, Subreply},
    query::{Answer, Hop, Query},
    request,
};
use smol_str::SmolStr;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::{
    admission::Admission as _,
    attempt::Attempt,
    claim::{Claim, claim},
    gatherer::Result,
    pending::PendingAsk,
    pin::Pin,
    policy::Policy,
    shared::{Shared, not_run},
    view::View,
};

/// A query in flight, across all its attempts.
pub(crate) struct QueryRun<'a, P, Y> {
    pub(crate) shared: &'a Shared<P, Y>,
    pub(crate) query: &'a Query,
    /// The time from the start of the query to its deadline.
    pub(crate) total_time: Duration,
    pub(crate) deadline: Instant,
    /// Whether the query has restarted at a newer snapshot.
    pub(crate) restarted: bool,
    /// Whether any leaf may have begun work on the query, at any snapshot.
    pub(crate) begun: bool,
    pub(crate) sent: u32,
    pub(crate) hops: Vec<Hop>,
}

/// An action that an attempt requests from the driver.
pub(crate) enum Step {
    /// Send a message to a host.
    Send(rattanmast_model::host::Name, Subquery),
    /// Wait until the given time, then report [`Event::WaitOver`].
    Wait(Instant, Vec<PendingAsk>),
}

/// The result of a [`Step`].
pub(crate) enum Event {
    /// The message `id` was answered, or failed.
    Reply(request::Id, peer::Result<Subreply>),
    /// A wait has ended.
    WaitOver(Vec<PendingAsk>),
}

/// How an attempt ended.
pub(crate) enum End {
    /// Waiting longer would not improve the answer, or the deadline has passed.
    Done,
    /// The snapshot is gone, and there is time to restart at a newer one.
    Restart(Pin),
}

impl<'a, P: Peers, Y: Policy> QueryRun<'a, P, Y> {
    /// Starts the clock of `query`.
    pub(crate) fn new(shared: &'a Shared<P, Y>, query: &'a Query) -> Self {
        let total_time = query.timeout.min(query.search.longest_wait());
        Self {
            shared,
            query,
            total_time,
            deadline: Instant::now() + total_time,
            restarted: false,
            begun: false,
            sent: 0,
            hops: Vec::new(),
        }
    }

    /// Admits the query, sends it to all dispatchers and merges their replies.
    pub(crate) async fn answer(mut self) -> Result<Answer> {
        let view = self.shared.view();
        let Some(pin) = view.pin_of(&self.query.search.collection) else {
            let remedy = "this host knows no snapshot of the collection; check its catalog";
            return Err(not_run(Reason::Unreachable, remedy));
        };
        self.admit(&view, pin)?;
        let mut pin = Arc::clone(pin);
        loop {
            let mut attempt = Attempt::new(&mut self, &pin);
            match drive(&mut attempt).await {
                End::Restart(newer) => {
                    attempt.discard();
                    self.shared.counters.restarts.add(1);
                    self.restarted = true;
                    pin = Arc::new(newer);
                }
                End::Done => return attempt.finish(),
            }
        }
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Refuses the query if its time is too short, or its dispatchers' queues too long.
    fn admit(&self, view: &View, pin: &Pin) -> Result<()> {
        let time_left = self.time_left();
        if time_left <= self.shared.settings.min_hop_margin {
            let remedy = "the time left is too short to reach a dispatcher; allow more time";
            return Err(not_run(Reason::Late, remedy));
        }
        let collection = &self.query.search.collection;
        let paths = pin.asks.iter().filter_map(|ask| {
            let route = view.route(collection, ask.service)?;
            let usable = route.hosts.iter().find(|h| self.shared.peers.is_usable(h));
            Some((usable.or(route.hosts.first())?, &route.service))
        });
        let admission = self.shared.policy.admission();
        if admission.admit(self.query.rank, time_left, paths) {
            return Ok(());
        }
        self.shared.counters.refused.add(1);
        let remedy = "expected wait is too long for the time left; send it again later";
        Err(not_run(Reason::Overload, remedy))
    }

    /// Returns the outcome of a query without an acceptable answer.
    pub(crate) fn refusal(&self, reason: Reason) -> Outcome {
        if self.begun {
            let remedy = "too little was searched in time; a query may be sent again safely";
            let remedy = SmolStr::new_static(remedy);
            return Outcome::Unknown { remedy };
        }
        let remedy = match reason {
            Reason::Overload => "a dispatcher refused it for its long queue; send it again later",
            Reason::Unreachable => "no dispatcher reached a leaf; check hosts and leafs",
            _ => "no leaf began in time; allow more time",
        };
        not_run(reason, remedy)
    }

    /// Returns the claim of `cover`, and records whether leafs contradict the catalog.
    pub(crate) fn claim(&self, cover: &crate::cover::Cover, pin: &Pin) -> Claim {
        let collection = &self.query.search.collection;
        let trusted = pin.listed && self.shared.is_trusted(collection, pin.snapshot);
        let claim = claim(cover, &pin.parts, trusted);
        if claim.contradicted && pin.listed {
            self.shared.distrust(collection, pin.snapshot);
        }
        claim
    }
}

/// Performs the steps of `attempt` until it ends; calls that are open then are cancelled.
async fn drive<P: Peers, Y: Policy>(attempt: &mut Attempt<'_, '_, P, Y>) -> End {
    let peers = &attempt.run.shared.peers;
    let deadline = attempt.run.deadline;
    let mut calls = FuturesUnordered::new();
    loop {
        let steps = attempt.steps.drain(..);
        calls.extend(steps.map(|step| perform(peers, step, deadline)));
        if let Some(end) = attempt.end(calls.is_empty()) {
            return end;
        }
        match timeout_at(attempt.next_check(), calls.next()).await {
            Ok(Some(event)) => attempt.handle(event),
            Ok(None) => {}
            Err(_) => attempt.check_silence(),
        }
    }
}

async fn perform<P: Peers>(peers: &P, step: Step, deadline: Instant) -> Event {
    match step {
        Step::Send(host, message) => {
            let id = message.id;
            let time = deadline.saturating_duration_since(Instant::now());
            Event::Reply(id, peers.subquery(&host, message, time).await)
        }
        Step::Wait(until, items) => {
            sleep_until(until).await;
            Event::WaitOver(items)
        }
    }
}
