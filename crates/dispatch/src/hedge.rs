//! Decides when to hedge a request, within a budget.

use rattanmast_model::rank::Rank;

use crate::latency::Quantile;

/// The hedge budget of one host for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Hedges earned by each first attempt.
    pub share: f64,
    /// Maximum number of hedges saved up, and so the largest burst of hedges.
    pub burst: f64,
    /// Hedges saved up at the start of a process.
    pub start: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            share: 0.05,
            burst: 10.0,
            start: 0.0,
        }
    }
}

/// Number of parts of the whole query that are not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenParts {
    /// At the time the message was sent.
    pub start: u32,
    /// At present, as far as the dispatcher knows.
    pub now: u32,
}

/// Decides when to hedge.
pub trait Hedge: Send + 'static {
    /// Returns the initial state for one service with the given budget.
    fn new(budget: Budget) -> Self;
    /// Sets the budget; hedges saved up beyond its burst are lost.
    fn set_budget(&mut self, budget: Budget);
    /// Credits the budget for a first attempt of a request of `rank`.
    fn earn(&mut self, rank: Rank);
    /// Returns the latency quantile after which to hedge; `None` to never hedge.
    fn quantile(&self, rank: Rank, open: OpenParts) -> Option<Quantile>;
    /// Spends one hedge; returns whether the budget allowed it.
    fn spend(&mut self, rank: Rank) -> bool;
    /// Returns a hedge that was not sent to the budget.
    fn refund(&mut self);
    /// Returns the number of hedges saved up.
    fn credit(&self) -> f64;
}

/// Share of the budget's burst that is reserved for more urgent ranks if all recent first attempts
/// are theirs.
const MAX_SHARE_FOR_MORE_URGENT: f64 = 0.4;

/// Weight of one first attempt in the moving averages of the rank shares.
const RANK_SHARE_WEIGHT: f64 = 0.02;

/// Hedges after a latency quantile that depends on the budget left.
#[derive(Debug)]
pub struct Budgeted {
    budget: Budget,
    credit: f64,
    /// Share of each rank in recent first attempts.
    shares: [f64; 3],
}

impl Hedge for Budgeted {
    fn new(budget: Budget) -> Self {
        Self {
            budget,
            credit: budget.start,
            shares: [0.0; 3],
        }
    }

    fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
        self.credit = self.credit.min(budget.burst);
    }

    fn earn(&mut self, rank: Rank) {
        self.credit = (self.credit + self.budget.share).min(self.budget.burst);
        for (index, share) in self.shares.iter_mut().enumerate() {
            let seen = f64::from(u8::from(index == rank.index()));
            *share += RANK_SHARE_WEIGHT * (seen - *share);
        }
    }

    /// Keeps a scarce budget for the slowest requests and hedges earlier while it is ample, above
    /// all for urgent work and when the whole query waits for its last parts.
    fn quantile(&self, rank: Rank, open: OpenParts) -> Option<Quantile> {
        let few_parts_left = open.start > 1 && open.now * 4 <= open.start;
        let prioritized = rank == Rank::Urgent || few_parts_left;
        Some(match self.credit / self.budget.burst {
            c if c > 0.5 && prioritized => Quantile::P90,
            c if c > 0.5 || (c > 0.2 && prioritized) => Quantile::P95,
            c if c > 0.2 || prioritized => Quantile::P97,
            _ => Quantile::P99,
        })
    }

    /// Reserves the last part of the budget for more urgent work, in proportion to that
    /// work's share of recent first attempts.
    fn spend(&mut self, rank: Rank) -> bool {
        let more_urgent: f64 = self.shares[..rank.index()].iter().sum();
        let reserved = MAX_SHARE_FOR_MORE_URGENT * more_urgent * self.budget.burst;
        let affordable = self.credit >= 1.0 + reserved;
        if affordable {
            self.credit -= 1.0;
        }
        affordable
    }

    fn refund(&mut self) {
        self.credit = (self.credit + 1.0).min(self.budget.burst);
    }

    fn credit(&self) -> f64 {
        self.credit
    }
}

/// Never hedges.
#[derive(Debug)]
pub struct Never;

impl Hedge for Never {
    fn new(_budget: Budget) -> Self {
        Self
    }

    fn set_budget(&mut self, _budget: Budget) {}

    fn earn(&mut self, _rank: Rank) {}

    fn quantile(&self, _rank: Rank, _open: OpenParts) -> Option<Quantile> {
        None
    }

    fn spend(&mut self, _rank: Rank) -> bool {
        false
    }

    fn refund(&mut self) {}

    fn credit(&self) -> f64 {
        0.0
    }
}
