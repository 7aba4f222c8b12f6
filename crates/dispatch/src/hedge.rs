//! When a second request is sent for the same search.

use rattanmast_model::rank::Rank;

use crate::latency::Level;

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
pub struct Open {
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
    fn resize(&mut self, budget: Budget);
    /// Counts a first try of a request of `rank`.
    fn earn(&mut self, rank: Rank);
    /// Returns the learned quantile after which to hedge; `None` means not at all.
    fn level(&self, rank: Rank, open: Open) -> Option<Level>;
    /// Takes one hedge out of the budget, if there is one.
    fn spend(&mut self, rank: Rank) -> bool;
    /// Puts back a hedge that was not sent.
    fn refund(&mut self);
    /// Returns how many hedges are saved up.
    fn credit(&self) -> f64;
}

/// The share of the budget that is left to more urgent ranks, if all first tries are theirs.
const RESERVE: f64 = 0.4;

/// The weight of one first try in the shares of the ranks.
const SHARE_WEIGHT: f64 = 0.02;

/// Hedges on evidence, within a budget.
#[derive(Debug)]
pub struct Evidence {
    budget: Budget,
    credit: f64,
    /// The share of each rank in recent first tries.
    shares: [f64; 3],
}

impl Hedge for Evidence {
    fn new(budget: Budget) -> Self {
        Self {
            budget,
            credit: budget.start,
            shares: [0.0; 3],
        }
    }

    fn resize(&mut self, budget: Budget) {
        self.budget = budget;
        self.credit = self.credit.min(budget.burst);
    }

    fn earn(&mut self, rank: Rank) {
        self.credit = (self.credit + self.budget.share).min(self.budget.burst);
        for (index, share) in self.shares.iter_mut().enumerate() {
            let seen = f64::from(u8::from(index == rank.index()));
            *share += SHARE_WEIGHT * (seen - *share);
        }
    }

    /// A scarce budget is kept for the slowest requests, an ample one is used earlier, most of
    /// all for urgent work and when the whole query waits for its last parts.
    fn level(&self, rank: Rank, open: Open) -> Option<Level> {
        let last = open.start > 1 && open.now * 4 <= open.start;
        let early = rank == Rank::Urgent || last;
        Some(match self.credit / self.budget.burst {
            c if c > 0.5 && early => Level::P90,
            c if c > 0.5 || (c > 0.2 && early) => Level::P95,
            c if c > 0.2 || early => Level::P97,
            _ => Level::P99,
        })
    }

    /// The last part of the budget is left to more urgent work, as far as there is any.
    fn spend(&mut self, rank: Rank) -> bool {
        let urgent: f64 = self.shares[..rank.index()].iter().sum();
        let keep = RESERVE * urgent * self.budget.burst;
        let afford = self.credit >= 1.0 + keep;
        if afford {
            self.credit -= 1.0;
        }
        afford
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

    fn resize(&mut self, _budget: Budget) {}

    fn earn(&mut self, _rank: Rank) {}

    fn level(&self, _rank: Rank, _open: Open) -> Option<Level> {
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
