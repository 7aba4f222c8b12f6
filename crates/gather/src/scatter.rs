//! Sending one call to many services and merging their replies into one answer.

use std::{borrow::Cow, sync::Arc};

use bytes::Bytes;
use futures::StreamExt as _;
use rattanmast_model::{
    catalog::{Service, Snapshot},
    forward::{self, Batch, Call, Completion, Forward, Options, Reply},
    hash::Set,
    peer::Cause,
    route::Gather,
};
use smol_str::SmolStr;
use tokio::time::{Instant, timeout_at};

use crate::{
    evidence::Evidence,
    merge,
    relay::{Failure, Refusal},
};

/// An answer merged from parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The version of the configuration that named the services.
    pub version: Snapshot,
    /// The leafs' digests of the parts.
    pub digests: Vec<SmolStr>,
    /// Services whose part is missing from the answer.
    pub missing: Vec<Service>,
    /// The merged records.
    pub body: Bytes,
    /// The number of requests sent to leafs.
    pub sent: u32,
}

/// The state of one call to many services.
pub(crate) struct Scatter<'a> {
    gather: &'a Gather,
    version: Snapshot,
    digests: Vec<SmolStr>,
    known: Set<SmolStr>,
    bodies: Vec<Bytes>,
    arrived: Vec<bool>,
    failed: usize,
    cause: Cause,
    begun: bool,
    sent: u32,
    evidence: Evidence,
}

impl<'a> Scatter<'a> {
    pub(crate) fn new(gather: &'a Gather, version: Snapshot) -> Self {
        Self {
            gather,
            version,
            digests: Vec::with_capacity(gather.services.len()),
            known: Set::default(),
            bodies: Vec::with_capacity(gather.services.len()),
            arrived: vec![false; gather.services.len()],
            failed: 0,
            cause: Cause::Late,
            begun: false,
            sent: 0,
            evidence: Evidence::default(),
        }
    }

    /// Calls all services, and answers as soon as waiting longer would not improve the answer.
    ///
    /// A call `on_trial` is sent to a single leaf first, and to other services once that has replied.
    pub(crate) async fn run<F: Forward>(
        mut self,
        forward: &F,
        call: &Arc<Call>,
        options: Options,
        on_trial: bool,
    ) -> (Result<Answer, Refusal>, Evidence) {
        if let Err(refusal) = self.admit(forward, &options) {
            return (Err(refusal), self.evidence);
        }
        // The services that are left after a trial; `None` for all of them.
        let mut rest: Option<Vec<usize>> = None;
        if on_trial {
            let tried = self.try_one(forward, call, options).await;
            if !self.evidence.replied {
                let evidence = self.evidence;
                return (Err(self.refusal()), evidence);
            }
            let all = 0..self.gather.services.len();
            rest = Some(all.filter(|position| *position != tried).collect());
        }
        let services = match &rest {
            Some(positions) => Cow::Owned(self.services_at(positions)),
            None => Cow::Borrowed(&self.gather.services[..]),
        };
        let calls = forward.forward_all(&services, call, options);
        let mut calls = calls.map(|batch| match &rest {
            Some(positions) => batch.map_positions(positions),
            None => batch,
        });
        loop {
            match timeout_at(self.wait_until(&options), calls.next()).await {
                Ok(Some(batch)) => self.record_batch(batch),
                Ok(None) => break,
                Err(_) if self.is_finished(&options) => break,
                Err(_) => {}
            }
        }
        // Outstanding calls may have begun at a leaf.
        self.begun |= self.digests.len() + self.failed < self.gather.services.len();
        drop(calls);
        let evidence = self.evidence;
        (self.finish(), evidence)
    }

    /// Sends the call to a single leaf of a service that admits it; returns the service's position.
    async fn try_one<F: Forward>(
        &mut self,
        forward: &F,
        call: &Arc<Call>,
        options: Options,
    ) -> usize {
        let services = &self.gather.services;
        let admits = |position: &usize| forward.admits(&services[*position], &options).is_ok();
        let tried = (0..services.len()).find(admits).unwrap_or_default();
        let options = Options {
            max_attempts: 1,
            ..options
        };
        let mut calls = forward.forward_all(&services[tried..=tried], call, options);
        while let Ok(Some(batch)) = timeout_at(options.deadline, calls.next()).await {
            self.record_batch(batch.map_positions(&[tried]));
        }
        tried
    }

    fn services_at(&self, positions: &[usize]) -> Vec<Service> {
        let services = positions.iter().map(|p| self.gather.services[*p].clone());
        services.collect()
    }

    /// Refuses the call before any leaf begins it if too few services are likely to reply in
    /// time.
    fn admit<F: Forward>(&self, forward: &F, options: &Options) -> Result<(), Refusal> {
        let services = &self.gather.services;
        let causes = services.iter().map(|s| forward.admits(s, options));
        let causes: Vec<Cause> = causes.filter_map(Result::err).collect();
        match causes.last() {
            Some(cause) if self.share_of(services.len() - causes.len()) < self.gather.min_share => {
                Err(Refusal::NotRun(cause.clone()))
            }
            _ => Ok(()),
        }
    }

    /// Returns until when to wait for the next part.
    ///
    /// Meeting the goal matters more than completeness, so the wait ends at the goal if the
    /// minimum share of the parts has arrived. Those that are there already are always taken.
    fn wait_until(&self, options: &Options) -> Instant {
        let now = Instant::now();
        match now < options.goal {
            _ if self.is_finished(options) => now,
            true => options.goal.min(options.deadline),
            false => options.deadline,
        }
    }

    /// Returns whether waiting longer would not improve the answer.
    fn is_finished(&self, options: &Options) -> bool {
        let now = Instant::now();
        self.cannot_succeed()
            || now >= options.deadline
            || (now >= options.goal && self.has_min_share())
    }

    fn record_batch(&mut self, mut batch: Batch) {
        // Merged records cannot be attributed to parts, so all of these parts are dropped.
        let is_duplicate = |c: &Completion| c.result.as_ref().is_ok_and(|r| self.has_digest(r));
        if batch.records.is_some() && batch.outcomes.iter().any(|(_, c)| is_duplicate(c)) {
            for (index, completion) in &mut batch.outcomes {
                self.log_duplicate(*index);
                completion.result = Err(forward::Error {
                    cause: Cause::Unreachable,
                    reply: None,
                });
            }
            batch.records = None;
        }
        for (index, completion) in batch.outcomes {
            self.record(index, completion);
        }
        self.bodies.extend(batch.records);
    }

    fn record(&mut self, index: usize, forwarded: Completion) {
        self.begun |= forwarded.begun;
        self.sent += forwarded.sent;
        self.evidence.record(&forwarded);
        match forwarded.result {
            Ok(reply) if self.has_digest(&reply) => {
                self.log_duplicate(index);
                self.failed += 1;
            }
            Ok(reply) if reply.is_success() => {
                self.arrived[index] = true;
                let digest = reply.digest.unwrap_or_default();
                self.known.insert(digest.clone());
                self.digests.push(digest);
                self.bodies.push(reply.body);
            }
            Ok(_) => self.failed += 1,
            Err(forward::Error { cause, .. }) => {
                self.failed += 1;
                self.cause = cause;
            }
        }
    }

    /// Returns whether an earlier part has the digest of `reply`.
    fn has_digest(&self, reply: &Reply) -> bool {
        reply.is_success()
            && reply
                .digest
                .as_ref()
                .is_some_and(|d| self.known.contains(d))
    }

    fn log_duplicate(&self, index: usize) {
        let service = &self.gather.services[index].collection;
        log::warn!(
            "event=part_dropped service={service} why=\"its digest equals that of another part\""
        );
    }

    fn share_of(&self, parts: usize) -> f64 {
        // The number of services is small enough to be exact as `f64`.
        parts as f64 / self.gather.services.len().max(1) as f64
    }

    fn has_min_share(&self) -> bool {
        !self.digests.is_empty() && self.share_of(self.digests.len()) >= self.gather.min_share
    }

    fn cannot_succeed(&self) -> bool {
        self.share_of(self.gather.services.len() - self.failed) < self.gather.min_share
    }

    /// Returns why there is no answer.
    fn refusal(self) -> Refusal {
        match (self.begun, self.cause) {
            (false, cause) => Refusal::NotRun(cause),
            (true, Cause::Late) => Refusal::Unknown(Failure::Late),
            (true, _) => Refusal::Unknown(Failure::Broken),
        }
    }

    fn finish(self) -> Result<Answer, Refusal> {
        if !self.has_min_share() {
            return Err(self.refusal());
        }
        let Gather {
            record_bytes,
            top_k,
            ..
        } = *self.gather;
        let services = self.gather.services.iter().zip(&self.arrived);
        let missing = services
            .filter(|(_, arrived)| !**arrived)
            .map(|(s, _)| s.clone());
        Ok(Answer {
            version: self.version,
            missing: missing.collect(),
            body: merge::greatest(self.bodies.iter(), record_bytes, top_k),
            digests: self.digests,
            sent: self.sent,
        })
    }
}
