//! The sets of policies that are compared.

use rattanmast_dispatch as dispatch;
use rattanmast_gather::{
    Settings, admission,
    policy::{Bundle, Policy, Standard},
    retry, route,
};
use rattanmast_model::host;
use serde::Serialize;

/// The policies that all hosts use in one run.
pub trait Suite: 'static {
    /// The policy of a dispatcher.
    type Dispatch: dispatch::policy::Policy;
    /// The policy of a root.
    type Gather: Policy;

    /// Creates the policy of the root on host `me`.
    fn gather(me: &host::Name, settings: &Settings, seed: u64) -> Self::Gather;

    /// Returns the settings of the dispatchers.
    fn dispatch() -> dispatch::Settings {
        dispatch::Settings::default()
    }
}

/// Identifies a set of policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The production policies.
    Policy,
    /// The baseline of every policy.
    Baseline,
    /// The production policies, except that every host calls every leaf directly.
    Everyone,
}

impl Kind {
    /// Returns the name shown in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Policy => "policy",
            Self::Baseline => "baseline",
            Self::Everyone => "every host calls every leaf",
        }
    }
}

/// See [`Kind::Policy`].
#[derive(Debug)]
pub struct Production;

impl Suite for Production {
    type Dispatch = dispatch::policy::Adaptive;
    type Gather = Standard;

    fn gather(_: &host::Name, settings: &Settings, seed: u64) -> Standard {
        Standard::new(settings, seed)
    }
}

/// See [`Kind::Baseline`].
///
/// Each service still has one dispatcher, so that only the policies differ.
#[derive(Debug)]
pub struct Baseline;

impl Suite for Baseline {
    type Dispatch = dispatch::policy::Baseline;
    type Gather = Bundle<admission::AdmitAll, retry::Unlimited, route::CandidateRouter>;

    fn gather(_: &host::Name, _: &Settings, _: u64) -> Self::Gather {
        Bundle {
            admission: admission::AdmitAll,
            budget: retry::Unlimited,
            router: route::CandidateRouter,
        }
    }
}

/// See [`Kind::Everyone`].
#[derive(Debug)]
pub struct Everyone;

impl Suite for Everyone {
    type Dispatch = dispatch::policy::Adaptive;
    type Gather = Bundle<admission::WaitLimit, retry::SuccessShare, route::SelfRouter>;

    fn gather(me: &host::Name, settings: &Settings, seed: u64) -> Self::Gather {
        Bundle {
            admission: admission::WaitLimit::new(settings, seed),
            budget: retry::SuccessShare::new(settings.retry_share, settings.retry_capacity),
            router: route::SelfRouter(me.clone()),
        }
    }

    fn dispatch() -> dispatch::Settings {
        dispatch::Settings {
            spread: dispatch::Spread::AllHosts,
            ..dispatch::Settings::default()
        }
    }
}
