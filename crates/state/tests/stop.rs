//! The graceful stop of a host.

use std::time::Duration;

use rattanmast_state::stop::{Limits, Phase, Stop};
use tokio::time::Instant;

const LIMITS: Limits = Limits {
    lame_duck: Duration::from_secs(5),
    max_duration: Duration::from_secs(30),
};

fn at(began: Instant, seconds: u64) -> Instant {
    began + Duration::from_secs(seconds)
}

/// Guards against refusing requests that the load balancer still sends.
#[test]
fn lame_duck_accepts_new_requests() {
    let began = Instant::now();
    let mut stop = Stop::new(LIMITS);
    assert!(stop.is_ready() && stop.accepts_requests());
    stop.signal(began);
    assert_eq!(stop.step(at(began, 4), 0), Phase::LameDuck);
    assert!(!stop.is_ready() && stop.accepts_requests());
    assert_eq!(stop.next_step_at(), Some(at(began, 5)));
}

/// Guards against an exit that aborts requests in flight.
#[test]
fn draining_waits_for_work_in_flight() {
    let began = Instant::now();
    let mut stop = Stop::new(LIMITS);
    stop.signal(began);
    assert_eq!(stop.step(at(began, 5), 2), Phase::Draining);
    assert!(!stop.accepts_requests());
    assert_eq!(stop.step(at(began, 20), 1), Phase::Draining);
    assert_eq!(stop.step(at(began, 21), 0), Phase::Done);
    assert!(!stop.was_forced());
}

/// Guards against a stop that never ends because one request hangs.
#[test]
fn longest_stop_ends_the_wait() {
    let began = Instant::now();
    let mut stop = Stop::new(LIMITS);
    stop.signal(began);
    assert_eq!(stop.step(at(began, 29), 1), Phase::Draining);
    assert_eq!(stop.step(at(began, 30), 1), Phase::Done);
    assert!(stop.was_forced());
}

/// Guards against a stop that an operator can't force.
#[test]
fn second_signal_ends_the_wait() {
    let began = Instant::now();
    let mut stop = Stop::new(LIMITS);
    stop.signal(began);
    stop.signal(at(began, 1));
    assert_eq!(stop.step(at(began, 1), 3), Phase::Done);
    assert!(stop.was_forced());
}
