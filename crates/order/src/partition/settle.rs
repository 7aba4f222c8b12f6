//! Appends a batch to the log, and finds out whether it is there.

use rattanmast_model::store::{self, Store};
use tokio::time::{Instant, sleep};

use super::{Answer, Partition, draft::Draft, lock};
use crate::{
    key::Identity,
    record::{Batch, Head},
    settings::Mutation,
    stats::Counters,
};

/// Batches of other claimers that are read before waiting for the next interval.
const ROUNDS: u32 = 64;

/// Times a batch is read back before its requests are refused.
const READS: u32 = 3;

/// What the log holds at a sequence number.
enum Found {
    /// The own batch.
    Own,
    /// The batch of another claimer.
    Other(Batch),
    /// Nothing, although it held something: the log has moved on.
    Gone,
    /// The platform does not answer; the own batch is certainly not there.
    Failed,
    /// The platform does not answer; the own batch may be there.
    Doubt,
}

impl<S: Store> Partition<S> {
    /// Writes what waits.
    pub(super) async fn commit(&mut self) {
        for _ in 0..ROUNDS {
            if let Some(doubt) = self.doubt.take() {
                let found = self.read_back(&doubt).await;
                if !self.conclude(doubt, found).await {
                    return;
                }
                continue;
            }
            if !self.load().await || !self.refresh().await {
                return;
            }
            let Some(draft) = self.draft() else {
                return;
            };
            self.written = Some(Instant::now());
            let found = self.append(&draft).await;
            if !self.conclude(draft, found).await {
                return;
            }
        }
    }

    /// Creates the draft's object.
    async fn append(&self, draft: &Draft) -> Found {
        let name = self.access.batch(draft.sequence);
        match self.access.create(&name, &draft.bytes).await {
            Ok(_) => Found::Own,
            Err(store::Error::Conflict { .. }) => {
                Counters::add(&self.access.counters.conflicts);
                match self.access.get::<Batch>(&name).await {
                    Ok(Some((batch, _))) => self.compare(draft, batch),
                    Ok(None) => Found::Gone,
                    Err(_) => Found::Failed,
                }
            }
            Err(store::Error::Lost { .. }) => {
                Counters::add(&self.access.counters.lost);
                for _ in 0..READS {
                    match self.read_back(draft).await {
                        Found::Doubt => sleep(self.settings.interval).await,
                        found => return found,
                    }
                }
                Found::Doubt
            }
            Err(_) => Found::Failed,
        }
    }

    /// Finds out whether the draft's object was created by an earlier call.
    ///
    /// That call may still take effect, so the same bytes are written again where
    /// nothing is found: whichever call comes first, the content is the same.
    async fn read_back(&self, draft: &Draft) -> Found {
        let name = self.access.batch(draft.sequence);
        match self.access.get::<Batch>(&name).await {
            Ok(Some((batch, _))) => self.compare(draft, batch),
            Ok(None) => match self.access.create(&name, &draft.bytes).await {
                Ok(_) => Found::Own,
                Err(_) => Found::Doubt,
            },
            Err(_) => Found::Doubt,
        }
    }

    fn compare(&self, draft: &Draft, batch: Batch) -> Found {
        let own = batch.nonce == draft.batch.nonce || self.settings.mutation == Mutation::Nonce;
        if own { Found::Own } else { Found::Other(batch) }
    }

    /// Acts on what was found at the draft's sequence number.
    ///
    /// Returns whether to go on with the next batch now.
    async fn conclude(&mut self, draft: Draft, found: Found) -> bool {
        match found {
            Found::Own => return self.win(draft).await,
            Found::Other(batch) => {
                self.apply(&batch, None);
                self.retract(draft);
            }
            Found::Gone => {
                self.log = None;
                self.retract(draft);
            }
            Found::Failed => {
                self.retract(draft);
                self.fail();
                return false;
            }
            Found::Doubt => return self.conclude_later(draft),
        }
        true
    }

    /// Handles a draft that is in the store, which is in the log unless it was deleted before.
    async fn win(&mut self, draft: Draft) -> bool {
        let proven = self
            .log
            .as_ref()
            .is_some_and(|l| l.proven(&self.settings.wall));
        if !proven && self.settings.mutation != Mutation::Proof {
            // The sequence number may have been used and deleted while this process
            // was paused; then a checkpoint covers it.
            match self.access.get::<Head>(&self.access.head()).await {
                Ok(Some((head, _))) if head.sequence >= draft.sequence => {
                    return self.reload(draft).await;
                }
                Ok(_) => {}
                Err(_) => return self.conclude_later(draft),
            }
        }
        self.failures = 0;
        self.apply(&draft.batch, Some(draft.since));
        for outcome in &draft.batch.records[draft.claims..] {
            lock(&self.ledger).forget(Identity(outcome.id), outcome.nonce);
        }
        self.grant(draft);
        false
    }

    /// Reads the whole log to see which claims of a draft it holds.
    async fn reload(&mut self, draft: Draft) -> bool {
        match self.access.load().await {
            Ok((log, table)) => {
                self.log = Some(log);
                *lock(&self.table) = Some(table);
                self.sweep_covered();
                self.keep_outcomes(&draft);
                self.grant(draft);
                true
            }
            Err(_) => self.conclude_later(draft),
        }
    }

    /// Refuses the requests of a draft and keeps it until the platform answers.
    fn conclude_later(&mut self, mut draft: Draft) -> bool {
        for ask in draft.asks.drain(..) {
            let _ = ask.reply.send(Answer::Store);
        }
        self.doubt = Some(draft);
        self.fail();
        self.due.get_or_insert(self.retry);
        false
    }

    /// Reads the batches of others that may hold an outcome that a request needs.
    async fn refresh(&mut self) -> bool {
        let recent = |at: Instant| at.elapsed() < self.settings.interval;
        if self.refreshed.is_some_and(recent) || !self.held_elsewhere() {
            return true;
        }
        while let Some(next) = self.log.as_ref().map(|log| log.next) {
            match self.access.get::<Batch>(&self.access.batch(next)).await {
                Ok(Some((batch, _))) => self.apply(&batch, None),
                Ok(None) => break,
                Err(_) => {
                    self.fail();
                    return false;
                }
            }
        }
        self.refreshed = Some(Instant::now());
        true
    }

    fn apply(&mut self, batch: &Batch, proof: Option<crate::log::Moment>) {
        if let Some(table) = lock(&self.table).as_mut() {
            table.apply(batch);
        }
        if let Some(log) = self.log.as_mut() {
            log.advance(batch, proof);
        }
    }
}
