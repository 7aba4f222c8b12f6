//! A case: the runs that are compared, and the targets they are judged by.

use serde::Serialize;

use crate::{policy::Kind, run::Run, scenario::Scenario, tally::Row};

/// A named comparison.
#[derive(Clone, Debug)]
pub struct Case {
    /// The name on the command line.
    pub name: &'static str,
    /// What it shows, in one line.
    pub about: &'static str,
    /// The runs of each seed.
    pub variants: Vec<Variant>,
    /// What is judged.
    pub targets: Vec<Target>,
}

/// One of the runs that a case compares.
#[derive(Clone, Debug)]
pub struct Variant {
    /// What tells it apart from the others, without the policies.
    pub label: &'static str,
    /// The policies.
    pub kind: Kind,
    /// What happens.
    pub scenario: Scenario,
}

/// A figure and what it should be.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The target in words.
    pub description: &'static str,
    /// The bound.
    pub bound: Bound,
    /// How the figures of the seeds become one.
    pub aggregate: Aggregate,
    /// The figure of one seed, from its runs in the order of the variants.
    pub figure: fn(&[Run]) -> f64,
}

/// The bound of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// The figure may not be larger.
    AtMost(f64),
    /// The figure may not be smaller.
    AtLeast(f64),
}

/// How the figures of several seeds become one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aggregate {
    /// Their median.
    Median,
    /// Their sum.
    Sum,
}

/// A judged target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// The target in words.
    pub target: &'static str,
    /// The figure over all seeds.
    pub figure: f64,
    /// The smallest figure of a seed.
    pub least: f64,
    /// The largest figure of a seed.
    pub most: f64,
    /// The bound.
    pub bound: f64,
    /// Whether the target is met.
    pub met: bool,
}

impl Case {
    /// Returns the case with `kind` in place of [`Kind::Policy`].
    #[must_use]
    pub fn with_policy(mut self, kind: Kind) -> Self {
        let policies = self.variants.iter_mut().filter(|v| v.kind == Kind::Policy);
        policies.for_each(|v| v.kind = kind);
        self
    }

    /// Returns the verdicts on `runs`, which holds the runs of each seed.
    pub fn evaluate(&self, runs: &[Vec<Run>]) -> Vec<Verdict> {
        self.targets.iter().map(|t| t.evaluate(runs)).collect()
    }

    /// Returns the medians over the seeds, by variant and rank.
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
        // A figure that is not a number meets no target.
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

/// Returns the median of `figures`; NaN if there are none or one is NaN.
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
