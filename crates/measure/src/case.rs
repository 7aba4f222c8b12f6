//! Cases: the runs that are compared and the targets that they must meet.

use serde::Serialize;

use crate::{policy::Kind, run::Run, scenario::Scenario, tally::Row};

/// A named comparison.
#[derive(Clone, Debug)]
pub struct Case {
    /// The name on the command line.
    pub name: &'static str,
    /// A one-line summary.
    pub about: &'static str,
    /// The runs for each seed.
    pub variants: Vec<Variant>,
    /// The targets that the runs must meet.
    pub targets: Vec<Target>,
}

/// One of the runs that a case compares.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Distinguishes it from other variants with the same policies.
    pub label: &'static str,
    /// The set of policies.
    pub kind: Kind,
    /// Load and faults.
    pub scenario: Scenario,
}

/// A figure and the bound it must respect.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The target in plain text.
    pub description: &'static str,
    /// The bound that the figure must respect.
    pub bound: Bound,
    /// How the figures of all seeds are combined.
    pub aggregate: Aggregate,
    /// Computes the figure of one seed from its runs, one per variant, in the order of `variants`.
    pub figure: fn(&[Run]) -> f64,
}

/// The bound of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// The figure must not exceed this value.
    AtMost(f64),
    /// The figure must not be below this value.
    AtLeast(f64),
}

/// How the figures of several seeds are combined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aggregate {
    /// Their median.
    Median,
    /// Their sum.
    Sum,
}

/// The result of evaluating a target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// The target in plain text.
    pub target: &'static str,
    /// The combined figure of all seeds.
    pub figure: f64,
    /// The smallest figure of any seed.
    pub least: f64,
    /// The largest figure of any seed.
    pub most: f64,
    /// The bound that the figure must respect.
    pub bound: f64,
    /// Whether the target is met.
    pub met: bool,
}

impl Case {
    /// Replaces [`Kind::Policy`] by `kind` in all variants.
    #[must_use]
    pub fn with_policy(mut self, kind: Kind) -> Self {
        let policies = self.variants.iter_mut().filter(|v| v.kind == Kind::Policy);
        policies.for_each(|v| v.kind = kind);
        self
    }

    /// Evaluates all targets; `runs` holds the runs of each seed.
    pub fn evaluate(&self, runs: &[Vec<Run>]) -> Vec<Verdict> {
        self.targets.iter().map(|t| t.evaluate(runs)).collect()
    }

    /// Returns the median rows over all seeds, by variant and rank.
    pub fn medians(&self, runs: &[Vec<Run>]) -> Vec<[Row; 3]> {
        let rows = |variant: usize| {
            [0, 1, 2].map(|rank| {
                let figures: Vec<_> = runs
                    .iter()
                    .map(|seed| seed[variant].rows[rank].figures())
                    .collect();
                let mut median = Row::default().figures();
                for (i, value) in median.iter_mut().enumerate() {
                    *value = self::median(figures.iter().map(|f| f[i]).collect());
                }
                Row::from_figures(median)
            })
        };
        (0..self.variants.len()).map(rows).collect()
    }
}

impl Target {
    fn evaluate(&self, runs: &[Vec<Run>]) -> Verdict {
        let figures: Vec<f64> = runs.iter().map(|seed| (self.figure)(seed)).collect();
        let figure = match self.aggregate {
            Aggregate::Median => median(figures.clone()),
            Aggregate::Sum => figures.iter().sum(),
        };
        // Comparisons with NaN are false, so a NaN figure misses its target.
        let (bound, met) = match self.bound {
            Bound::AtMost(bound) => (bound, figure <= bound),
            Bound::AtLeast(bound) => (bound, figure >= bound),
        };
        Verdict {
            target: self.description,
            figure,
            least: figures.iter().copied().fold(f64::NAN, f64::min),
            most: figures.iter().copied().fold(f64::NAN, f64::max),
            bound,
            met,
        }
    }
}

/// Returns the median of `figures`, or NaN if `figures` is empty or contains NaN.
pub(crate) fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_unstable_by(f64::total_cmp);
    let middle = figures.len() / 2;
    match figures.len() {
        0 => f64::NAN,
        _ if figures.iter().any(|f| f.is_nan()) => f64::NAN,
        n if n % 2 == 1 => figures[middle],
        _ => f64::midpoint(figures[middle - 1], figures[middle]),
    }
}
