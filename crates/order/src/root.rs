//! The root's part: takes orders from callers, forwards them, and looks up outcomes.

use std::time::Duration;

use rattanmast_model::{
    host, inbox,
    outcome::{Outcome, Reason},
    peer::{self, Peers},
    roster,
    store::Store,
};
use smol_str::ToSmolStr;
use tokio::time::Instant;

use crate::{
    key::{self, Identity},
    orders::{ASK, Orders, Submit, recorded},
    reader::Reader,
    record::{Holder, State},
    refusal, send,
    ticket::{self, Ticket},
};

impl<S: Store, P: Peers> Orders<S, P> {
    /// Takes an order from a caller and returns what became of it.
    pub async fn submit(&self, order: Submit) -> Outcome {
        if let Err(refusal) = self.open() {
            return refusal;
        }
        if self.config().collection(&order.collection).is_none() {
            return refusal::not_run(
                Reason::Invalid,
                "the collection does not exist; see rattanmast-ctl status for their names",
            );
        }
        let deadline = Instant::now() + order.timeout;
        if ticket::looks_like(&order.key) {
            return match Ticket::parse(&order.key) {
                Some(ticket) => self.redeem(&order, ticket, deadline).await,
                None => refusal::bad_ticket(),
            };
        }
        match key::parse(&order.key) {
            Ok(_) => self.route(&order, deadline).await,
            Err(error) => refusal::not_run(Reason::Key, &error.to_smolstr()),
        }
    }

    /// Sends the order to the claimer of its key's partition.
    async fn route(&self, order: &Submit, deadline: Instant) -> Outcome {
        let config = self.config();
        let id = Identity::new(&order.caller, &order.key);
        let mut refusal = refusal::not_run(
            Reason::Unreachable,
            "no host that claims keys is reachable; send it again with the same key",
        );
        for host in roster::claimers(&config.hosts, id.partition()) {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return refusal::late();
            }
            let Some(target) = self.target(&host.name) else {
                continue;
            };
            let message = self.message(order, target, left);
            if host.name == self.inner.me.0 {
                return self.take(message).await;
            }
            match self.inner.peers.order(&host.name, message, left).await {
                // The claimer did nothing and cannot; the message is not accepted later.
                Ok(Outcome::NotRun {
                    reason: reason @ (Reason::Stopping | Reason::Stale | Reason::Unreachable),
                    remedy,
                }) => refusal = Outcome::NotRun { reason, remedy },
                Ok(outcome) => return outcome,
                Err(peer::Error::Connect { .. }) => {}
                Err(peer::Error::Broken { .. }) => return broken(),
            }
        }
        refusal
    }

    /// Sends the order to the issuer of its ticket.
    async fn redeem(&self, order: &Submit, ticket: Ticket, deadline: Instant) -> Outcome {
        let left = deadline.saturating_duration_since(Instant::now());
        let message = self.message(order, ticket.incarnation, left);
        if Holder(ticket.host.clone(), ticket.incarnation) == self.inner.me {
            return self.take(message).await;
        }
        // A host that was not heard of yet may be alive, so it is tried.
        let heard = self.inner.peers.incarnation(&ticket.host);
        let roster = self.config();
        let known = roster.hosts.iter().any(|h| h.name == ticket.host);
        if !known || heard.is_some_and(|i| i > ticket.incarnation) {
            return refusal::issuer_gone();
        }
        match self.inner.peers.order(&ticket.host, message, left).await {
            // The host has another incarnation now.
            Ok(Outcome::NotRun {
                reason: Reason::Unreachable,
                remedy,
            }) if remedy == inbox::RESTARTED => refusal::issuer_gone(),
            Ok(outcome) => outcome,
            Err(peer::Error::Connect { .. }) => refusal::issuer_gone(),
            Err(peer::Error::Broken { .. }) => broken(),
        }
    }

    /// Returns the process run of `host`, if it takes orders.
    fn target(&self, host: &host::Name) -> Option<host::Incarnation> {
        let Holder(me, incarnation) = &self.inner.me;
        if host == me {
            return Some(*incarnation);
        }
        let peers = &self.inner.peers;
        peers.incarnation(host).filter(|_| peers.usable(host))
    }

    fn message(&self, order: &Submit, target: host::Incarnation, left: Duration) -> peer::Order {
        let budget_ms = send::budget_ms(left);
        peer::Order {
            id: self.inner.sequence.next(),
            target,
            step: peer::Step::Claim,
            key: order.key.clone(),
            caller: order.caller.clone(),
            collection: order.collection.clone(),
            action: order.action.clone(),
            record: order.record.clone(),
            rank: order.rank,
            budget_ms,
            // Tells the receiver when the message was made; the claimer sets its own limit.
            not_after_ms: self.inner.settings.wall.now_ms() + u64::from(budget_ms),
            trace: order.trace,
        }
    }

    /// Returns what became of the order with `key`; `None` if nobody has heard of it.
    ///
    /// Asks the claimer or the ticket's issuer, then reads the claim log.
    pub async fn outcome(&self, caller: &str, key: &str) -> Option<Outcome> {
        if ticket::looks_like(key) {
            let ticket = Ticket::parse(key)?;
            if Holder(ticket.host.clone(), ticket.incarnation) == self.inner.me {
                return self.local(caller, key);
            }
            let heard = self.inner.peers.incarnation(&ticket.host);
            if heard != Some(ticket.incarnation) {
                return Some(refusal::issuer_gone());
            }
            return match self.ask_host(&ticket.host, caller, key).await {
                Ok(outcome) => outcome,
                Err(()) => Some(refusal::issuer_gone()),
            };
        }
        key::parse(key).ok()?;
        if let Some(outcome) = self.ask_claimer(caller, key).await {
            return Some(outcome);
        }
        self.read_log(caller, key).await
    }

    /// Asks the hosts that claim the key; their answer counts only if the order ran.
    async fn ask_claimer(&self, caller: &str, key: &str) -> Option<Outcome> {
        let ran = |o: &Outcome| matches!(o, Outcome::Done { .. } | Outcome::AlreadyDone { .. });
        if let Some(outcome) = self.local(caller, key).filter(ran) {
            return Some(outcome);
        }
        let config = self.config();
        let partition = Identity::new(caller, key).partition();
        let claimers = roster::claimers(&config.hosts, partition);
        let host = claimers
            .into_iter()
            .find(|h| self.target(&h.name).is_some())?;
        if host.name == self.inner.me.0 {
            return None;
        }
        let answer = self.ask_host(&host.name, caller, key).await;
        answer.ok().flatten().filter(ran)
    }

    async fn ask_host(
        &self,
        host: &host::Name,
        caller: &str,
        key: &str,
    ) -> Result<Option<Outcome>, ()> {
        let answer = self.inner.peers.outcome(host, caller, key);
        match tokio::time::timeout(ASK, answer).await {
            Ok(Ok(outcome)) => Ok(outcome),
            _ => Err(()),
        }
    }

    /// Reads the outcome from the claim log, and asks the claim's holder if it has none.
    async fn read_log(&self, caller: &str, key: &str) -> Option<Outcome> {
        let id = Identity::new(caller, key);
        let reader = &self.inner.readers[usize::from(id.partition())];
        let Ok(found) = Reader::find(reader, id).await else {
            return Some(refusal::unknown(
                "the platform's store does not answer; ask again later",
            ));
        };
        let (state, Holder(host, incarnation)) = found?;
        if state != State::Open || self.inner.peers.incarnation(&host) != Some(incarnation) {
            return Some(recorded(state));
        }
        let answer = self.ask_host(&host, caller, key).await;
        Some(answer.ok().flatten().unwrap_or_else(refusal::in_progress))
    }
}

/// The connection to the claimer broke after the order was forwarded.
fn broken() -> Outcome {
    refusal::unknown(
        "the connection to the host that claims the order broke; ask GET /v1/orders/<key> for its \
         outcome, or send it again with the same key",
    )
}
