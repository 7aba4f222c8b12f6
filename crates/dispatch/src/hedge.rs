//! When a second request is sent for the same search.

use rattanmast_model::rank::Rank;

use crate::latency::Quantile;

/// How many second requests one host may send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Second requests per first try.
    pub share: f64,
    /// The most second requests that are saved up; a burst of slowness gets no more.
    pub burst: f64,
    /// What a new process has saved up.
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

/// Parts of the whole query that are still open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenParts {
    /// When the message was sent.
    pub start: u32,
    /// Now, as far as the dispatcher knows.
    pub now: u32,
}

/// Decides when to hedge.
pub trait Hedge: Send + 'static {
    /// Returns the rule for one service.
    fn new(budget: Budget) -> Self;
    /// Takes a new budget.
    fn set_budget(&mut self, budget: Budget);
    /// Counts a first try of a request of `rank`.
    fn earn(&mut self, rank: Rank);
    /// Returns the learned quantile after which to hedge; `None` means not at all.
    fn quantile(&self, rank: Rank, open: OpenParts) -> Option<Quantile>;
    /// Takes one hedge out of the budget, if there is one.
    fn spend(&mut self, rank: Rank) -> bool;
    /// Puts back a hedge that was not sent.
    fn refund(&mut self);
    /// Returns how many hedges are saved up.
    fn credit(&self) -> f64;
}

/// The share of the budget that is left to more urgent ranks, if all first tries are theirs.
const RESERVED_SHARE: f64 = 0.4;

/// The weight of one first try in the shares of the ranks.
const RANK_SHARE_WEIGHT: f64 = 0.02;

/// Hedges on evidence, within a budget.
#[derive(Debug)]
pub struct Budgeted {
    budget: Budget,
    credit: f64,
    /// The share of each rank in recent first tries.
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

    /// A scarce budget is kept for the slowest requests, an ample one is used earlier, most of
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

    /// The last part of the budget is left to more urgent work, as far as there is any.
    fn spend(&mut self, rank: Rank) -> bool {
        let more_urgent: f64 = self.shares[..rank.index()].iter().sum();
        let reserved = RESERVED_SHARE * more_urgent * self.budget.burst;
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
