//! The orders that this process has in flight or still remembers.

use std::time::Duration;

use rattanmast_model::{hash::Map, outcome::Outcome};
use tokio::{sync::watch, time::Instant};

use crate::{key::Identity, refusal};

/// Interval between two scans for expired orders, each of which visits all entries.
const EXPIRY_SCAN_INTERVAL: Duration = Duration::from_secs(10);

/// Receives the outcome of an order; `None` while it is in flight.
pub type OutcomeReceiver = watch::Receiver<Option<Outcome>>;

/// An order that was, or may have been, sent.
#[derive(Clone, Debug)]
struct Sent {
    nonce: u64,
    outcome: Outcome,
}

#[derive(Debug)]
struct Entry {
    digest: u64,
    in_flight: Option<OutcomeReceiver>,
    sent: Option<Sent>,
    expires_at: Instant,
}

/// The result of registering a request.
#[derive(Debug)]
pub enum Registration {
    /// The key is free: the request executes the order and sends its outcome on the channel.
    Started(watch::Sender<Option<Outcome>>, OutcomeReceiver),
    /// Another request is executing the order.
    Joined(OutcomeReceiver),
    /// The order has ended.
    Finished(Outcome),
    /// The key was used for another order.
    KeyReused,
    /// The registry is full.
    Full,
}

/// Deduplicates the orders of this process and keeps their outcomes.
#[derive(Debug)]
pub struct Registry {
    entries: Map<Identity, Entry>,
    /// When the next scan for expired orders is due.
    next_expiry: Instant,
    retention: Duration,
    max_orders: usize,
}

impl Registry {
    /// Returns an empty registry that keeps up to `max_orders` orders for `retention` after
    /// their last use.
    pub fn new(retention: Duration, max_orders: usize) -> Self {
        Self {
            entries: Map::default(),
            next_expiry: Instant::now(),
            retention,
            max_orders,
        }
    }

    /// Registers a request for the order `id` with the content hash `digest`.
    pub fn register(&mut self, id: Identity, digest: u64) -> Registration {
        self.expire();
        let expires_at = Instant::now() + self.retention;
        let has_capacity = self.entries.len() < self.max_orders;
        let entry = match self.entries.get_mut(&id) {
            Some(entry) => entry,
            None if !has_capacity => return Registration::Full,
            None => self.entries.entry(id).or_insert(Entry {
                digest,
                in_flight: None,
                sent: None,
                expires_at,
            }),
        };
        if entry.digest != digest {
            return Registration::KeyReused;
        }
        entry.expires_at = expires_at;
        match (&entry.in_flight, &entry.sent) {
            (Some(receiver), _) => Registration::Joined(receiver.clone()),
            (None, Some(sent)) if !matches!(sent.outcome, Outcome::NotRun { .. }) => {
                Registration::Finished(sent.outcome.clone())
            }
            _ => {
                let (sender, receiver) = watch::channel(None);
                entry.in_flight = Some(receiver.clone());
                Registration::Started(sender, receiver)
            }
        }
    }

    /// Records that the order is about to be sent under the claim `nonce`.
    pub fn mark_sending(&mut self, id: Identity, nonce: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let outcome = refusal::in_progress();
            entry.sent = Some(Sent { nonce, outcome });
        }
    }

    /// Records the outcome of the order that was sent.
    pub fn record_outcome(&mut self, id: Identity, outcome: &Outcome) {
        if let Some(sent) = self.entries.get_mut(&id).and_then(|e| e.sent.as_mut()) {
            sent.outcome = outcome.clone();
        }
    }

    /// Returns whether the order certainly did not run under the claim `nonce` of this process.
    ///
    /// Only the request that executes the order may call this, since no other can send it.
    pub fn did_not_run(&self, id: Identity, nonce: u64) -> bool {
        let entry = self.entries.get(&id);
        let not_run = |s: &Sent| s.nonce != nonce || matches!(s.outcome, Outcome::NotRun { .. });
        entry.is_some_and(|e| e.sent.as_ref().is_none_or(not_run))
    }

    /// Marks the order as no longer in flight.
    pub fn finish(&mut self, id: Identity) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.in_flight = None;
            if entry.sent.is_none() {
                self.entries.remove(&id);
            }
        }
    }

    /// Removes the order that was sent under the claim `nonce`, once the log holds its outcome.
    pub fn forget(&mut self, id: Identity, nonce: u64) {
        let entry = self.entries.get(&id).filter(|e| e.in_flight.is_none());
        if entry.is_some_and(|e| e.sent.as_ref().is_some_and(|s| s.nonce == nonce)) {
            self.entries.remove(&id);
        }
    }

    /// Returns what is known of the order's outcome.
    pub fn outcome(&self, id: Identity) -> Option<Outcome> {
        let entry = self.entries.get(&id)?;
        Some(match (&entry.in_flight, &entry.sent) {
            (_, Some(sent)) if !matches!(sent.outcome, Outcome::NotRun { .. }) => {
                sent.outcome.clone()
            }
            (Some(_), _) => refusal::in_progress(),
            (None, _) => refusal::not_run_so_far(),
        })
    }

    /// Returns the number of all entries, and of those in flight.
    pub fn counts(&mut self) -> (usize, usize) {
        self.expire();
        let in_flight = self
            .entries
            .values()
            .filter(|e| e.in_flight.is_some())
            .count();
        (self.entries.len(), in_flight)
    }

    fn expire(&mut self) {
        let now = Instant::now();
        if now >= self.next_expiry {
            self.entries
                .retain(|_, entry| entry.in_flight.is_some() || entry.expires_at > now);
            self.next_expiry = now + EXPIRY_SCAN_INTERVAL;
        }
    }
}
