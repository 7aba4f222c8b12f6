//! Leases: the right to send one request to one leaf.

use std::sync::Arc;

use rattanmast_model::{
    leaf::{self, Connector},
    rank::Rank,
};
use tokio::time::Instant;

use crate::{
    lanes::Lanes as _, limit::Limit as _, policy::Policy, service::Service, state::Reservation,
};

/// What happens to the connection after a request.
pub(crate) enum Disposition<L> {
    /// It is reused.
    Keep(L),
    /// It must be closed, and counts against the share until the leaf is known to have closed it.
    Close(L),
    /// It has ended already.
    Ended(L),
    /// It is silent, so the leaf may not notice that it is closed.
    Silent(L),
}

/// What a request revealed about the leaf.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Observation {
    /// It replied.
    Reply(leaf::Load),
    /// It shed the request.
    Shed(leaf::Load),
    /// It refused the request for a reason that is unrelated to its load.
    Refused(leaf::Load),
    /// The request failed, or the connection broke.
    Failure,
    /// The request was given up, or ended at its deadline.
    Inconclusive,
    /// The connection had ended before the request was sent.
    Unsent,
}

/// The right to send one request to one leaf; dropping an unused lease releases its connection.
pub(crate) struct Lease<C: Connector, P: Policy> {
    pub(crate) service: Arc<Service<C, P>>,
    pub(crate) replica: usize,
    pub(crate) rank: Rank,
    connection: Option<C::Connection>,
    in_flight: u32,
    charged_secs: f64,
    sent_at: Option<Instant>,
    finished: bool,
}

impl<C: Connector, P: Policy> Lease<C, P> {
    pub(crate) fn new(
        service: &Arc<Service<C, P>>,
        rank: Rank,
        reservation: Reservation<C::Connection>,
    ) -> Self {
        Self {
            service: Arc::clone(service),
            replica: reservation.replica,
            rank,
            connection: Some(reservation.connection),
            in_flight: reservation.in_flight,
            charged_secs: reservation.charged_secs,
            sent_at: None,
            finished: false,
        }
    }

    /// Records that the request is sent now, and returns its connection.
    pub(crate) fn send(&mut self) -> Option<C::Connection> {
        let now = Instant::now();
        self.sent_at = Some(now);
        self.service.lock().replicas[self.replica]
            .sent_times
            .push(now);
        self.service.shared.counters.sent.add(1);
        self.connection.take()
    }

    /// Records what the request revealed, disposes of the connection and serves the queue.
    pub(crate) fn finish(
        mut self,
        disposition: Disposition<C::Connection>,
        observation: Observation,
    ) {
        self.finished = true;
        let now = Instant::now();
        self.record(observation, now);
        let service = &self.service;
        match disposition {
            Disposition::Keep(connection) => service.release(self.replica, connection, true, now),
            Disposition::Close(connection) => service.close(self.replica, connection, false),
            Disposition::Silent(connection) => service.close_silent(self.replica, connection),
            Disposition::Ended(connection) => {
                drop(connection);
                service.lock().replicas[self.replica].pool.record_gone();
            }
        }
        service.schedule();
    }

    /// Records what an answer said about the requests that the leaf takes.
    pub(crate) fn record_terms(&self, terms: leaf::Terms) {
        self.service.record_terms(self.replica, terms);
    }

    fn record(&self, observation: Observation, now: Instant) {
        let sent = self.sent_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(sent);
        let counters = &self.service.shared.counters;
        let us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        counters.slot_us[self.rank.index()].add(us);
        let mut state = self.service.lock();
        let state = &mut *state;
        let replied = matches!(observation, Observation::Reply(_));
        state
            .usage
            .record(self.rank, elapsed.as_secs_f64(), replied, now);
        state
            .lanes
            .charge(self.rank, elapsed.as_secs_f64() - self.charged_secs);
        let min_processing_secs = state.min_processing_secs();
        let replica = &mut state.replicas[self.replica];
        replica.finish_request(self.sent_at);
        match observation {
            Observation::Reply(load) => {
                replica.record_load(load, now);
                let prior_secs = min_processing_secs + replica.round_trip_secs();
                replica.latency.record(self.rank, elapsed, prior_secs, now);
                let round_trip = replica.record_round_trip(elapsed);
                self.service
                    .processing_times()
                    .record(self.rank, elapsed.saturating_sub(round_trip));
                replica.limit.record_reply(elapsed, self.in_flight);
                replica.health.record_success(now);
                replica.record_answered(sent);
            }
            Observation::Shed(load) => {
                counters.sheds.add(1);
                replica.record_load(load, now);
                replica.limit.record_shed(now);
                replica.health.record_shed(now);
                replica.record_answered(sent);
            }
            Observation::Refused(load) => {
                replica.record_load(load, now);
                replica.record_answered(sent);
            }
            Observation::Failure => {
                counters.errors.add(1);
                replica.record_failure(now, &mut state.rng);
            }
            Observation::Inconclusive => {
                let prior_secs = min_processing_secs + replica.round_trip_secs();
                replica
                    .latency
                    .record_unfinished(self.rank, elapsed, prior_secs, now);
            }
            Observation::Unsent => {}
        }
    }
}

impl<C: Connector, P: Policy> Drop for Lease<C, P> {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let now = Instant::now();
        {
            let mut state = self.service.lock();
            state.lanes.charge(self.rank, -self.charged_secs);
            state.replicas[self.replica].finish_request(self.sent_at);
        }
        match self.connection.take() {
            Some(connection) => self.service.release(self.replica, connection, false, now),
            // The task of the request was stopped; when the connection closes is not known.
            None => self.service.abandon(self.replica),
        }
        self.service.schedule();
    }
}
