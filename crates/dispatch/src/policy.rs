//! Sets of dispatch policies: the one in use, and a baseline for measurements.

use crate::{choice, hedge, lanes, limit};

/// A set of dispatch policies.
pub trait Policy: Send + Sync + 'static {
    /// Chooses the replica for a request.
    type Choice: choice::Choice;
    /// Decides when to hedge.
    type Hedge: hedge::Hedge;
    /// Limits the requests in flight at a leaf.
    type Limit: limit::Limit;
    /// Orders queued requests.
    type Lanes: lanes::Lanes;
}

/// The policies in production use.
#[derive(Debug)]
pub struct Adaptive;

impl Policy for Adaptive {
    type Choice = choice::LeastLatency;
    type Hedge = hedge::Budgeted;
    type Limit = limit::Gradient;
    type Lanes = lanes::Ranked;
}

/// The baseline: random replica, no hedges, fixed limit, one FIFO queue without floors.
#[derive(Debug)]
pub struct Baseline;

impl Policy for Baseline {
    type Choice = choice::Random;
    type Hedge = hedge::Never;
    type Limit = limit::Fixed;
    type Lanes = lanes::Fifo;
}
