//! Orders: each is sent to one leaf, at most once.

use std::{sync::Arc, time::Duration};

use rattanmast_model::{
    leaf::{self, Connector, Searcher},
    outcome::{Outcome, Reason},
    peer::{self, Cause},
};
use smol_str::SmolStr;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, sleep_until, timeout_at},
};

use crate::{
    lease::{Disposition, Lease, Observation},
    policy::Policy,
    service::Service,
};

/// Maximum wait for the answer of the leaf after the outcome was reported as unknown.
///
/// Closing the connection earlier could interrupt the order at a leaf that is only slow.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of the check whether the host has stopped dispatching and must close the connection.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) fn not_run(reason: Reason, remedy: &'static str) -> Outcome {
    Outcome::NotRun {
        reason,
        remedy: SmolStr::new_static(remedy),
    }
}

pub(crate) fn unknown() -> Outcome {
    Outcome::Unknown {
        remedy: SmolStr::new_static("the leaf may have run the order; ask GET /v1/orders/<key>"),
    }
}

/// Runs an order at one leaf of `service` and sends its outcome to `tx`.
///
/// A caller that gives up stops the order only before it is sent.
pub(crate) async fn run<C: Connector, P: Policy>(
    service: Arc<Service<C, P>>,
    message: peer::Order,
    deadline: Instant,
    mut tx: oneshot::Sender<Outcome>,
) where
    C::Connection: Searcher,
{
    let wall = &service.shared.settings.wall;
    let left = message.not_after_ms.saturating_sub(wall.now_ms());
    // Bounded so that the addition cannot overflow.
    let expiry = Instant::now() + Duration::from_millis(left.min(3_600_000));
    let acquired = tokio::select! {
        biased;
        () = tx.closed() => return,
        acquired = service.acquire(message.rank, deadline.min(expiry), u64::MAX) => acquired,
    };
    let mut lease = match acquired {
        Ok(lease) => lease,
        Err(cause) => {
            let _gone = tx.send(refusal(&cause));
            return;
        }
    };
    let order = leaf::Order {
        id: service.shared.ids.next(),
        key: message.key,
        collection: message.collection,
        action: message.action,
        record: message.record,
        rank: message.rank,
        not_after_ms: message.not_after_ms,
        trace: message.trace,
    };
    // Checked immediately before the send. The process may still be paused in between, so the leaf
    // checks the same expiry.
    if let Err(outcome) = may_send(&service, &order) {
        let _gone = tx.send(outcome);
        return;
    }
    let Some(connection) = lease.send() else {
        return;
    };
    send(lease, connection, &order, deadline, tx).await;
}

fn may_send<C: Connector, P: Policy>(
    service: &Service<C, P>,
    order: &leaf::Order,
) -> Result<(), Outcome> {
    if !service.is_active() {
        let remedy = "the host stopped dispatching before the send; try again";
        return Err(not_run(Reason::Stale, remedy));
    }
    if service.shared.settings.wall.now_ms() > order.not_after_ms {
        let remedy = "the right to send expired before the send; try again";
        return Err(not_run(Reason::Late, remedy));
    }
    Ok(())
}

fn refusal(cause: &Cause) -> Outcome {
    match cause {
        Cause::Overload => not_run(Reason::Overload, "the queue is too long; try again later"),
        Cause::Late => not_run(Reason::Late, "no leaf was free in time; allow more time"),
        Cause::Elsewhere => not_run(
            Reason::Stale,
            "the host does not dispatch to the collection; try again",
        ),
        _ => not_run(
            Reason::Unreachable,
            "no leaf of the collection is reachable; try again later",
        ),
    }
}

async fn send<C: Connector, P: Policy>(
    lease: Lease<C, P>,
    mut connection: C::Connection,
    order: &leaf::Order,
    deadline: Instant,
    tx: oneshot::Sender<Outcome>,
) where
    C::Connection: Searcher,
{
    let mut tx = Some(tx);
    let answer = {
        let call = connection.order(order);
        tokio::pin!(call);
        let mut answer = timeout_at(deadline, &mut call).await.ok();
        if answer.is_none() {
            let _gone = tx.take().map(|tx| tx.send(unknown()));
            let give_up_at = Instant::now() + REPLY_TIMEOUT;
            answer = loop {
                tokio::select! {
                    biased;
                    answer = &mut call => break Some(answer),
                    () = sleep_until(give_up_at) => break None,
                    () = sleep(STOP_CHECK_INTERVAL) => {
                        if lease.service.has_retire_timeout_passed() { break None; }
                    }
                }
            };
        }
        answer
    };
    let (disposition, observation, outcome) = evaluate(&lease, connection, answer, order);
    lease.finish(disposition, observation);
    let _gone = tx.map(|tx| tx.send(outcome));
}

fn evaluate<C: Connector, P: Policy>(
    lease: &Lease<C, P>,
    connection: C::Connection,
    answer: Option<leaf::Result<leaf::OrderReply>>,
    order: &leaf::Order,
) -> (Disposition<C::Connection>, Observation, Outcome) {
    let error = match answer {
        None => {
            return (
                Disposition::Silent(connection),
                Observation::Inconclusive,
                unknown(),
            );
        }
        Some(Ok(done)) if done.id == order.id => {
            let outcome = Outcome::Done {
                result: done.result,
            };
            return (
                Disposition::Keep(connection),
                Observation::Reply(done.load),
                outcome,
            );
        }
        Some(Ok(_)) => {
            lease.service.shared.counters.mismatches.add(1);
            return (
                Disposition::Close(connection),
                Observation::Failure,
                unknown(),
            );
        }
        Some(Err(error)) => error,
    };
    let outcome = if error.not_begun() {
        not_run(Reason::Refused, "the leaf did not begin; try again")
    } else {
        unknown()
    };
    let (disposition, observation) = crate::attempt::classify_error(&error, connection);
    (disposition, observation, outcome)
}
