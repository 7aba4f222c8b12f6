//! Appends batches to the log, and resolves conflicts and creates without a response.

use rattanmast_model::store::{self, Store};
use tokio::time::{Instant, sleep};

use super::{ClaimReply, Partition, append::Append, lock};
use crate::{
    key::Identity,
    record::{Batch, Checkpoint},
    settings::Mutation,
    stats::Counters,
};

/// Maximum number of appends, each of which may meet another claimer's batch, before the
/// partition waits for the next write interval.
const MAX_COMMIT_ROUNDS: u32 = 64;

/// Maximum number of times that a batch is read back before its requests are refused.
const MAX_READ_BACKS: u32 = 3;

/// What the log holds at the sequence number of an append.
enum Resolution {
    /// This process's batch.
    Own,
    /// The batch of another claimer.
    Other(Batch),
    /// Nothing, although it held a batch before: a checkpoint covers it by now.
    Gone,
    /// The platform does not respond; this process's batch is certainly not there.
    Failed,
    /// The platform does not respond; this process's batch may be there.
    Uncertain,
}

impl<S: Store> Partition<S> {
    /// Writes the queued requests and outcomes.
    pub(super) async fn commit(&mut self) {
        for _ in 0..MAX_COMMIT_ROUNDS {
            if let Some(append) = self.unconfirmed.take() {
                let resolution = self.read_back(&append).await;
                if !self.resolve(append, resolution).await {
                    return;
                }
                continue;
            }
            if !self.load().await || !self.refresh().await {
                return;
            }
            let Some(append) = self.prepare_append() else {
                return;
            };
            self.last_write_at = Some(Instant::now());
            let resolution = self.append(&append).await;
            if !self.resolve(append, resolution).await {
                return;
            }
        }
    }

    /// Creates the object of the batch.
    async fn append(&self, append: &Append) -> Resolution {
        let name = self.client.batch_name(append.sequence);
        match self.client.create(&name, &append.bytes).await {
            Ok(_) => Resolution::Own,
            Err(store::Error::Conflict { .. }) => {
                Counters::increment(&self.client.counters.conflicts);
                match self.client.get::<Batch>(&name).await {
                    Ok(Some((batch, _))) => self.compare(append, batch),
                    Ok(None) => Resolution::Gone,
                    Err(_) => Resolution::Failed,
                }
            }
            Err(store::Error::ResponseLost { .. }) => {
                Counters::increment(&self.client.counters.lost_responses);
                for _ in 0..MAX_READ_BACKS {
                    match self.read_back(append).await {
                        Resolution::Uncertain => sleep(self.settings.write_interval).await,
                        resolution => return resolution,
                    }
                }
                Resolution::Uncertain
            }
            Err(_) => Resolution::Failed,
        }
    }

    /// Reads the batch's object after an earlier write of it had no response, and writes it again
    /// if it does not exist.
    ///
    /// The earlier write may still take effect, but it carries the same bytes, so either may win.
    async fn read_back(&self, append: &Append) -> Resolution {
        let name = self.client.batch_name(append.sequence);
        match self.client.get::<Batch>(&name).await {
            Ok(Some((batch, _))) => self.compare(append, batch),
            Ok(None) => match self.client.create(&name, &append.bytes).await {
                Ok(_) => Resolution::Own,
                Err(_) => Resolution::Uncertain,
            },
            Err(_) => Resolution::Uncertain,
        }
    }

    fn compare(&self, append: &Append, batch: Batch) -> Resolution {
        let is_own = batch.nonce == append.batch.nonce || self.settings.mutation == Mutation::Nonce;
        if is_own {
            Resolution::Own
        } else {
            Resolution::Other(batch)
        }
    }

    /// Handles what was found at the sequence number of the batch.
    ///
    /// Returns whether to continue with the next batch at once.
    async fn resolve(&mut self, append: Append, resolution: Resolution) -> bool {
        match resolution {
            Resolution::Own => return self.finish_append(append).await,
            Resolution::Other(batch) => {
                self.apply(&batch, None);
                self.requeue(append);
            }
            Resolution::Gone => {
                self.log = None;
                self.requeue(append);
            }
            Resolution::Failed => {
                self.requeue(append);
                self.record_failure();
                return false;
            }
            Resolution::Uncertain => return self.defer_append(append),
        }
        true
    }

    /// Completes the append of a batch that is in the store.
    ///
    /// The batch is part of the log unless a checkpoint already covered its sequence number.
    async fn finish_append(&mut self, append: Append) -> bool {
        let proof_is_recent = self
            .log
            .as_ref()
            .is_some_and(|l| l.proof_is_recent(&self.settings.wall));
        if !proof_is_recent && self.settings.mutation != Mutation::Proof {
            // While this process was paused, another batch with the sequence number may
            // have been created and deleted; then a checkpoint covers it.
            match self
                .client
                .get::<Checkpoint>(&self.client.checkpoint_name())
                .await
            {
                Ok(Some((checkpoint, _))) if checkpoint.sequence >= append.sequence => {
                    return self.reload(append).await;
                }
                Ok(_) => {}
                Err(_) => return self.defer_append(append),
            }
        }
        self.failures = 0;
        self.apply(&append.batch, Some(append.claimed_at));
        for record in &append.batch.records[append.claim_count..] {
            lock(&self.registry).forget(Identity(record.id), record.nonce);
        }
        self.confirm_claims(append);
        false
    }

    /// Reads the whole log again to find out which claims of the batch it holds.
    async fn reload(&mut self, append: Append) -> bool {
        match self.client.load().await {
            Ok((log, table)) => {
                self.log = Some(log);
                *lock(&self.table) = Some(table);
                self.delete_covered_batches();
                self.requeue_missing_outcomes(&append);
                self.confirm_claims(append);
                true
            }
            Err(_) => self.defer_append(append),
        }
    }

    /// Refuses the requests of a batch, and keeps the batch until the platform responds.
    fn defer_append(&mut self, mut append: Append) -> bool {
        for request in append.requests.drain(..) {
            let _ = request.reply.send(ClaimReply::StoreUnavailable);
        }
        self.unconfirmed = Some(append);
        self.record_failure();
        self.flush_at.get_or_insert(self.retry_at);
        false
    }

    /// Reads new batches of other claimers, which may hold an outcome that a request needs.
    ///
    /// Returns `false` if the platform does not respond.
    async fn refresh(&mut self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < self.settings.write_interval;
        if self.refreshed_at.is_some_and(is_recent) || !self.has_key_held_elsewhere() {
            return true;
        }
        while let Some(sequence) = self.log.as_ref().map(|log| log.next_sequence) {
            match self
                .client
                .get::<Batch>(&self.client.batch_name(sequence))
                .await
            {
                Ok(Some((batch, _))) => self.apply(&batch, None),
                Ok(None) => break,
                Err(_) => {
                    self.record_failure();
                    return false;
                }
            }
        }
        self.refreshed_at = Some(Instant::now());
        true
    }

    fn apply(&mut self, batch: &Batch, proof: Option<crate::claim_log::Timestamp>) {
        if let Some(table) = lock(&self.table).as_mut() {
            table.apply(batch);
        }
        if let Some(log) = self.log.as_mut() {
            log.advance(batch, proof);
        }
    }
}
