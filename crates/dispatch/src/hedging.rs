//! Helpers for hedging, shared by searches and forwarded calls.

use std::{future::poll_fn, task::Poll};

use rattanmast_model::{leaf::Connector, rank::Rank};
use tokio::time::{Instant, sleep_until};

use crate::{
    attempt::{Attempt, Outcome},
    hedge::Hedge as _,
    policy::Policy,
    service::Service,
};

/// One hedge acquired from the budget, which gets the hedge back if the token is dropped unspent.
pub(crate) struct HedgeToken<'a, C: Connector, P: Policy> {
    service: &'a Service<C, P>,
    spent: bool,
}

impl<'a, C: Connector, P: Policy> HedgeToken<'a, C, P> {
    pub(crate) fn acquire(service: &'a Service<C, P>, rank: Rank) -> Option<Self> {
        let acquired = service.lock().hedge.spend(rank);
        // Created only on success, since dropping a token refunds a hedge.
        acquired.then(|| Self {
            service,
            spent: false,
        })
    }

    pub(crate) fn spend(mut self) {
        self.spent = true;
        self.service.shared.counters.hedges.add(1);
    }
}

impl<C: Connector, P: Policy> Drop for HedgeToken<'_, C, P> {
    fn drop(&mut self) {
        if !self.spent {
            self.service.lock().hedge.refund();
        }
    }
}

/// Waits for the first attempt to end; returns its replica and outcome.
pub(crate) async fn next_outcome<R: Send + 'static>(
    attempts: &mut [Option<Attempt<R>>; 2],
) -> (usize, Outcome<R>) {
    poll_fn(|cx| {
        for slot in attempts.iter_mut() {
            let Some(attempt) = slot else { continue };
            if let Poll::Ready(outcome) = std::pin::Pin::new(&mut attempt.outcome).poll(cx) {
                let replica = attempt.replica;
                *slot = None;
                // The task ends without an outcome only if the runtime shuts down.
                return Poll::Ready((replica, outcome.unwrap_or(Outcome::Abandoned)));
            }
        }
        Poll::Pending
    })
    .await
}

/// Sleeps until `at`; never returns for `None`.
pub(crate) async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
