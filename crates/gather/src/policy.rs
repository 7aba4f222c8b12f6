//! Replaceable policies, which benchmarks compare with baselines.

use crate::{
    Settings,
    admission::{self, Admission},
    retry::{self, Budget},
    route::{self, Router},
};

/// A combination of admission, retry budget and router.
pub trait Policy: Send + Sync + 'static {
    /// Admits or refuses whole queries.
    type Admission: Admission;
    /// Limits retries.
    type Budget: Budget;
    /// Chooses dispatchers.
    type Router: Router;

    /// Returns the admission control.
    fn admission(&self) -> &Self::Admission;
    /// Returns the retry budget.
    fn budget(&self) -> &Self::Budget;
    /// Returns the router.
    fn router(&self) -> &Self::Router;
}

/// A policy that consists of its three parts.
#[derive(Clone, Debug)]
pub struct Bundle<A, B, R> {
    /// Admits or refuses whole queries.
    pub admission: A,
    /// Limits retries.
    pub budget: B,
    /// Chooses dispatchers.
    pub router: R,
}

/// The policy that hosts use.
pub type Standard = Bundle<admission::WaitLimit, retry::SuccessShare, route::CandidateRouter>;

impl Standard {
    /// Creates the policy that hosts use; `seed` seeds the random refusals of admission.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        Self {
            admission: admission::WaitLimit::new(settings, seed),
            budget: retry::SuccessShare::new(settings.retry_share, settings.retry_capacity),
            router: route::CandidateRouter,
        }
    }
}

impl<A: Admission, B: Budget, R: Router> Policy for Bundle<A, B, R> {
    type Admission = A;
    type Budget = B;
    type Router = R;

    fn admission(&self) -> &A {
        &self.admission
    }

    fn budget(&self) -> &B {
        &self.budget
    }

    fn router(&self) -> &R {
        &self.router
    }
}
