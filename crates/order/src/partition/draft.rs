//! Decides what each request gets, and drafts the next batch.

use rand::Rng;
use rattanmast_model::store::Store;

use super::{Answer, Ask, Partition, lock};
use crate::{
    key::{self, Identity},
    log::Moment,
    record::{Batch, Holder, OBJECT_LIMIT, Record, State},
    settings::{CLAIM_TTL, Mutation, millis},
    table::Table,
};

/// A batch on its way to the log.
#[derive(Debug)]
pub struct Draft {
    /// The sequence number.
    pub sequence: u64,
    pub batch: Batch,
    pub bytes: Vec<u8>,
    /// When its create began; the claims in it are valid from here.
    pub since: Moment,
    /// The requests, in the order of the first records of the batch.
    pub asks: Vec<Ask>,
    /// The claims in the batch; the records after them are outcomes.
    pub claims: usize,
}

/// What to do about a request.
enum Verdict {
    Claim { attempt: u32 },
    Answer(Answer),
}

/// Decides about `ask`; keys older than `least` are not claimed any more.
fn judge(table: &Table, ask: &Ask, least: u64, limit: usize, me: &Holder) -> Verdict {
    let expired = match ask.ms < table.low {
        true => key::Error::Old,
        false => key::Error::Expiring,
    };
    let expired = Verdict::Answer(Answer::Expired(expired));
    let Some(entry) = table.get(ask.id) else {
        return match () {
            () if ask.ms < least => expired,
            () if table.len() >= limit => Verdict::Answer(Answer::Full),
            () => Verdict::Claim { attempt: 1 },
        };
    };
    let own = table.holder(entry) == me;
    let again = Verdict::Claim {
        attempt: entry.attempt.saturating_add(1),
    };
    match &entry.state {
        _ if entry.digest != ask.digest => Verdict::Answer(Answer::Differs),
        State::NotRun if ask.ms < least => expired,
        State::NotRun => again,
        State::Open if own && ask.void == Some(entry.nonce) && ask.ms < least => expired,
        State::Open if own && ask.void == Some(entry.nonce) => again,
        State::Open => Verdict::Answer(Answer::Held {
            holder: table.holder(entry).clone(),
            nonce: entry.nonce,
        }),
        state => Verdict::Answer(Answer::Recorded(state.clone())),
    }
}

impl<S: Store> Partition<S> {
    /// Answers the requests that need no write, and drafts a batch for the others.
    ///
    /// Returns `None` if there is nothing to write.
    pub(super) fn draft(&mut self) -> Option<Draft> {
        let sequence = self.log.as_ref()?.next;
        let table = std::sync::Arc::clone(&self.table);
        let mut table = lock(&table);
        let table = table.as_mut()?;
        let since = Moment::now(&self.settings.wall);
        let window = millis(self.settings.window);
        // The newest time in a key bounds the watermark, so that a host whose clock
        // is far ahead does not make the whole fleet refuse all keys for good.
        let newest = self.asks.iter().map(|a| a.ms).fold(table.newest, u64::max);
        let low = since.wall.min(newest).saturating_sub(window);
        // Makes room in a full table, although no batch carries the watermark yet.
        table.raise(low);
        let low = table.low;
        // A key that is forgotten must not be sent afterwards, so none is claimed that
        // may be forgotten before the claim expires.
        let least = since.wall.saturating_sub(window).max(low) + 2 * millis(CLAIM_TTL);

        let (mut asks, mut records, mut size) = (Vec::new(), Vec::new(), 0);
        let mut waiting = std::mem::take(&mut self.asks).into_iter();
        for ask in waiting.by_ref() {
            // A request whose time ran out needs no claim.
            if ask.reply.is_closed() {
                continue;
            }
            let limit = self.settings.keys.saturating_sub(asks.len());
            match judge(table, &ask, least, limit, &self.me) {
                Verdict::Answer(answer) => {
                    let _ = ask.reply.send(answer);
                }
                Verdict::Claim { attempt } => {
                    let record = self.claim(&ask, attempt);
                    size += record.size();
                    records.push(record);
                    asks.push(ask);
                }
            }
            if size >= OBJECT_LIMIT / 2 {
                break;
            }
        }
        self.asks = waiting.collect();
        let claims = records.len();
        self.add_outcomes(&mut records, size, low);
        if records.is_empty() {
            return None;
        }
        let batch = Batch {
            nonce: self.rng.random(),
            low,
            holders: vec![self.me.clone()],
            records,
        };
        Some(Draft {
            sequence,
            bytes: serde_json::to_vec(&batch).unwrap_or_default(),
            batch,
            since,
            asks,
            claims,
        })
    }

    fn claim(&mut self, ask: &Ask, attempt: u32) -> Record {
        Record {
            id: ask.id.0,
            ms: ask.ms,
            digest: ask.digest,
            attempt,
            nonce: self.rng.random(),
            holder: 0,
            state: State::Open,
        }
    }

    fn add_outcomes(&mut self, records: &mut Vec<Record>, mut size: usize, low: u64) {
        while let Some(record) = self.outcomes.pop_front() {
            size += record.size();
            if size > OBJECT_LIMIT {
                self.outcomes.push_front(record);
                return;
            }
            if record.ms >= low {
                records.push(record);
            }
        }
        self.due = None;
    }

    /// Takes back what a draft was to write, after it was not written.
    pub(super) fn retract(&mut self, draft: Draft) {
        let outcomes = draft.batch.records.into_iter().skip(draft.claims);
        for record in outcomes.collect::<Vec<_>>().into_iter().rev() {
            self.outcomes.push_front(record);
        }
        if !self.outcomes.is_empty() {
            let due = tokio::time::Instant::now() + self.settings.flush;
            self.due.get_or_insert(due);
        }
        self.asks.extend(draft.asks);
    }

    /// Tells whether a request's key is claimed by another process, without an outcome yet.
    pub(super) fn held_elsewhere(&self) -> bool {
        let table = lock(&self.table);
        let Some(table) = table.as_ref() else {
            return false;
        };
        self.asks.iter().any(|ask| {
            let entry = table.get(ask.id);
            entry.is_some_and(|e| e.state == State::Open && *table.holder(e) != self.me)
        })
    }

    /// Takes back the outcomes of a draft that the log does not hold.
    pub(super) fn keep_outcomes(&mut self, draft: &Draft) {
        let lost: Vec<Record> = {
            let table = lock(&self.table);
            let open = |r: &Record| {
                let entry = table.as_ref().and_then(|t| t.get(Identity(r.id)));
                entry.is_some_and(|e| e.nonce == r.nonce && e.state == State::Open)
            };
            let outcomes = draft.batch.records.iter().skip(draft.claims);
            outcomes.filter(|r| open(r)).cloned().collect()
        };
        for record in lost {
            self.note(record);
        }
    }

    /// Tells the requests of a draft that is in the log that they hold their keys.
    pub(super) fn grant(&mut self, draft: Draft) {
        let held: Vec<bool> = {
            let table = lock(&self.table);
            let table = table.as_ref();
            let holds = |r: &Record| {
                let entry = table.and_then(|t| t.get(Identity(r.id)));
                entry.is_some_and(|e| e.nonce == r.nonce)
            };
            let all = self.settings.mutation == Mutation::Nonce;
            let claims = draft.batch.records.iter().take(draft.claims);
            claims.map(|r| all || holds(r)).collect()
        };
        let mut asks = draft.asks.into_iter();
        for (record, held) in draft.batch.records.into_iter().zip(held) {
            // The requests of a batch in doubt were answered before.
            let ask = asks.next();
            if !held {
                self.asks.extend(ask);
                continue;
            }
            let answer = Answer::Claimed {
                nonce: record.nonce,
                since: draft.since,
            };
            let told = ask.is_some_and(|ask| ask.reply.send(answer).is_ok());
            if !told {
                self.note(Record {
                    state: State::NotRun,
                    ..record
                });
            }
        }
    }
}
