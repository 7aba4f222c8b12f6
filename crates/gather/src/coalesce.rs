//! Coalescing of the outcomes that a host reports to the one that accepted the call.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use futures::{Stream, StreamExt as _};
use rattanmast_model::{
    catalog::Service,
    forward::{self, Batch, Call, Completion, Forward, Merge, Options},
    hash::Set,
    leaf,
    peer::Cause,
};
use smol_str::SmolStr;
use tokio::time::{Instant, Sleep, sleep};

use crate::merge;

/// Time for which an outcome waits for others to be reported together with it.
const COALESCE_DELAY: Duration = Duration::from_millis(3);

/// Merges the replies of calls that allow it, so that few and small reports reach the caller's
/// host, which may be a small one.
#[derive(Clone, Debug)]
pub struct Coalescing<F>(pub F);

impl<F: Forward> Forward for Coalescing<F> {
    async fn forward(&self, service: &Service, call: Arc<Call>, options: Options) -> Completion {
        self.0.forward(service, call, options).await
    }

    fn forward_all<'a>(
        &'a self,
        services: &'a [Service],
        call: &'a Arc<Call>,
        options: Options,
    ) -> impl Stream<Item = Batch> + Send + Unpin + 'a {
        Coalesced {
            batches: self.0.forward_all(services, call, options).fuse(),
            merge: options.merge,
            pending: Vec::with_capacity(services.len()),
            delay: Box::pin(sleep(Duration::ZERO)),
            digests: Set::default(),
        }
    }

    fn admits(&self, service: &Service, options: &Options) -> Result<(), Cause> {
        self.0.admits(service, options)
    }

    fn record_notice(&self, service: &Service, notice: &leaf::Notice) {
        self.0.record_notice(service, notice);
    }
}

/// A stream of merged batches; those of a call that allows no merging pass unchanged.
struct Coalesced<S> {
    batches: S,
    merge: Option<Merge>,
    pending: Vec<(usize, Completion)>,
    /// Ends when the pending outcomes are due.
    delay: Pin<Box<Sleep>>,
    /// Digests of the replies of this call.
    digests: Set<SmolStr>,
}

impl<S: Stream<Item = Batch> + Unpin> Stream for Coalesced<futures::stream::Fuse<S>> {
    type Item = Batch;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Batch>> {
        let Some(merge) = self.merge else {
            return self.batches.poll_next_unpin(cx);
        };
        loop {
            match self.batches.poll_next_unpin(cx) {
                Poll::Ready(Some(batch)) => self.add(batch),
                Poll::Ready(None) if self.pending.is_empty() => return Poll::Ready(None),
                Poll::Ready(None) => break,
                Poll::Pending if self.pending.is_empty() => return Poll::Pending,
                Poll::Pending => {
                    ready!(self.delay.as_mut().poll(cx));
                    break;
                }
            }
        }
        let outcomes = std::mem::take(&mut self.pending);
        Poll::Ready(Some(merged(outcomes, merge)))
    }
}

impl<S> Coalesced<S> {
    fn add(&mut self, batch: Batch) {
        if self.pending.is_empty() {
            self.delay.as_mut().reset(Instant::now() + COALESCE_DELAY);
        }
        for (position, completion) in batch.outcomes {
            let completion = self.without_duplicate(completion);
            self.pending.push((position, completion));
        }
    }

    /// Replaces a reply with the digest of an earlier one, as its records would count twice.
    fn without_duplicate(&mut self, completion: Completion) -> Completion {
        let digest = match &completion.result {
            Ok(reply) if reply.is_success() => reply.digest.clone().unwrap_or_default(),
            _ => return completion,
        };
        if self.digests.insert(digest) {
            return completion;
        }
        log::warn!("event=part_dropped why=\"its digest equals that of another part\"");
        Completion {
            result: Err(forward::Error {
                cause: Cause::Unreachable,
                reply: None,
            }),
            ..completion
        }
    }
}

/// Merges the records of the successful replies.
fn merged(mut outcomes: Vec<(usize, Completion)>, merge: Merge) -> Batch {
    let replies = outcomes
        .iter_mut()
        .filter_map(|(_, c)| c.result.as_mut().ok());
    let successful = replies.filter(|reply| reply.is_success());
    let bodies: Vec<Bytes> = successful
        .map(|reply| {
            // Of a part, only the digest and the records are used.
            reply.headers.clear();
            std::mem::take(&mut reply.body)
        })
        .collect();
    let records = merge::greatest(bodies.iter(), merge.record_bytes, merge.top_k);
    Batch {
        outcomes,
        records: Some(records),
    }
}
