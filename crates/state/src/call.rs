//! Calls to the platform whose answers may be slow or lost.

use std::{pin::pin, time::Duration};

use futures::{StreamExt as _, stream::FuturesUnordered};
use rattanmast_model::feed::{Error, Result};
use tokio::time;

/// Number of times that a read of changes is sent again while there is no answer.
const MAX_RESENDS: usize = 2;

/// Returns the answer of `first`, or that of `again` if it comes before.
///
/// The answer of a call may be lost on a connection that stays open, while other connections work.
pub(crate) async fn answer_of_either<T>(
    first: impl Future<Output = Result<T>>,
    again: impl Future<Output = Result<T>>,
) -> Result<T> {
    let mut first = pin!(first);
    tokio::select! {
        answer = &mut first => answer,
        answer = again => match answer {
            Err(Error::Unavailable { .. }) => first.await,
            answer => answer,
        },
    }
}

/// Makes a call at each `interval`, up to a few times, and returns the first answer.
pub(crate) async fn resend<T, F: Future<Output = Result<T>>>(
    call: impl Fn() -> F,
    interval: Duration,
) -> Result<T> {
    let mut calls = FuturesUnordered::new();
    for _ in 0..MAX_RESENDS {
        tokio::select! {
            Some(answer) = calls.next() => return answer,
            () = time::sleep(interval) => calls.push(call()),
        }
    }
    match calls.next().await {
        Some(answer) => answer,
        None => std::future::pending().await,
    }
}

/// Limits the time of a call.
pub(crate) async fn in_time<T>(
    limit: Duration,
    call: impl Future<Output = Result<T>>,
) -> Result<T> {
    let unanswered = |_| Error::Unavailable {
        why: format!("no answer within {} ms", limit.as_millis()),
    };
    time::timeout(limit, call).await.map_err(unanswered)?
}
