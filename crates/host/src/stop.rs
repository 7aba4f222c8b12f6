//! Graceful shutdown: drives the phases of a stop and drains requests in flight.

use std::{future::Future, time::Duration};

use rattanmast_state::stop::{Limits, Phase, Stop};
use tokio::{
    sync::watch,
    time::{self, Instant},
};
use tokio_util::{
    sync::CancellationToken,
    task::task_tracker::{TaskTracker, TaskTrackerToken},
};

/// Interval between checks of the requests in flight while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts requests of callers, and sub-queries and orders of other hosts, that are in flight.
#[derive(Clone, Debug, Default)]
pub struct InFlight(TaskTracker);

impl InFlight {
    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track(&self) -> TaskTrackerToken {
        self.0.token()
    }

    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Observes a stop; held by the servers and roles.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The current phase of the stop.
    pub phase: watch::Receiver<Phase>,
    /// Cancelled when the stop no longer waits for requests in flight.
    pub forced: CancellationToken,
    /// Counts the requests in flight.
    pub in_flight: InFlight,
}

/// Drives a stop through its phases.
#[derive(Debug)]
pub struct Driver {
    phase: watch::Sender<Phase>,
    forced: CancellationToken,
    in_flight: InFlight,
}

/// Creates a driver and the handle that observes it.
pub fn channel() -> (Driver, Handle) {
    let (phase, phase_receiver) = watch::channel(Phase::Ready);
    let (forced, in_flight) = (CancellationToken::new(), InFlight::default());
    let handle = Handle {
        phase: phase_receiver,
        forced: forced.clone(),
        in_flight: in_flight.clone(),
    };
    let driver = Driver {
        phase,
        forced,
        in_flight,
    };
    (driver, handle)
}

impl Driver {
    /// Runs all phases of the stop; `second_signal` ends the wait for requests in flight.
    pub async fn run(&self, limits: Limits, second_signal: impl Future<Output = ()>) {
        let mut stop = Stop::new(limits);
        stop.signal(Instant::now());
        let mut second_signal = std::pin::pin!(second_signal);
        loop {
            let phase = stop.step(Instant::now(), self.in_flight.len());
            self.phase.send_replace(phase);
            if phase == Phase::Done {
                break;
            }
            let next_poll = Instant::now() + DRAIN_POLL_INTERVAL;
            let wake = stop.next_step_at().map_or(next_poll, |wake| match phase {
                Phase::Draining => wake.min(next_poll),
                Phase::Ready | Phase::LameDuck | Phase::Done => wake,
            });
            tokio::select! {
                () = time::sleep_until(wake) => {}
                () = &mut second_signal, if !stop.was_forced() => stop.signal(Instant::now()),
            }
        }
        if stop.was_forced() {
            let remaining = self.in_flight.len();
            log::warn!(
                "stop ended early with {remaining} requests in flight, which are answered as unknown; \
                 avoid a second signal or raise --longest-stop-ms"
            );
            self.forced.cancel();
        }
    }
}
