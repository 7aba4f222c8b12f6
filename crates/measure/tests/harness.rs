//! Tests that the harness gives reproducible figures and that its checks can fail.

use std::time::Duration;

use rattanmast_measure::{
    case::Case,
    cases, harness,
    policy::Kind,
    run,
    scenario::{Event, Scenario},
    table::Report,
};
use rattanmast_model::rank::Rank;

fn short(name: &str) -> Case {
    let found = cases::all().into_iter().find(|c| c.name == name);
    let mut case = found.expect("the case exists");
    for variant in &mut case.variants {
        variant.scenario.warm_up = Duration::from_millis(500);
        variant.scenario.length = Duration::from_secs(1);
    }
    case
}

fn report(case: &Case, seeds: &[u64], threads: usize) -> Report {
    Report::new(case, seeds, &harness::run(case, seeds, threads))
}

/// Guards against figures that depend on the number of threads, hash order or the machine.
#[test]
fn equal_seeds_give_equal_tables() {
    let mut case = short("stragglers");
    case.variants.truncate(2);
    case.targets.clear();
    let first = report(&case, &[7], 1).text();
    assert_eq!(first, report(&case, &[7], 3).text());
    assert_ne!(first, report(&case, &[8], 2).text());
}

/// Guards against targets that are met regardless of the policy.
#[test]
fn a_plain_policy_misses_the_target() {
    let mut case = short("stragglers").with_policy(Kind::Baseline);
    case.variants.truncate(3);
    let report = report(&case, &[1], 2);
    assert!(!report.verdicts[0].met, "{}", report.text());
    assert!(!report.met());
}

/// Guards against a flood too weak to matter: the baseline must miss its targets under it.
#[test]
fn a_flood_breaks_the_baseline() {
    let mut case = short("intake-flood").with_policy(Kind::Baseline);
    case.variants.truncate(3);
    let report = report(&case, &[1], 2);
    assert!(!report.met(), "{}", report.text());
}

/// Guards against an audit that passes mixed snapshots and overclaimed coverage.
#[test]
fn forged_answers_are_found() {
    let forged = Scenario {
        event: Some(Event::ForgedAnswers),
        warm_up: Duration::from_millis(500),
        length: Duration::from_secs(1),
        ..Scenario::new(0.2)
    };
    let findings = run::run(&forged, Kind::Policy, 1).findings;
    assert!(findings.checked > 0);
    assert_eq!(findings.mixed, findings.checked);
    assert_eq!(findings.overclaimed, findings.checked);
}

/// Guards against a NaN figure that counts as a target met, here from a run without load.
#[test]
fn a_figure_that_is_no_number_is_a_miss() {
    let mut case = short("intake-flood");
    for variant in &mut case.variants {
        variant.scenario.load = [0.0; 3];
        variant.scenario.flood = None;
    }
    let report = report(&case, &[1], 2);
    assert!(report.verdicts.iter().all(|v| !v.met), "{}", report.text());
}

/// Guards against a policy that appears fast because it refuses every query.
#[test]
fn a_rank_that_is_refused_whole_has_no_latency() {
    let refused = Scenario {
        deadlines: [Duration::from_millis(1); 3],
        warm_up: Duration::from_millis(200),
        length: Duration::from_millis(500),
        ..Scenario::new(0.3)
    };
    let run = run::run(&refused, Kind::Policy, 1);
    for row in run.rows.iter().filter(|r| r.refused == r.offered) {
        assert!(row.p99_ms.is_nan(), "{row:?}");
    }
    assert!(run.rows.iter().any(|r| r.refused == r.offered), "{run:?}");
}

/// Guards against arrival rates that differ from the stated share of capacity.
#[test]
fn arrivals_match_the_load() {
    let scenario = Scenario {
        warm_up: Duration::from_millis(100),
        length: Duration::from_secs(4),
        ..Scenario::new(0.3)
    };
    let run = run::run(&scenario, Kind::Policy, 3);
    for rank in Rank::ALL {
        let expected = scenario.load[rank.index()] * run.capacity * 4.0;
        let offered = run.rows[rank.index()].offered;
        // Four standard deviations of a Poisson count.
        assert!(
            (offered - expected).abs() < 4.0 * expected.sqrt(),
            "{offered} of {expected}"
        );
    }
}
