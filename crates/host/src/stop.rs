//! A planned stop: drives the phases and finishes what is in flight.

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

/// How often the work in flight is looked at while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts requests, and sub-queries and orders of other hosts, that are not answered yet.
#[derive(Clone, Debug, Default)]
pub struct InFlight(TaskTracker);

impl InFlight {
    /// Counts one more until the guard is dropped.
    pub fn track(&self) -> TaskTrackerToken {
        self.0.token()
    }

    /// Returns how many are not answered.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Tells whether all are answered.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The ends of a stop that other parts hold.
#[derive(Clone, Debug)]
pub struct Handle {
    /// How far the stop is.
    pub phase: watch::Receiver<Phase>,
    /// Cancelled when work in flight is no longer waited for.
    pub forced: CancellationToken,
    /// What is in flight.
    pub in_flight: InFlight,
}

/// The end of a stop that drives it.
#[derive(Debug)]
pub struct Driver {
    phase: watch::Sender<Phase>,
    forced: CancellationToken,
    in_flight: InFlight,
}

/// Returns both ends of a stop.
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
    /// Takes the host through all phases; `again` is a second signal.
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
            let wake = stop.wake().map_or(next_poll, |wake| match phase {
                Phase::Draining => wake.min(next_poll),
                Phase::Ready | Phase::LameDuck | Phase::Done => wake,
            });
            tokio::select! {
                () = time::sleep_until(wake) => {}
                () = &mut second_signal, if !stop.forced() => stop.signal(Instant::now()),
            }
        }
        if stop.forced() {
            let remaining = self.in_flight.len();
            log::warn!("{remaining} requests in flight are answered as unknown; allow a longer stop");
            self.forced.cancel();
        }
    }
}
