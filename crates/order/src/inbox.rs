//! Accepts each message from another host once.

use std::time::Duration;

use rattanmast_model::{hash::Map, host, outcome::Outcome, peer, request};
use tokio::time::Instant;

use crate::refusal;

/// Sequence numbers below the highest one that are told apart, for each sender.
///
/// A message that is overtaken by more than these is refused. At 1,000 orders a
/// second from one sender that is 4 s, longer than a claim is valid.
const SPAN: u64 = 4096;

/// The most senders that are remembered; a sender takes about 0.6 KB.
const SENDERS: usize = 8192;

/// Idle time after which a sender may be forgotten: all its keys are too old by then.
const IDLE: Duration = Duration::from_secs(3600);

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
    /// The outcome to reply with: not run if the message is for another process
    /// run, unknown if it may be a copy of one that was accepted.
    pub fn admit(&mut self, message: &peer::Order) -> Result<(), Outcome> {
        if message.target != self.incarnation {
            return Err(refusal::restarted());
        }
        self.insert(message.id)
            .then_some(())
            .ok_or_else(refusal::duplicate)
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
