//! The decisions that measurements compare, and their plain baselines.

use crate::{choice, hedge, lanes, limit};

/// A set of decision rules.
pub trait Policy: Send + Sync + 'static {
    /// Which replica gets a request.
    type Choice: choice::Choice;
    /// When a second request is sent.
    type Hedge: hedge::Hedge;
    /// How many requests a leaf gets at a time.
    type Limit: limit::Limit;
    /// In which order waiting requests are served.
    type Lanes: lanes::Lanes;
}

/// The rules that are in use.
#[derive(Debug)]
pub struct Adaptive;

impl Policy for Adaptive {
    type Choice = choice::Learned;
    type Hedge = hedge::Evidence;
    type Limit = limit::Gradient;
    type Lanes = lanes::Ranked;
}

/// The plain baselines: random replica, no hedge, fixed limit, first in, first out, no floors.
#[derive(Debug)]
pub struct Plain;

impl Policy for Plain {
    type Choice = choice::Random;
    type Hedge = hedge::Never;
    type Limit = limit::Fixed;
    type Lanes = lanes::Fifo;
}
