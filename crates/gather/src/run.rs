//! One query from its admission to its answer.

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
    admit::Admission as _,
    attempt::Attempt,
    claim::{Claim, claim},
    flight::Item,
    gatherer::Result,
    pin::Pin,
    policy::Policy,
    shared::{Shared, refuse},
    view::View,
};

/// A query in flight.
pub(crate) struct Run<'a, P, Y> {
    pub(crate) shared: &'a Shared<P, Y>,
    pub(crate) query: &'a Query,
    /// The whole time of the query.
    pub(crate) time: Duration,
    pub(crate) deadline: Instant,
    /// Whether the query has restarted at a newer snapshot.
    pub(crate) restarted: bool,
    /// Whether any leaf may have begun work for it, at any snapshot.
    pub(crate) begun: bool,
    pub(crate) sent: u32,
    pub(crate) hops: Vec<Hop>,
}

/// What an attempt wants done.
pub(crate) enum Step {
    /// Send a message.
    Send(rattanmast_model::host::Name, Subquery),
    /// Wait until then, and ask again.
    Wait(Instant, Vec<Item>),
}

/// What was done.
pub(crate) enum Event {
    /// The call that sent the message `id` ended.
    Reply(request::Id, peer::Result<Subreply>),
    /// The wait is over.
    Again(Vec<Item>),
}

/// How an attempt ended.
pub(crate) enum End {
    /// Nothing more can be gained in time.
    Done,
    /// The snapshot is gone, and there is time for a newer one.
    Restart(Pin),
}

impl<'a, P: Peers, Y: Policy> Run<'a, P, Y> {
    /// Returns the run of `query`, whose time starts now.
    pub(crate) fn new(shared: &'a Shared<P, Y>, query: &'a Query) -> Self {
        let time = query.timeout.min(query.search.longest_wait());
        Self {
            shared,
            query,
            time,
            deadline: Instant::now() + time,
            restarted: false,
            begun: false,
            sent: 0,
            hops: Vec::new(),
        }
    }

    /// Admits the query, asks all dispatchers and merges their replies.
    pub(crate) async fn answer(mut self) -> Result<Answer> {
        let view = self.shared.view();
        let Some(pin) = view.pinned(&self.query.search.collection) else {
            let remedy = "this host knows no snapshot of the collection; check its catalog";
            return Err(refuse(Reason::Unreachable, remedy));
        };
        self.admit(&view, pin)?;
        let mut pin = Arc::clone(pin);
        loop {
            let mut attempt = Attempt::new(&mut self, &pin);
            match drive(&mut attempt).await {
                End::Restart(newer) => {
                    attempt.abandon();
                    self.shared.counters.restarts.add(1);
                    self.restarted = true;
                    pin = Arc::new(newer);
                }
                End::Done => return attempt.finish(),
            }
        }
    }

    /// Returns the time left.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Refuses the query if it has too little time, or its dispatchers too long queues.
    fn admit(&self, view: &View, pin: &Pin) -> Result<()> {
        let left = self.left();
        if left <= self.shared.settings.hop_margin {
            let remedy = "the time left is shorter than a hop; allow more time";
            return Err(refuse(Reason::Late, remedy));
        }
        let collection = &self.query.search.collection;
        let paths = pin.asks.iter().filter_map(|ask| {
            let route = view.route(collection, ask.service)?;
            let usable = route.hosts.iter().find(|h| self.shared.peers.usable(h));
            Some((usable.or(route.hosts.first())?, &route.service))
        });
        let admission = self.shared.policy.admission();
        if admission.admit(self.query.rank, left, paths) {
            return Ok(());
        }
        self.shared.counters.refused.add(1);
        let remedy = "expected wait is too long for the time left; send it again later";
        Err(refuse(Reason::Overload, remedy))
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
        refuse(reason, remedy)
    }

    /// Returns the claim of `attempt`, and remembers a catalog that leafs contradict.
    pub(crate) fn claim(&self, cover: &crate::cover::Cover, pin: &Pin) -> Claim {
        let collection = &self.query.search.collection;
        let trusted = pin.listed && self.shared.trusted(collection, pin.snapshot);
        let claim = claim(cover, &pin.parts, trusted);
        if claim.doubted && pin.listed {
            self.shared.doubt(collection, pin.snapshot);
        }
        claim
    }
}

/// Carries out the steps of `attempt` until it ends; open calls are cancelled then.
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
            Err(_) => attempt.tick(),
        }
    }
}

/// Carries out one step.
async fn perform<P: Peers>(peers: &P, step: Step, deadline: Instant) -> Event {
    match step {
        Step::Send(host, message) => {
            let id = message.id;
            let time = deadline.saturating_duration_since(Instant::now());
            Event::Reply(id, peers.subquery(&host, message, time).await)
        }
        Step::Wait(until, items) => {
            sleep_until(until).await;
            Event::Again(items)
        }
    }
}
