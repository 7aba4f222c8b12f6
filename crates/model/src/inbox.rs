//! Accepts each message from another host once.

use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    hash::Map,
    host,
    outcome::{Outcome, Reason},
    peer, request,
};

/// Sequence numbers below the highest one that are told apart, for each sender.
///
/// A message that is overtaken by more than these is refused. At 1,000 orders a
/// second from one sender that is 4 s, longer than a claim is valid.
const SPAN: u64 = 4096;

/// The most senders that are remembered; a sender takes about 0.6 KB.
const SENDERS: usize = 8192;

/// Idle time after which a sender may be forgotten: all its keys are too old by then.
const IDLE: Duration = Duration::from_secs(3600);

/// The most by which the clocks of two hosts are taken to differ, in milliseconds.
const SKEW: u64 = 1_000;

/// Returns a time not after the one at which `message` was made, in milliseconds since the epoch.
fn made_ms(message: &peer::Order) -> u64 {
    message.not_after_ms.saturating_sub(match message.step {
        peer::Step::Claim => message.budget_ms.into(),
        peer::Step::Dispatch => peer::CLAIM_TTL_MS,
    })
}

/// The remedy of an order that was forwarded to an earlier process run.
pub const RESTARTED: &str =
    "the host that the order was forwarded to has restarted; send it again with the same key";

fn restarted() -> Outcome {
    Outcome::NotRun {
        reason: Reason::Unreachable,
        remedy: SmolStr::new_static(RESTARTED),
    }
}

fn duplicate() -> Outcome {
    Outcome::Unknown {
        remedy: SmolStr::new_static(
            "the message arrived twice; ask GET /v1/orders/<key> for the outcome",
        ),
    }
}

/// What arrived from one process run of a sender.
#[derive(Debug)]
struct Sender {
    incarnation: host::Incarnation,
    highest: u64,
    seen: [u64; (SPAN / 64) as usize],
    last: Instant,
}

impl Sender {
    fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let from = self.highest.max(sequence.saturating_sub(SPAN)) + 1;
            for skipped in from..=sequence {
                self.bit(skipped, false);
            }
            self.highest = sequence;
        } else if self.highest - sequence >= SPAN {
            return false;
        }
        self.bit(sequence, true)
    }

    /// Sets the bit of `sequence` and tells whether it changed.
    fn bit(&mut self, sequence: u64, value: bool) -> bool {
        let slot = sequence % SPAN;
        let (word, mask) = ((slot / 64) as usize, 1 << (slot % 64));
        let before = self.seen[word] & mask != 0;
        if value {
            self.seen[word] |= mask;
        } else {
            self.seen[word] &= !mask;
        }
        before != value
    }
}

/// Remembers the identifiers of messages, in bounded memory.
#[derive(Debug)]
pub struct Inbox {
    incarnation: host::Incarnation,
    senders: Map<u64, Box<Sender>>,
}

impl Inbox {
    /// Returns an empty inbox of the process run `incarnation`.
    pub fn new(incarnation: host::Incarnation) -> Self {
        Self {
            incarnation,
            senders: Map::default(),
        }
    }

    /// Accepts `message` if it is for this process run and did not arrive before.
    ///
    /// # Errors
    ///
    /// The outcome to reply with. Not run if the message is for an earlier process
    /// run that had ended before the message was made; unknown if it may be a copy
    /// of one that was accepted, here or by that earlier run.
    pub fn admit(&mut self, message: &peer::Order) -> Result<(), Outcome> {
        if message.target != self.incarnation {
            let earlier = message.target < self.incarnation;
            let started = self.incarnation.0 / 1_000_000 + SKEW;
            return Err(match earlier && made_ms(message) >= started {
                true => restarted(),
                false => duplicate(),
            });
        }
        self.insert(message.id).then_some(()).ok_or_else(duplicate)
    }

    fn insert(&mut self, id: request::Id) -> bool {
        let now = Instant::now();
        if self.senders.len() >= SENDERS && !self.senders.contains_key(&id.host) {
            self.senders.retain(|_, s| now - s.last < IDLE);
            if self.senders.len() >= SENDERS {
                return false;
            }
        }
        let fresh = || Sender {
            incarnation: id.incarnation,
            highest: 0,
            seen: [0; (SPAN / 64) as usize],
            last: now,
        };
        let sender = self
            .senders
            .entry(id.host)
            .or_insert_with(|| Box::new(fresh()));
        if id.incarnation > sender.incarnation {
            **sender = fresh();
        }
        sender.last = now;
        id.incarnation == sender.incarnation && sender.insert(id.sequence)
    }
}
