//! Calls of a host to its own dispatcher and claimer.

use opentelemetry::trace::SpanKind;
use rattanmast_dispatch::Dispatcher;
use rattanmast_model::{
    outcome::{Outcome, Reason},
    peer::{Order, Step, Subquery, Subreply},
};
use rattanmast_order::Orders;
use rattanmast_wire::{leaf, store};
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use crate::{
    peers::Peers,
    spans::{self, Tracer},
    stop::InFlight,
};

/// A call that waits for its reply; a dropped receiver cancels it.
#[derive(Debug)]
pub enum Call {
    /// A sub-query.
    Subquery(Subquery, oneshot::Sender<Subreply>),
    /// An order.
    Order(Order, oneshot::Sender<Outcome>),
    /// A question about an order: caller, key.
    Recall(SmolStr, SmolStr, oneshot::Sender<Option<Outcome>>),
}

/// Calls in the queue; the roles take them at once, so this only absorbs bursts.
const QUEUE_CAPACITY: usize = 1024;

/// Returns the two ends of a queue of calls.
pub fn queue() -> (mpsc::Sender<Call>, mpsc::Receiver<Call>) {
    mpsc::channel(QUEUE_CAPACITY)
}

/// What a host does for others: dispatching and claiming.
#[derive(Clone)]
pub struct Roles {
    /// Sends work to leafs.
    pub dispatcher: Dispatcher<spans::Connector<leaf::Connector>>,
    /// Claims and settles orders.
    pub orders: Orders<store::Client, Peers>,
    /// Starts spans.
    pub tracer: Tracer,
    /// What is in flight.
    pub in_flight: InFlight,
}

impl Roles {
    /// Serves a sub-query.
    pub async fn subquery(&self, mut message: Subquery) -> Subreply {
        let _in_flight = self.in_flight.track();
        let kind = SpanKind::Server;
        let mut span = self.tracer.start("dispatch", kind, message.trace);
        message.trace = Some(span.context());
        let reply = self.dispatcher.subquery(message).await;
        span.set_attribute("sent", i64::from(reply.sent));
        reply
    }

    /// Serves an order in a task of its own, so that a lost sender does not stop it half-way.
    pub async fn order(&self, mut message: Order) -> Outcome {
        let roles = self.clone();
        let task = tokio::spawn(async move {
            let _in_flight = roles.in_flight.track();
            let (step, name) = match message.step {
                Step::Claim => (Step::Claim, "claim"),
                Step::Dispatch => (Step::Dispatch, "dispatch order"),
            };
            let mut span = roles.tracer.start(name, SpanKind::Server, message.trace);
            message.trace = Some(span.context());
            let outcome = match step {
                Step::Claim => roles.orders.accept(message).await,
                Step::Dispatch => roles.dispatcher.order(message).await,
            };
            span.set_attribute("outcome", outcome.name());
            outcome
        });
        task.await.unwrap_or_else(|error| {
            log::error!("an order's task ended early: {error}");
            Outcome::Unknown {
                remedy: "ask for the outcome by its key; see this host's log".into(),
            }
        })
    }

    /// Tells what this process knows of an order.
    pub fn recall(&self, caller: &str, key: &str) -> Option<Outcome> {
        self.orders.local(caller, key)
    }

    /// Serves calls until all senders are gone.
    pub async fn serve(self, mut calls: mpsc::Receiver<Call>) {
        while let Some(call) = calls.recv().await {
            let roles = self.clone();
            tokio::spawn(async move { roles.handle(call).await });
        }
    }

    async fn handle(&self, call: Call) {
        match call {
            Call::Subquery(message, mut reply) => {
                tokio::select! {
                    result = self.subquery(message) => { let _ = reply.send(result); }
                    () = reply.closed() => {}
                }
            }
            Call::Order(message, reply) => {
                let _ = reply.send(self.order(message).await);
            }
            Call::Recall(caller, key, reply) => {
                let _ = reply.send(self.recall(&caller, &key));
            }
        }
    }
}

/// Returns the outcome for an order whose process run is gone or stopping before it began.
pub fn stopping_outcome() -> Outcome {
    Outcome::NotRun {
        reason: Reason::Stopping,
        remedy: "send it again; another host takes it".into(),
    }
}
