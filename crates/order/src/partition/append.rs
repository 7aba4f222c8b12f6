//! Decides each claim request and assembles the next batch.

use rand::Rng;
use rattanmast_model::store::Store;

use super::{ClaimReply, ClaimRequest, Partition, lock};
use crate::{
    claim_log::Timestamp,
    key::{self, Identity},
    record::{Batch, Holder, MAX_OBJECT_BYTES, Record, State},
    settings::{CLAIM_TTL, Mutation, millis},
    table::Table,
};

/// A batch that is being appended to the log.
#[derive(Debug)]
pub struct Append {
    /// Sequence number of the batch.
    pub sequence: u64,
    pub batch: Batch,
    pub bytes: Vec<u8>,
    /// When the append began; the claims in the batch are valid from then on.
    pub claimed_at: Timestamp,
    /// The requests behind the claims, in the order of their records.
    pub requests: Vec<ClaimRequest>,
    /// Number of claims in the batch; the records after them are outcomes.
    pub claim_count: usize,
}

/// How a request is handled.
enum Decision {
    Claim { attempt: u32 },
    Reply(ClaimReply),
}

/// Decides how to handle `request`; keys older than `min_time_ms` can no longer be claimed.
fn decide(
    table: &Table,
    request: &ClaimRequest,
    min_time_ms: u64,
    max_keys: usize,
    own_process: &Holder,
) -> Decision {
    let expired = match request.time_ms < table.low_watermark_ms {
        true => key::Error::Expired,
        false => key::Error::Expiring,
    };
    let expired = Decision::Reply(ClaimReply::Expired(expired));
    let Some(entry) = table.get(request.id) else {
        return match () {
            () if request.time_ms < min_time_ms => expired,
            () if table.len() >= max_keys => Decision::Reply(ClaimReply::Full),
            () => Decision::Claim { attempt: 1 },
        };
    };
    let is_own = table.holder(entry) == own_process;
    let reclaim = Decision::Claim {
        attempt: entry.attempt.saturating_add(1),
    };
    match &entry.state {
        _ if entry.digest != request.digest => Decision::Reply(ClaimReply::KeyReused),
        State::NotRun if request.time_ms < min_time_ms => expired,
        State::NotRun => reclaim,
        State::Open
            if is_own
                && request.unsent_claim == Some(entry.nonce)
                && request.time_ms < min_time_ms =>
        {
            expired
        }
        State::Open if is_own && request.unsent_claim == Some(entry.nonce) => reclaim,
        State::Open => Decision::Reply(ClaimReply::Held {
            holder: table.holder(entry).clone(),
            nonce: entry.nonce,
        }),
        state => Decision::Reply(ClaimReply::Recorded(state.clone())),
    }
}

impl<S: Store> Partition<S> {
    /// Replies to the requests that need no write, and assembles a batch for the others.
    ///
    /// Returns `None` if there is nothing to write.
    pub(super) fn prepare_append(&mut self) -> Option<Append> {
        let sequence = self.log.as_ref()?.next_sequence;
        let table = std::sync::Arc::clone(&self.table);
        let mut table = lock(&table);
        let table = table.as_mut()?;
        let claimed_at = Timestamp::now(&self.settings.wall);
        let window_ms = millis(self.settings.idempotency_window);
        // The newest time in a key bounds the watermark, so that a host whose clock
        // is far ahead does not make the whole fleet refuse all keys for good.
        let newest_ms = self
            .requests
            .iter()
            .map(|a| a.time_ms)
            .fold(table.newest_ms, u64::max);
        let low_watermark_ms = claimed_at.wall_ms.min(newest_ms).saturating_sub(window_ms);
        // Frees space in a full table, although no batch carries the watermark yet.
        table.raise_low_watermark(low_watermark_ms);
        let low_watermark_ms = table.low_watermark_ms;
        // An order must not be sent after its key has expired, so no key is claimed that
        // could expire before its claim does.
        let min_time_ms = claimed_at
            .wall_ms
            .saturating_sub(window_ms)
            .max(low_watermark_ms)
            + 2 * millis(CLAIM_TTL);

        let (mut requests, mut records, mut size) = (Vec::new(), Vec::new(), 0);
        let mut queued = std::mem::take(&mut self.requests).into_iter();
        for request in queued.by_ref() {
            // The requester has timed out and needs no claim.
            if request.reply.is_closed() {
                continue;
            }
            let max_keys = self.settings.max_keys.saturating_sub(requests.len());
            match decide(table, &request, min_time_ms, max_keys, &self.own_process) {
                Decision::Reply(reply) => {
                    let _ = request.reply.send(reply);
                }
                Decision::Claim { attempt } => {
                    let record = self.claim_record(&request, attempt);
                    size += record.max_bytes();
                    records.push(record);
                    requests.push(request);
                }
            }
            if size >= MAX_OBJECT_BYTES / 2 {
                break;
            }
        }
        self.requests = queued.collect();
        let claim_count = records.len();
        self.add_outcomes(&mut records, size, low_watermark_ms);
        if records.is_empty() {
            return None;
        }
        let batch = Batch {
            nonce: self.rng.random(),
            low_watermark_ms,
            holders: vec![self.own_process.clone()],
            records,
        };
        Some(Append {
            sequence,
            bytes: serde_json::to_vec(&batch).unwrap_or_default(),
            batch,
            claimed_at,
            requests,
            claim_count,
        })
    }

    fn claim_record(&mut self, request: &ClaimRequest, attempt: u32) -> Record {
        Record {
            id: request.id.0,
            time_ms: request.time_ms,
            digest: request.digest,
            attempt,
            nonce: self.rng.random(),
            holder_index: 0,
            state: State::Open,
        }
    }

    fn add_outcomes(&mut self, records: &mut Vec<Record>, mut size: usize, low_watermark_ms: u64) {
        while let Some(record) = self.outcomes.pop_front() {
            size += record.max_bytes();
            if size > MAX_OBJECT_BYTES {
                self.outcomes.push_front(record);
                return;
            }
            if record.time_ms >= low_watermark_ms {
                records.push(record);
            }
        }
        self.flush_at = None;
    }

    /// Puts the outcomes and requests of a batch that was not written back into the queues.
    pub(super) fn requeue(&mut self, append: Append) {
        let outcomes = append.batch.records.into_iter().skip(append.claim_count);
        for record in outcomes.collect::<Vec<_>>().into_iter().rev() {
            self.outcomes.push_front(record);
        }
        if !self.outcomes.is_empty() {
            let flush_at = tokio::time::Instant::now() + self.settings.max_flush_delay;
            self.flush_at.get_or_insert(flush_at);
        }
        self.requests.extend(append.requests);
    }

    /// Returns whether another process holds the key of a queued request without an outcome.
    pub(super) fn has_key_held_elsewhere(&self) -> bool {
        let table = lock(&self.table);
        let Some(table) = table.as_ref() else {
            return false;
        };
        self.requests.iter().any(|request| {
            let entry = table.get(request.id);
            entry.is_some_and(|e| e.state == State::Open && *table.holder(e) != self.own_process)
        })
    }

    /// Queues the outcomes of a batch again that the log does not hold.
    pub(super) fn requeue_missing_outcomes(&mut self, append: &Append) {
        let missing: Vec<Record> = {
            let table = lock(&self.table);
            let is_open = |r: &Record| {
                let entry = table.as_ref().and_then(|t| t.get(Identity(r.id)));
                entry.is_some_and(|e| e.nonce == r.nonce && e.state == State::Open)
            };
            let outcomes = append.batch.records.iter().skip(append.claim_count);
            outcomes.filter(|r| is_open(r)).cloned().collect()
        };
        for record in missing {
            self.queue_outcome(record);
        }
    }

    /// Confirms the claims of a batch that is in the log to their requests.
    ///
    /// Claims that the log does not hold are requested again, and those whose requester is
    /// gone are recorded as not run.
    pub(super) fn confirm_claims(&mut self, append: Append) {
        let is_held: Vec<bool> = {
            let table = lock(&self.table);
            let table = table.as_ref();
            let holds = |r: &Record| {
                let entry = table.and_then(|t| t.get(Identity(r.id)));
                entry.is_some_and(|e| e.nonce == r.nonce)
            };
            let skip_check = self.settings.mutation == Mutation::Nonce;
            let claims = append.batch.records.iter().take(append.claim_count);
            claims.map(|r| skip_check || holds(r)).collect()
        };
        let mut requests = append.requests.into_iter();
        for (record, is_held) in append.batch.records.into_iter().zip(is_held) {
            // A batch that was unconfirmed has no requests left: they were refused.
            let request = requests.next();
            if !is_held {
                self.requests.extend(request);
                continue;
            }
            let reply = ClaimReply::Claimed {
                nonce: record.nonce,
                claimed_at: append.claimed_at,
            };
            let is_delivered = request.is_some_and(|request| request.reply.send(reply).is_ok());
            if !is_delivered {
                self.queue_outcome(Record {
                    state: State::NotRun,
                    ..record
                });
            }
        }
    }
}
