//! Execution of sub-queries and orders on this host, for itself and for other hosts.

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

/// A call of this host to itself, with the channel for its reply.
///
/// Dropping the receiver cancels a sub-query; orders run to completion.
#[derive(Debug)]
pub enum Call {
    /// A sub-query.
    Subquery(Subquery, oneshot::Sender<Subreply>),
    /// An order.
    Order(Order, oneshot::Sender<Outcome>),
    /// A lookup of the outcome of an order by caller and key.
    Recall(SmolStr, SmolStr, oneshot::Sender<Option<Outcome>>),
}

/// Capacity of the queue of calls; they are taken at once, so it only has to absorb bursts.
const CALL_QUEUE_CAPACITY: usize = 1024;

/// Creates a bounded queue of calls.
pub fn queue() -> (mpsc::Sender<Call>, mpsc::Receiver<Call>) {
    mpsc::channel(CALL_QUEUE_CAPACITY)
}

/// The roles that a host performs for all hosts: dispatcher and claimer.
#[derive(Clone)]
pub struct Roles {
    /// Dispatches sub-queries and orders to leafs.
    pub dispatcher: Dispatcher<spans::Connector<leaf::Connector>>,
    /// Claims orders and resolves their outcome.
    pub orders: Orders<store::Client, Peers>,
    /// Starts trace spans.
    pub tracer: Tracer,
    /// Counts the requests in flight.
    pub in_flight: InFlight,
}

impl Roles {
    /// Dispatches a sub-query.
    pub async fn subquery(&self, mut message: Subquery) -> Subreply {
        let _in_flight = self.in_flight.track();
        let kind = SpanKind::Server;
        let mut span = self.tracer.start("dispatch", kind, message.trace);
        message.trace = Some(span.context());
        let reply = self.dispatcher.subquery(message).await;
        span.set_attribute("sent", i64::from(reply.sent));
        reply
    }

    /// Processes an order in a separate task, so that it completes even if its sender disconnects.
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
            log::error!("order task failed: {error}; report this as a defect");
            Outcome::Unknown {
                remedy: "ask for the outcome by its key; see this host's log".into(),
            }
        })
    }

    /// Returns the outcome of the caller's order with `key` if this process knows it.
    pub fn recall(&self, caller: &str, key: &str) -> Option<Outcome> {
        self.orders.local_outcome(caller, key)
    }

    /// Handles calls until all senders are dropped.
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

/// Returns the outcome of a request that was not started because this host is stopping.
pub fn stopping_outcome() -> Outcome {
    Outcome::NotRun {
        reason: Reason::Stopping,
        remedy: "send the request again; another host will accept it".into(),
    }
}
