//! Duplicate detection: accepts each message from another host at most once.

use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    hash::Map,
    host,
    outcome::{Outcome, Reason},
    peer, request,
};

/// The length of the duplicate-detection window of each sender, in sequence numbers.
///
/// A message this far or further behind the highest sequence number is refused. At
/// 1,000 orders per second from one sender the window spans 4 s, longer than a claim is valid.
const WINDOW_LEN: u64 = 4096;

/// The maximum number of senders that are tracked; each takes about 0.6 KB.
const MAX_SENDERS: usize = 8192;

/// Idle time after which a sender may be dropped: by then all its keys have expired.
const SENDER_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// The maximum assumed clock difference between two hosts, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 1_000;

/// Returns a lower bound on the creation time of `message`, in milliseconds since the Unix epoch.
fn earliest_creation_ms(message: &peer::Order) -> u64 {
    message.not_after_ms.saturating_sub(match message.step {
        peer::Step::Claim => message.budget_ms.into(),
        peer::Step::Dispatch => peer::CLAIM_TTL_MS,
    })
}

/// The remedy for an order that was forwarded to an earlier incarnation of the receiver.
///
/// The forwarding host recognizes this case by comparing the text.
pub const RECEIVER_RESTARTED_REMEDY: &str =
    "the host that the order was forwarded to has restarted; send it again with the same key";

fn restarted_outcome() -> Outcome {
    Outcome::NotRun {
        reason: Reason::Unreachable,
        remedy: SmolStr::new_static(RECEIVER_RESTARTED_REMEDY),
    }
}

fn duplicate_outcome() -> Outcome {
    Outcome::Unknown {
        remedy: SmolStr::new_static(
            "the message may have arrived before; ask GET /v1/orders/<key> for the outcome",
        ),
    }
}

/// A sliding window over the sequence numbers received from one incarnation of a sender.
///
/// `seen` is a ring of bits, indexed by sequence number modulo [`WINDOW_LEN`].
#[derive(Debug)]
struct Window {
    incarnation: host::Incarnation,
    max_sequence: u64,
    seen: [u64; (WINDOW_LEN / 64) as usize],
    last_seen: Instant,
}

impl Window {
    fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.max_sequence {
            let from = self.max_sequence.max(sequence.saturating_sub(WINDOW_LEN)) + 1;
            for skipped in from..=sequence {
                self.set_bit(skipped, false);
            }
            self.max_sequence = sequence;
        } else if self.max_sequence - sequence >= WINDOW_LEN {
            return false;
        }
        self.set_bit(sequence, true)
    }

    /// Sets the bit of `sequence` to `value` and returns whether it changed.
    fn set_bit(&mut self, sequence: u64, value: bool) -> bool {
        let slot = sequence % WINDOW_LEN;
        let (word, mask) = ((slot / 64) as usize, 1 << (slot % 64));
        let was_set = self.seen[word] & mask != 0;
        if value {
            self.seen[word] |= mask;
        } else {
            self.seen[word] &= !mask;
        }
        was_set != value
    }
}

/// Tracks the identifiers of received messages, in bounded memory.
#[derive(Debug)]
pub struct Filter {
    incarnation: host::Incarnation,
    windows: Map<u64, Box<Window>>,
}

impl Filter {
    /// Returns an empty filter for a host process of this `incarnation`.
    pub fn new(incarnation: host::Incarnation) -> Self {
        Self {
            incarnation,
            windows: Map::default(),
        }
    }

    /// Accepts `message` if it is addressed to this incarnation and is not a duplicate.
    ///
    /// # Errors
    ///
    /// Returns the outcome to reply with: [`Outcome::NotRun`] if the message is for an
    /// earlier incarnation that had ended before the message was created, and
    /// [`Outcome::Unknown`] if it may duplicate a message that this or the earlier
    /// incarnation accepted.
    pub fn admit(&mut self, message: &peer::Order) -> Result<(), Outcome> {
        if message.target != self.incarnation {
            let is_earlier_incarnation = message.target < self.incarnation;
            let latest_start_ms = self.incarnation.0 / 1_000_000 + MAX_CLOCK_SKEW_MS;
            return Err(
                match is_earlier_incarnation && earliest_creation_ms(message) >= latest_start_ms {
                    true => restarted_outcome(),
                    false => duplicate_outcome(),
                },
            );
        }
        self.insert(message.id)
            .then_some(())
            .ok_or_else(duplicate_outcome)
    }

    fn insert(&mut self, id: request::Id) -> bool {
        let now = Instant::now();
        if self.windows.len() >= MAX_SENDERS && !self.windows.contains_key(&id.host) {
            self.windows
                .retain(|_, s| now - s.last_seen < SENDER_IDLE_TIMEOUT);
            if self.windows.len() >= MAX_SENDERS {
                return false;
            }
        }
        let new_window = || Window {
            incarnation: id.incarnation,
            max_sequence: 0,
            seen: [0; (WINDOW_LEN / 64) as usize],
            last_seen: now,
        };
        let window = self
            .windows
            .entry(id.host)
            .or_insert_with(|| Box::new(new_window()));
        if id.incarnation > window.incarnation {
            **window = new_window();
        }
        window.last_seen = now;
        id.incarnation == window.incarnation && window.insert(id.sequence)
    }
}
