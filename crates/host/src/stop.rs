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
const LOOK: Duration = Duration::from_millis(10);

/// Counts requests, and sub-queries and orders of other hosts, that are not answered yet.
#[derive(Clone, Debug, Default)]
pub struct Flight(TaskTracker);

impl Flight {
    /// Counts one more until the guard is dropped.
    pub fn enter(&self) -> TaskTrackerToken {
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
pub struct Signs {
    /// How far the stop is.
    pub phase: watch::Receiver<Phase>,
    /// Cancelled when work in flight is no longer waited for.
    pub forced: CancellationToken,
    /// What is in flight.
    pub flight: Flight,
}

/// The end of a stop that drives it.
#[derive(Debug)]
pub struct Driver {
    phase: watch::Sender<Phase>,
    forced: CancellationToken,
    flight: Flight,
}

/// Returns both ends of a stop.
pub fn signs() -> (Driver, Signs) {
    let (phase, phases) = watch::channel(Phase::Ready);
    let (forced, flight) = (CancellationToken::new(), Flight::default());
    let signs = Signs {
        phase: phases,
        forced: forced.clone(),
        flight: flight.clone(),
    };
    let driver = Driver {
        phase,
        forced,
        flight,
    };
    (driver, signs)
}

impl Driver {
    /// Takes the host through all phases; `again` is a second signal.
    pub async fn run(&self, limits: Limits, again: impl Future<Output = ()>) {
        let mut stop = Stop::new(limits);
        stop.signal(Instant::now());
        let mut again = std::pin::pin!(again);
        loop {
            let phase = stop.step(Instant::now(), self.flight.len());
            self.phase.send_replace(phase);
            if phase == Phase::Done {
                break;
            }
            let look = Instant::now() + LOOK;
            let wake = stop.wake().map_or(look, |wake| match phase {
                Phase::Draining => wake.min(look),
                Phase::Ready | Phase::LameDuck | Phase::Done => wake,
            });
            tokio::select! {
                () = time::sleep_until(wake) => {}
                () = &mut again, if !stop.forced() => stop.signal(Instant::now()),
            }
        }
        if stop.forced() {
            let left = self.flight.len();
            log::warn!("{left} requests in flight are answered as unknown; allow a longer stop");
            self.forced.cancel();
        }
    }
}
