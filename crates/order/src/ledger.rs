//! The orders that this process has in hand or had.

use std::time::Duration;

use rattanmast_model::{hash::Map, outcome::Outcome};
use tokio::{sync::watch, time::Instant};

use crate::{key::Identity, refusal};

/// Time between two searches for expired orders, each of which visits all.
const SWEEP: Duration = Duration::from_secs(10);

/// What an order ends with; `None` while it is in hand.
pub type Ending = watch::Receiver<Option<Outcome>>;

/// An order that was, or may have been, sent.
#[derive(Clone, Debug)]
struct Sent {
    nonce: u64,
    outcome: Outcome,
}

#[derive(Debug)]
struct Hand {
    digest: u64,
    active: Option<Ending>,
    sent: Option<Sent>,
    expiry: Instant,
}

/// What a request with a key finds.
#[derive(Debug)]
pub enum Entered {
    /// The key is free: the request works on it and sends the outcome here.
    Start(watch::Sender<Option<Outcome>>, Ending),
    /// Another request works on it.
    Join(Ending),
    /// It has ended.
    Settled(Outcome),
    /// The key was used for another order.
    Differs,
    /// No room.
    Full,
}

/// Remembers the orders of this process for the window.
#[derive(Debug)]
pub struct Ledger {
    hands: Map<Identity, Hand>,
    /// When expired orders are next looked for.
    sweep: Instant,
    keep: Duration,
    limit: usize,
}

impl Ledger {
    /// Returns an empty ledger that remembers `limit` orders for `keep` after their last use.
    pub fn new(keep: Duration, limit: usize) -> Self {
        Self {
            hands: Map::default(),
            sweep: Instant::now(),
            keep,
            limit,
        }
    }

    /// Enters a request.
    pub fn enter(&mut self, id: Identity, digest: u64) -> Entered {
        self.expire();
        let expiry = Instant::now() + self.keep;
        let room = self.hands.len() < self.limit;
        let hand = match self.hands.get_mut(&id) {
            Some(hand) => hand,
            None if !room => return Entered::Full,
            None => self.hands.entry(id).or_insert(Hand {
                digest,
                active: None,
                sent: None,
                expiry,
            }),
        };
        if hand.digest != digest {
            return Entered::Differs;
        }
        hand.expiry = expiry;
        match (&hand.active, &hand.sent) {
            (Some(ending), _) => Entered::Join(ending.clone()),
            (None, Some(sent)) if !matches!(sent.outcome, Outcome::NotRun { .. }) => {
                Entered::Settled(sent.outcome.clone())
            }
            _ => {
                let (sender, ending) = watch::channel(None);
                hand.active = Some(ending.clone());
                Entered::Start(sender, ending)
            }
        }
    }

    /// Notes that the order is about to be sent under the claim `nonce`.
    pub fn sending(&mut self, id: Identity, nonce: u64) {
        if let Some(hand) = self.hands.get_mut(&id) {
            let outcome = refusal::in_progress();
            hand.sent = Some(Sent { nonce, outcome });
        }
    }

    /// Notes what became of the order that was sent.
    pub fn sent(&mut self, id: Identity, outcome: &Outcome) {
        if let Some(sent) = self.hands.get_mut(&id).and_then(|h| h.sent.as_mut()) {
            sent.outcome = outcome.clone();
        }
    }

    /// Tells whether the order did not run under the claim `nonce` of this process.
    ///
    /// Asked by the request that works on the key; no other one can send it.
    pub fn void(&self, id: Identity, nonce: u64) -> bool {
        let hand = self.hands.get(&id);
        let not_run = |s: &Sent| s.nonce != nonce || matches!(s.outcome, Outcome::NotRun { .. });
        hand.is_some_and(|h| h.sent.as_ref().is_none_or(not_run))
    }

    /// Ends the work on the key.
    pub fn leave(&mut self, id: Identity) {
        if let Some(hand) = self.hands.get_mut(&id) {
            hand.active = None;
            if hand.sent.is_none() {
                self.hands.remove(&id);
            }
        }
    }

    /// Forgets the order that was sent under the claim `nonce`: the log holds its outcome.
    pub fn forget(&mut self, id: Identity, nonce: u64) {
        let hand = self.hands.get(&id).filter(|h| h.active.is_none());
        if hand.is_some_and(|h| h.sent.as_ref().is_some_and(|s| s.nonce == nonce)) {
            self.hands.remove(&id);
        }
    }

    /// Returns what is known of the key.
    pub fn outcome(&self, id: Identity) -> Option<Outcome> {
        let hand = self.hands.get(&id)?;
        Some(match (&hand.active, &hand.sent) {
            (_, Some(sent)) if !matches!(sent.outcome, Outcome::NotRun { .. }) => {
                sent.outcome.clone()
            }
            (Some(_), _) => refusal::in_progress(),
            (None, _) => refusal::not_run_so_far(),
        })
    }

    /// Returns the number of orders remembered, and of those in hand.
    pub fn sizes(&mut self) -> (usize, usize) {
        self.expire();
        let active = self.hands.values().filter(|h| h.active.is_some()).count();
        (self.hands.len(), active)
    }

    fn expire(&mut self) {
        let now = Instant::now();
        if now >= self.sweep {
            self.hands
                .retain(|_, hand| hand.active.is_some() || hand.expiry > now);
            self.sweep = now + SWEEP;
        }
    }
}
