//! The orders that this process has in flight or had.

use std::time::Duration;

use rattanmast_model::{hash::Map, outcome::Outcome};
use tokio::{sync::watch, time::Instant};

use crate::{key::Identity, refusal};

/// Time between two searches for expired orders, each of which visits all.
const SWEEP: Duration = Duration::from_secs(10);

/// What an order ends with; `None` while it is in flight.
pub type Ending = watch::Receiver<Option<Outcome>>;

/// An order that was, or may have been, sent.
#[derive(Clone, Debug)]
struct Sent {
    nonce: u64,
    outcome: Outcome,
}

#[derive(Debug)]
struct Entry {
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
    entries: Map<Identity, Entry>,
    /// When expired orders are next looked for.
    sweep: Instant,
    keep: Duration,
    limit: usize,
}

impl Ledger {
    /// Returns an empty ledger that remembers `limit` orders for `keep` after their last use.
    pub fn new(keep: Duration, limit: usize) -> Self {
        Self {
            entries: Map::default(),
            sweep: Instant::now(),
            keep,
            limit,
        }
    }

    /// Enters a request.
    pub fn enter(&mut self, id: Identity, digest: u64) -> Entered {
        self.expire();
        let expiry = Instant::now() + self.keep;
        let room = self.entries.len() < self.limit;
        let entry = match self.entries.get_mut(&id) {
            Some(entry) => entry,
            None if !room => return Entered::Full,
            None => self.entries.entry(id).or_insert(Entry {
                digest,
                active: None,
                sent: None,
                expiry,
            }),
        };
        if entry.digest != digest {
            return Entered::Differs;
        }
        entry.expiry = expiry;
        match (&entry.active, &entry.sent) {
            (Some(ending), _) => Entered::Join(ending.clone()),
            (None, Some(sent)) if !matches!(sent.outcome, Outcome::NotRun { .. }) => {
                Entered::Settled(sent.outcome.clone())
            }
            _ => {
                let (sender, ending) = watch::channel(None);
                entry.active = Some(ending.clone());
                Entered::Start(sender, ending)
            }
        }
    }

    /// Notes that the order is about to be sent under the claim `nonce`.
    pub fn sending(&mut self, id: Identity, nonce: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let outcome = refusal::in_progress();
            entry.sent = Some(Sent { nonce, outcome });
        }
    }

    /// Notes what became of the order that was sent.
    pub fn sent(&mut self, id: Identity, outcome: &Outcome) {
        if let Some(sent) = self.entries.get_mut(&id).and_then(|h| h.sent.as_mut()) {
            sent.outcome = outcome.clone();
        }
    }

    /// Tells whether the order did not run under the claim `nonce` of this process.
    ///
    /// Asked by the request that works on the key; no other one can send it.
    pub fn void(&self, id: Identity, nonce: u64) -> bool {
        let entry = self.entries.get(&id);
        let not_run = |s: &Sent| s.nonce != nonce || matches!(s.outcome, Outcome::NotRun { .. });
        entry.is_some_and(|h| h.sent.as_ref().is_none_or(not_run))
    }

    /// Ends the work on the key.
    pub fn leave(&mut self, id: Identity) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.active = None;
            if entry.sent.is_none() {
                self.entries.remove(&id);
            }
        }
    }

    /// Forgets the order that was sent under the claim `nonce`: the log holds its outcome.
    pub fn forget(&mut self, id: Identity, nonce: u64) {
        let entry = self.entries.get(&id).filter(|h| h.active.is_none());
        if entry.is_some_and(|h| h.sent.as_ref().is_some_and(|s| s.nonce == nonce)) {
            self.entries.remove(&id);
        }
    }

    /// Returns what is known of the key.
    pub fn outcome(&self, id: Identity) -> Option<Outcome> {
        let entry = self.entries.get(&id)?;
        Some(match (&entry.active, &entry.sent) {
            (_, Some(sent)) if !matches!(sent.outcome, Outcome::NotRun { .. }) => {
                sent.outcome.clone()
            }
            (Some(_), _) => refusal::in_progress(),
            (None, _) => refusal::not_run_so_far(),
        })
    }

    /// Returns the number of orders remembered, and of those in flight.
    pub fn sizes(&mut self) -> (usize, usize) {
        self.expire();
        let active = self.entries.values().filter(|h| h.active.is_some()).count();
        (self.entries.len(), active)
    }

    fn expire(&mut self) {
        let now = Instant::now();
        if now >= self.sweep {
            self.entries
                .retain(|_, entry| entry.active.is_some() || entry.expiry > now);
            self.sweep = now + SWEEP;
        }
    }
}
