//! The state machine for the graceful stop of a host.
//!
//! The host binary reports signals and the number of requests in flight, and acts on the phase:
//! in [`Phase::LameDuck`], the readiness check fails but new requests are accepted, because the
//! load balancer still sends some; in [`Phase::Draining`], new requests are refused as not run;
//! in [`Phase::Done`], requests that are still in flight are answered as unknown before the exit.

use std::time::Duration;

use tokio::time::Instant;

/// The phases of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The host was not asked to stop.
    Ready,
    /// The host waits until the load balancer stops sending requests.
    LameDuck,
    /// The host finishes the requests in flight.
    Draining,
    /// The host exits.
    Done,
}

/// The time limits of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Duration of the lame-duck phase.
    pub lame_duck: Duration,
    /// Maximum time from the first signal to the exit.
    pub max_duration: Duration,
}

/// The progress of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    limits: Limits,
    phase: Phase,
    started_at: Option<Instant>,
    forced: bool,
}

impl Stop {
    /// Creates the state of a host that was not asked to stop.
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            phase: Phase::Ready,
            started_at: None,
            forced: false,
        }
    }

    /// Handles a stop signal; a second signal ends the stop immediately.
    pub fn signal(&mut self, now: Instant) {
        match self.phase {
            Phase::Ready => {
                self.started_at = Some(now);
                self.phase = Phase::LameDuck;
            }
            Phase::LameDuck | Phase::Draining => {
                self.forced = true;
                self.phase = Phase::Done;
            }
            Phase::Done => {}
        }
    }

    /// Advances to `now` with `in_flight` unanswered requests and sub-queries; returns the phase.
    pub fn step(&mut self, now: Instant, in_flight: usize) -> Phase {
        let Some(started_at) = self.started_at else {
            return self.phase;
        };
        let since = now.duration_since(started_at);
        if self.phase == Phase::LameDuck && since >= self.limits.lame_duck {
            self.phase = Phase::Draining;
        }
        if self.phase == Phase::Draining && in_flight == 0 {
            self.phase = Phase::Done;
        }
        if self.phase != Phase::Done && since >= self.limits.max_duration {
            self.forced = in_flight > 0;
            self.phase = Phase::Done;
        }
        self.phase
    }

    /// Returns the latest time at which [`Stop::step`] has to be called.
    pub fn next_step_at(&self) -> Option<Instant> {
        let wait = match self.phase {
            Phase::Ready | Phase::Done => return None,
            Phase::LameDuck => self.limits.lame_duck.min(self.limits.max_duration),
            Phase::Draining => self.limits.max_duration,
        };
        self.started_at.map(|started_at| started_at + wait)
    }

    /// Returns whether `GET /readyz` may succeed, as far as the stop is concerned.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns whether new requests are accepted.
    pub fn accepts_requests(&self) -> bool {
        self.phase <= Phase::LameDuck
    }

    /// Returns whether the stop did not wait for all requests in flight.
    pub fn was_forced(&self) -> bool {
        self.forced
    }
}
