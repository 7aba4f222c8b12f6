//! The root's part: accepts orders from callers, forwards them, and looks up outcomes.

use std::time::Duration;

use rattanmast_model::{
    dedup, host,
    outcome::{Outcome, Reason},
    peer::{self, Peers},
    roster,
    store::Store,
};
use smol_str::ToSmolStr;
use tokio::time::Instant;

use crate::{
    key::{self, Identity},
    orders::{OUTCOME_QUERY_TIMEOUT, Orders, Request, recorded_outcome},
    reader::Reader,
    record::{Holder, State},
    refusal, send,
    ticket::{self, Ticket},
};

impl<S: Store, P: Peers> Orders<S, P> {
    /// Processes an order of a caller and returns its outcome.
    pub async fn submit(&self, order: Request) -> Outcome {
        if let Err(refusal) = self.check_accepting() {
            return refusal;
        }
        if self.config().collection(&order.collection).is_none() {
            return refusal::not_run(
                Reason::Invalid,
                "the collection does not exist; see rattanmast-ctl status for their names",
            );
        }
        let deadline = Instant::now() + order.timeout;
        if ticket::is_ticket(&order.key) {
            return match Ticket::parse(&order.key) {
                Some(ticket) => self.redeem(&order, ticket, deadline).await,
                None => refusal::invalid_ticket(),
            };
        }
        match key::parse(&order.key) {
            Ok(_) => self.forward_to_claimer(&order, deadline).await,
            Err(error) => refusal::not_run(Reason::Key, &error.to_smolstr()),
        }
    }

    /// Forwards the order to a claimer of its key's partition.
    async fn forward_to_claimer(&self, order: &Request, deadline: Instant) -> Outcome {
        let config = self.config();
        let id = Identity::new(&order.caller, &order.key);
        let mut refusal = refusal::not_run(
            Reason::Unreachable,
            "no host that claims keys is reachable; send it again with the same key",
        );
        for host in roster::claimers(&config.hosts, id.partition()) {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return refusal::late();
            }
            let Some(target) = self.target_incarnation(&host.name) else {
                continue;
            };
            let message = self.forwarded_message(order, target, remaining);
            if host.name == self.inner.own_process.0 {
                return self.process(message).await;
            }
            match self.inner.peers.order(&host.name, message, remaining).await {
                // The claimer did nothing and will not accept a copy of the message later,
                // so the next one may be tried.
                Ok(Outcome::NotRun {
                    reason: reason @ (Reason::Stopping | Reason::Stale | Reason::Unreachable),
                    remedy,
                }) => refusal = Outcome::NotRun { reason, remedy },
                Ok(outcome) => return outcome,
                Err(peer::Error::Connect { .. }) => {}
                Err(peer::Error::Broken { .. }) => return connection_broken(),
            }
        }
        refusal
    }

    /// Forwards the order to the issuer of its ticket.
    async fn redeem(&self, order: &Request, ticket: Ticket, deadline: Instant) -> Outcome {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let message = self.forwarded_message(order, ticket.incarnation, remaining);
        if Holder(ticket.host.clone(), ticket.incarnation) == self.inner.own_process {
            return self.process(message).await;
        }
        // A host whose incarnation is not known yet may be alive, so it is tried.
        let known_incarnation = self.inner.peers.incarnation(&ticket.host);
        let config = self.config();
        let is_listed = config.hosts.iter().any(|h| h.name == ticket.host);
        if !is_listed || known_incarnation.is_some_and(|i| i > ticket.incarnation) {
            return refusal::ticket_issuer_gone();
        }
        match self
            .inner
            .peers
            .order(&ticket.host, message, remaining)
            .await
        {
            // The host has restarted since it issued the ticket.
            Ok(Outcome::NotRun {
                reason: Reason::Unreachable,
                remedy,
            }) if remedy == dedup::RECEIVER_RESTARTED_REMEDY => refusal::ticket_issuer_gone(),
            Ok(outcome) => outcome,
            Err(peer::Error::Connect { .. }) => refusal::ticket_issuer_gone(),
            Err(peer::Error::Broken { .. }) => connection_broken(),
        }
    }

    /// Returns the incarnation of `host`, if the host is usable.
    fn target_incarnation(&self, host: &host::Name) -> Option<host::Incarnation> {
        let Holder(own_host, incarnation) = &self.inner.own_process;
        if host == own_host {
            return Some(*incarnation);
        }
        let peers = &self.inner.peers;
        peers.incarnation(host).filter(|_| peers.is_usable(host))
    }

    fn forwarded_message(
        &self,
        order: &Request,
        target: host::Incarnation,
        remaining: Duration,
    ) -> peer::Order {
        let budget_ms = send::budget_ms(remaining);
        peer::Order {
            id: self.inner.request_ids.next(),
            target,
            step: peer::Step::Claim,
            key: order.key.clone(),
            caller: order.caller.clone(),
            collection: order.collection.clone(),
            action: order.action.clone(),
            record: order.record.clone(),
            rank: order.rank,
            budget_ms,
            // Lets the receiver derive the age of the message; the claimer computes its
            // own limit for the dispatcher.
            not_after_ms: self.inner.settings.wall.now_ms() + u64::from(budget_ms),
            trace: order.trace,
        }
    }

    /// Returns the outcome of the order with `key`; `None` if the order is not known.
    ///
    /// Asks the claimer or the ticket's issuer, then reads the claim log.
    pub async fn outcome(&self, caller: &str, key: &str) -> Option<Outcome> {
        if ticket::is_ticket(key) {
            let ticket = Ticket::parse(key)?;
            if Holder(ticket.host.clone(), ticket.incarnation) == self.inner.own_process {
                return self.local_outcome(caller, key);
            }
            let known_incarnation = self.inner.peers.incarnation(&ticket.host);
            if known_incarnation != Some(ticket.incarnation) {
                return Some(refusal::ticket_issuer_gone());
            }
            return match self.query_host(&ticket.host, caller, key).await {
                Ok(outcome) => outcome,
                Err(()) => Some(refusal::ticket_issuer_gone()),
            };
        }
        key::parse(key).ok()?;
        if let Some(outcome) = self.query_claimer(caller, key).await {
            return Some(outcome);
        }
        self.read_log(caller, key).await
    }

    /// Asks the claimer of the key; its answer is used only if the order ran.
    async fn query_claimer(&self, caller: &str, key: &str) -> Option<Outcome> {
        let has_run = |o: &Outcome| matches!(o, Outcome::Done { .. } | Outcome::AlreadyDone { .. });
        if let Some(outcome) = self.local_outcome(caller, key).filter(has_run) {
            return Some(outcome);
        }
        let config = self.config();
        let partition = Identity::new(caller, key).partition();
        let claimers = roster::claimers(&config.hosts, partition);
        let host = claimers
            .into_iter()
            .find(|h| self.target_incarnation(&h.name).is_some())?;
        if host.name == self.inner.own_process.0 {
            return None;
        }
        let answer = self.query_host(&host.name, caller, key).await;
        answer.ok().flatten().filter(has_run)
    }

    async fn query_host(
        &self,
        host: &host::Name,
        caller: &str,
        key: &str,
    ) -> Result<Option<Outcome>, ()> {
        let query = self.inner.peers.outcome(host, caller, key);
        match tokio::time::timeout(OUTCOME_QUERY_TIMEOUT, query).await {
            Ok(Ok(outcome)) => Ok(outcome),
            _ => Err(()),
        }
    }

    /// Reads the outcome from the claim log, and asks the claim's holder if none is recorded.
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
            return Some(recorded_outcome(state));
        }
        let answer = self.query_host(&host, caller, key).await;
        Some(answer.ok().flatten().unwrap_or_else(refusal::in_progress))
    }
}

/// Returns the outcome of an order whose connection to the claimer broke after it was forwarded.
fn connection_broken() -> Outcome {
    refusal::unknown(
        "the connection to the host that claims the order broke; ask GET /v1/orders/<key> for its \
         outcome, or send it again with the same key",
    )
}
