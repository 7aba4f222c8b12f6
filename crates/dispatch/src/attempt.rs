//! A single request to a single leaf.

use std::{pin::Pin, sync::Arc, time::Duration};

use rattanmast_model::{
    leaf::{self, Connection, Connector},
    request,
};
use smol_str::SmolStr;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    lease::{Disposition, Lease, Observation},
    policy::Policy,
    service::Service,
    work::{Verdict, Work},
};

/// Delays after failed attempts to acquire a connection for a cancellation; no attempt follows the
/// last one.
///
/// If none succeeds, the request's own connection has to be closed and later replaced by a new one.
const CANCEL_RETRY_DELAYS: [Duration; 4] = [
    Duration::from_millis(1),
    Duration::from_millis(2),
    Duration::from_millis(4),
    Duration::ZERO,
];

/// The result of a request to a leaf.
#[derive(Debug)]
pub(crate) enum Outcome<R> {
    /// A reply that matches the request.
    Success(R),
    /// A reply that matches the request and reports that the leaf failed.
    Failure(R),
    /// An error, or a reply that does not match the request.
    Error(leaf::Error),
    /// The request was given up because the connection was silent or the leaf far too slow.
    Abandoned,
}

/// A request that runs in a task of its own; dropping the attempt cancels it at the leaf.
#[derive(Debug)]
pub(crate) struct Attempt<R> {
    /// The position of the leaf in its service.
    pub(crate) replica: usize,
    pub(crate) sent_at: Instant,
    pub(crate) outcome: oneshot::Receiver<Outcome<R>>,
}

impl<R: Send + 'static> Attempt<R> {
    /// Sends `work` to the leaf that `lease` was granted for.
    pub(crate) fn start<C, P, W>(lease: Lease<C, P>, work: W) -> Self
    where
        C: Connector,
        P: Policy,
        W: Work<C::Connection, Reply = R>,
    {
        let (tx, outcome) = oneshot::channel();
        let replica = lease.replica;
        tokio::spawn(run(lease, work, tx));
        Self {
            replica,
            sent_at: Instant::now(),
            outcome,
        }
    }
}

/// The leaf that an attempt addresses: its service, and its position there.
struct Target<C: Connector, P: Policy> {
    service: Arc<Service<C, P>>,
    replica: usize,
}

/// Why the wait for a reply ended.
enum WaitResult<R> {
    Answered(leaf::Result<R>),
    /// The leaf ended the request after a cancellation.
    Cancelled(leaf::Result<R>),
    Silent,
    /// The connection has to be closed to give the request up.
    Close,
}

async fn run<C: Connector, P: Policy, W: Work<C::Connection>>(
    mut lease: Lease<C, P>,
    work: W,
    mut tx: oneshot::Sender<Outcome<W::Reply>>,
) {
    let Some(mut connection) = lease.send() else {
        return;
    };
    let deadline = work.deadline();
    let target = Target {
        service: Arc::clone(&lease.service),
        replica: lease.replica,
    };
    let completion = wait(&target, &mut connection, &work, &mut tx).await;
    if let Some(terms) = connection.terms() {
        lease.record_terms(terms);
    }
    let (disposition, observation, outcome) = match completion {
        WaitResult::Answered(answer) => evaluate(&lease, connection, answer, &work, deadline),
        WaitResult::Cancelled(Err(leaf::Error::Failed { .. })) => (
            Disposition::Keep(connection),
            Observation::Inconclusive,
            Outcome::Abandoned,
        ),
        WaitResult::Cancelled(answer) => evaluate(&lease, connection, answer, &work, deadline),
        WaitResult::Silent => (
            Disposition::Silent(connection),
            Observation::Inconclusive,
            Outcome::Abandoned,
        ),
        WaitResult::Close => (
            Disposition::Close(connection),
            Observation::Inconclusive,
            Outcome::Abandoned,
        ),
    };
    lease.finish(disposition, observation);
    // The receiver may be gone; a late reply is dropped.
    let _gone = tx.send(outcome);
}

async fn wait<C: Connector, P: Policy, W: Work<C::Connection>>(
    target: &Target<C, P>,
    connection: &mut C::Connection,
    work: &W,
    tx: &mut oneshot::Sender<Outcome<W::Reply>>,
) -> WaitResult<W::Reply> {
    let sent = Instant::now();
    let call = work.run(connection);
    tokio::pin!(call);
    loop {
        let check = Instant::now() + target.service.reply_check_delay(target.replica);
        tokio::select! {
            biased;
            answer = &mut call => return WaitResult::Answered(answer),
            () = tx.closed() => {
                target.service.shared.counters.cancelled.add(1);
                if !C::Connection::SUPPORTS_CANCEL {
                    let linger = work.linger(target.service.shared.settings.linger);
                    let answer = tokio::time::timeout(linger, &mut call).await;
                    return answer.map_or(WaitResult::Close, WaitResult::Cancelled);
                }
                return match cancel(target, work.id(), call.as_mut(), false).await {
                    Cancellation::Ended(answer) => WaitResult::Cancelled(answer),
                    Cancellation::Silent => WaitResult::Silent,
                    Cancellation::Unanswered => WaitResult::Close,
                };
            }
            () = sleep_until(check) => {}
        }
        if target.service.has_retire_timeout_passed() {
            return WaitResult::Close;
        }
        if C::Connection::SUPPORTS_CANCEL {
            match cancel(target, work.id(), call.as_mut(), true).await {
                Cancellation::Ended(answer) => return WaitResult::Cancelled(answer),
                Cancellation::Silent => return WaitResult::Silent,
                Cancellation::Unanswered => {}
            }
        }
        let answered_later = target.service.lock().replicas[target.replica].answered_since(sent);
        if answered_later {
            return WaitResult::Silent;
        }
    }
}

/// The result of a cancellation.
enum Cancellation<R> {
    /// The request ended.
    Ended(leaf::Result<R>),
    /// The leaf answered the cancellation, but not the request.
    Silent,
    /// No other connection was available, or the leaf did not answer on it either.
    Unanswered,
}

/// Cancels a request on another connection and waits for the request to end.
async fn cancel<C: Connector, P: Policy, R, F>(
    target: &Target<C, P>,
    id: request::Id,
    mut call: Pin<&mut F>,
    open: bool,
) -> Cancellation<R>
where
    F: Future<Output = leaf::Result<R>>,
{
    let (service, replica) = (&target.service, target.replica);
    loop {
        let connection = tokio::select! {
            biased;
            answer = &mut call => return Cancellation::Ended(answer),
            connection = acquire_connection(target, open) => connection,
        };
        let Some(connection) = connection else {
            return Cancellation::Unanswered;
        };
        let answered = tokio::select! {
            biased;
            answer = &mut call => return Cancellation::Ended(answer),
            answered = service.cancel(replica, connection, id) => answered.unwrap_or(false),
        };
        if !answered {
            continue;
        }
        return match tokio::time::timeout(service.cancel_timeout(replica), &mut call).await {
            Ok(answer) => Cancellation::Ended(answer),
            Err(_) => Cancellation::Silent,
        };
    }
}

/// Acquires a connection for a cancellation, retrying for a few milliseconds.
async fn acquire_connection<C: Connector, P: Policy>(
    target: &Target<C, P>,
    open: bool,
) -> Option<C::Connection> {
    for delay in CANCEL_RETRY_DELAYS {
        if let Some(connection) = target
            .service
            .acquire_connection(target.replica, open)
            .await
        {
            return Some(connection);
        }
        sleep(delay).await;
    }
    None
}

/// Checks an answer against its request and derives the state of the connection and the leaf.
fn evaluate<C: Connector, P: Policy, W: Work<C::Connection>>(
    lease: &Lease<C, P>,
    connection: C::Connection,
    answer: leaf::Result<W::Reply>,
    work: &W,
    deadline: Instant,
) -> (Disposition<C::Connection>, Observation, Outcome<W::Reply>) {
    let keep = |connection: C::Connection| match connection.is_open() {
        true => Disposition::Keep(connection),
        false => Disposition::Ended(connection),
    };
    let error = match answer {
        Ok(reply) => match work.verdict(&reply) {
            Verdict::Good(load) => {
                return (
                    keep(connection),
                    Observation::Reply(load),
                    Outcome::Success(reply),
                );
            }
            Verdict::Failure if Instant::now() >= deadline => {
                return (
                    keep(connection),
                    Observation::Inconclusive,
                    Outcome::Failure(reply),
                );
            }
            Verdict::Failure => {
                return (
                    keep(connection),
                    Observation::Failure,
                    Outcome::Failure(reply),
                );
            }
            Verdict::Mismatch => {
                lease.service.shared.counters.mismatches.add(1);
                return unusable(connection, "the reply does not match the request");
            }
            Verdict::Invalid(why) => return unusable(connection, why),
        },
        Err(error) => error,
    };
    let (disposition, observation) = classify_error(&error, connection);
    // A leaf that gives up at the deadline has not failed.
    let observation = match &error {
        leaf::Error::Failed { .. } if Instant::now() >= deadline => Observation::Inconclusive,
        _ => observation,
    };
    (disposition, observation, Outcome::Error(error))
}

/// Returns the result of a reply that cannot be used, on a connection that cannot be trusted.
fn unusable<L, R>(connection: L, why: &'static str) -> (Disposition<L>, Observation, Outcome<R>) {
    let why = SmolStr::new_static(why);
    let error = leaf::Error::Failed { why };
    (
        Disposition::Close(connection),
        Observation::Failure,
        Outcome::Error(error),
    )
}

/// Derives the state of the connection and the leaf from an error.
pub(crate) fn classify_error<L>(
    error: &leaf::Error,
    connection: L,
) -> (Disposition<L>, Observation) {
    match error {
        leaf::Error::Shed { load } => (Disposition::Keep(connection), Observation::Shed(*load)),
        leaf::Error::Leaving { load } => {
            let draining = true;
            let load = leaf::Load { draining, ..*load };
            (Disposition::Keep(connection), Observation::Refused(load))
        }
        leaf::Error::Gone { load, .. } | leaf::Error::Expired { load } => {
            (Disposition::Keep(connection), Observation::Refused(*load))
        }
        leaf::Error::Failed { .. } => (Disposition::Keep(connection), Observation::Failure),
        leaf::Error::Connect { .. } => (Disposition::Ended(connection), Observation::Unsent),
        leaf::Error::Broken { .. } | leaf::Error::Lost { .. } | leaf::Error::Full => {
            (Disposition::Ended(connection), Observation::Failure)
        }
    }
}
