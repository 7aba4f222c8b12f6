//! A host's planned stop.
//!
//! The host binary reports signals and the work in flight, and does what the phase demands:
//! in [`Phase::LameDuck`] readiness is off but new requests are accepted, because the balancer
//! still sends some; in [`Phase::Draining`] new requests are refused as not run; in
//! [`Phase::Done`] what is still in flight is answered truthfully before the exit.

use std::time::Duration;

use tokio::time::Instant;

/// Where a host is in its stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It was not asked to stop.
    Ready,
    /// It waits for the balancer to notice.
    LameDuck,
    /// It finishes what is in flight.
    Draining,
    /// It exits.
    Done,
}

/// How long a stop may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time that the balancer is given to notice.
    pub lame_duck: Duration,
    /// Time from the first signal to the exit at the latest.
    pub longest: Duration,
}

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    limits: Limits,
    phase: Phase,
    began: Option<Instant>,
    forced: bool,
}

impl Stop {
    /// Returns the stop of a host that was not asked to stop yet.
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            phase: Phase::Ready,
            began: None,
            forced: false,
        }
    }

    /// Notes a signal to stop; the second one ends the wait.
    pub fn signal(&mut self, now: Instant) {
        match self.phase {
            Phase::Ready => {
                self.began = Some(now);
                self.phase = Phase::LameDuck;
            }
            Phase::LameDuck | Phase::Draining => {
                self.forced = true;
                self.phase = Phase::Done;
            }
            Phase::Done => {}
        }
    }

    /// Advances to `now`, with `in_flight` requests and sub-queries for others not yet answered.
    pub fn step(&mut self, now: Instant, in_flight: usize) -> Phase {
        let Some(began) = self.began else {
            return self.phase;
        };
        let since = now.duration_since(began);
        if self.phase == Phase::LameDuck && since >= self.limits.lame_duck {
            self.phase = Phase::Draining;
        }
        if self.phase == Phase::Draining && in_flight == 0 {
            self.phase = Phase::Done;
        }
        if self.phase != Phase::Done && since >= self.limits.longest {
            self.forced = in_flight > 0;
            self.phase = Phase::Done;
        }
        self.phase
    }

    /// Returns when [`Stop::step`] has to be called at the latest.
    pub fn wake(&self) -> Option<Instant> {
        let wait = match self.phase {
            Phase::Ready | Phase::Done => return None,
            Phase::LameDuck => self.limits.lame_duck.min(self.limits.longest),
            Phase::Draining => self.limits.longest,
        };
        self.began.map(|began| began + wait)
    }

    /// Tells whether `GET /readyz` succeeds, as far as the stop is concerned.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Tells whether new requests are accepted.
    pub fn accepts(&self) -> bool {
        self.phase <= Phase::LameDuck
    }

    /// Tells whether work in flight was not waited for.
    pub fn forced(&self) -> bool {
        self.forced
    }
}
