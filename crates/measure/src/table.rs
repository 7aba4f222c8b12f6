//! Reports as text tables and JSON.

use std::fmt::Write as _;

use rattanmast_model::{config::Priority, rank::Rank};
use serde::Serialize;

use crate::{
    case::{Case, Verdict, median},
    run::Run,
    scenario::Scenario,
    tally::Row,
};

/// The report on a case.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The name of the case.
    pub case: &'static str,
    /// Its one-line summary.
    pub about: &'static str,
    /// The seeds with which every variant ran.
    pub seeds: Vec<u64>,
    /// Queries per second that the fleet's slots can serve.
    pub capacity: f64,
    /// The figures of each variant; medians over the seeds unless noted.
    pub variants: Vec<Figures>,
    /// The evaluated targets.
    pub verdicts: Vec<Verdict>,
}

/// The figures of one variant.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Distinguishes it from other variants with the same policies.
    pub label: &'static str,
    /// The name of the policies.
    pub policies: &'static str,
    /// The offered load as a share of the fleet's capacity.
    pub load: f64,
    /// The same share, including the extra time of slow replies.
    pub effective: f64,
    /// Whether searches put coverage first.
    pub whole: bool,
    /// The share of slot time in use, including work on replies that were no longer awaited.
    pub busy: f64,
    /// The number of audited answers over all seeds.
    pub checked: u64,
    /// The figures by rank, in the order of `Rank::ALL`.
    pub rows: [Row; 3],
}

impl Report {
    /// Builds the report on `case` from its runs by seed.
    pub fn new(case: &Case, seeds: &[u64], runs: &[Vec<Run>]) -> Self {
        let medians = case.medians(runs);
        let figures = |(index, (variant, rows)): (usize, _)| {
            let variant: &crate::case::Variant = variant;
            let scenario: &Scenario = &variant.scenario;
            Figures {
                label: variant.label,
                policies: variant.kind.name(),
                load: scenario.total(),
                effective: scenario.effective(),
                whole: scenario.priority == Priority::Coverage,
                busy: median(runs.iter().map(|s| s[index].busy).collect()),
                checked: runs.iter().map(|s| s[index].findings.checked).sum(),
                rows,
            }
        };
        Self {
            case: case.name,
            about: case.about,
            seeds: seeds.to_vec(),
            capacity: runs.first().map_or(f64::NAN, |seed| seed[0].capacity),
            variants: case
                .variants
                .iter()
                .zip(medians)
                .enumerate()
                .map(figures)
                .collect(),
            verdicts: case.evaluate(runs),
        }
    }

    /// Returns whether all targets are met.
    pub fn met(&self) -> bool {
        self.verdicts.iter().all(|v| v.met)
    }

    /// Formats the report as a text table.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{}: {}\nmedians over {} seeds; capacity {:.0} queries a second\n",
            self.case,
            self.about,
            self.seeds.len(),
            self.capacity
        );
        for variant in &self.variants {
            variant.write(&mut text);
        }
        for verdict in &self.verdicts {
            let _infallible = writeln!(
                text,
                "{} {}; measured {:.3} ({:.3} to {:.3} by seed)",
                if verdict.met { "met:   " } else { "MISSED:" },
                verdict.target,
                verdict.figure,
                verdict.least,
                verdict.most,
            );
        }
        if self.verdicts.is_empty() {
            text.push_str("no target\n");
        }
        text
    }
}

impl Figures {
    fn write(&self, text: &mut String) {
        let _infallible = write!(
            text,
            "\n{}, {}: offered load {:.0}% of capacity",
            self.label,
            self.policies,
            self.load * 100.0
        );
        if self.effective > self.load {
            let _infallible = write!(text, " ({:.1}% with slow replies)", self.effective * 100.0);
        }
        let _infallible = write!(text, "; slots {:.1}% in use", self.busy * 100.0);
        if self.whole {
            text.push_str("; coverage first");
        }
        if self.checked > 0 {
            let _infallible = write!(text, "; {} answers checked", self.checked);
        }
        let _infallible = writeln!(
            text,
            "\n{:8} {:>9} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>9} {:>8} {:>8} {:>6} {:>9} {:>9}",
            "rank",
            "offered",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "complete",
            "coverage",
            "extra",
            "refused",
            "late",
            "good/s",
            "slots",
            "told p99",
            "told max",
        );
        for (rank, row) in Rank::ALL.into_iter().zip(&self.rows) {
            let percent = |share: f64, digits| figure(share * 100.0, digits, "%");
            let _infallible = writeln!(
                text,
                "{:8} {:>9} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>9} {:>8} {:>8} {:>6} {:>9} {:>9}",
                rank.name(),
                figure(row.offered, 0, ""),
                figure(row.p50_ms, 1, ""),
                figure(row.p99_ms, 1, ""),
                figure(row.p999_ms, 1, ""),
                percent(row.complete, 3),
                percent(row.coverage, 3),
                percent(row.extra, 2),
                figure(row.refused, 0, ""),
                figure(row.late, 0, ""),
                figure(row.goodput, 1, ""),
                percent(row.slots, 1),
                percent(row.refusal_p99, 2),
                percent(row.refusal_worst, 2),
            );
        }
    }
}

/// Formats `value` with `digits` decimals and `unit`, or as a dash if it is NaN.
fn figure(value: f64, digits: usize, unit: &str) -> String {
    if value.is_nan() {
        return "-".to_owned();
    }
    format!("{value:.digits$}{unit}")
}
