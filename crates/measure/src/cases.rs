//! The cases and targets of section 4.6 of the design. The targets were set before the first run.

use std::time::Duration;

use rattanmast_model::{config::Floors, rank::Rank};

use crate::{
    case::{Aggregate, Bound, Case, Target, Variant},
    policy::Kind,
    recovery,
    run::Run,
    scenario::{Event, Scenario},
    tally::Row,
};

const URGENT_INDEX: usize = Rank::Urgent.index();
const ROUTINE_INDEX: usize = Rank::Routine.index();
const INTAKE_INDEX: usize = Rank::Intake.index();

/// Returns all cases that run in simulation, on the paused clock.
pub fn all() -> Vec<Case> {
    vec![
        stragglers(),
        intake_flood(),
        urgent_flood(),
        lost_replicas(),
        repartition(),
        dispatch(),
        load(),
        host_killed(),
    ]
}

const fn variant(label: &'static str, kind: Kind, scenario: Scenario) -> Variant {
    Variant {
        label,
        kind,
        scenario,
    }
}

const fn target(description: &'static str, bound: Bound, figure: fn(&[Run]) -> f64) -> Target {
    Target {
        description,
        bound,
        aggregate: Aggregate::Median,
        figure,
    }
}

/// Returns one variant each for the policy and the baseline under `scenario`.
fn policy_and_baseline(label: &'static str, scenario: &Scenario) -> [Variant; 2] {
    [Kind::Policy, Kind::Baseline].map(|kind| variant(label, kind, scenario.clone()))
}

fn sum_over_ranks(runs: &[Run], index: usize, figure: fn(&Row) -> f64) -> f64 {
    runs[index].rows.iter().map(figure).sum()
}

fn stragglers() -> Case {
    let undisturbed = Scenario::new(0.7);
    let slow = Scenario {
        slow_share: 0.02,
        ..undisturbed.clone()
    };
    Case {
        name: "stragglers",
        about: "70% load, 2% of leaf replies 10 times slower",
        variants: [
            policy_and_baseline("stragglers", &slow),
            policy_and_baseline("no stragglers", &undisturbed),
        ]
        .concat(),
        targets: vec![
            target(
                "urgent p99 over the baseline's: at most 1/3",
                Bound::AtMost(1.0 / 3.0),
                |r| r[0].rows[URGENT_INDEX].p99_ms / r[1].rows[URGENT_INDEX].p99_ms,
            ),
            target(
                "urgent p99 over the p99 with no stragglers: at most 1.5",
                Bound::AtMost(1.5),
                |r| r[0].rows[URGENT_INDEX].p99_ms / r[2].rows[URGENT_INDEX].p99_ms,
            ),
            target(
                "extra requests to leafs, all ranks: at most 5%",
                Bound::AtMost(0.05),
                |r| r[0].extra,
            ),
        ],
    }
}

fn intake_flood() -> Case {
    let undisturbed = Scenario::new(0.6);
    let flood = Scenario {
        flood: Some((Rank::Intake, 10.0)),
        ..undisturbed.clone()
    };
    Case {
        name: "intake-flood",
        about: "60% load, and intake at 10 times the capacity on top",
        variants: [
            policy_and_baseline("flood", &flood),
            policy_and_baseline("no flood", &undisturbed),
        ]
        .concat(),
        targets: vec![
            target(
                "urgent p99 over that without the flood: at most 1.2",
                Bound::AtMost(1.2),
                |r| r[0].rows[URGENT_INDEX].p99_ms / r[2].rows[URGENT_INDEX].p99_ms,
            ),
            target(
                "routine's goodput over that without the flood: at least 90%",
                Bound::AtLeast(0.9),
                |r| r[0].rows[ROUTINE_INDEX].goodput / r[2].rows[ROUTINE_INDEX].goodput,
            ),
        ],
    }
}

/// Index of the first `urgent-flood` variant that measures peak goodput.
const FIRST_PEAK_VARIANT: usize = 2;

fn urgent_flood() -> Case {
    // Routine and intake load exceeds their floors; otherwise the floors would have no effect.
    let flood = Scenario {
        load: [0.1, 0.3, 0.1],
        flood: Some((Rank::Urgent, 5.0)),
        ..Scenario::new(0.0)
    };
    let peak = |load| variant("peak", Kind::Policy, Scenario::new(load));
    let mut variants = policy_and_baseline("flood", &flood).to_vec();
    variants.extend([0.7, 0.8, 0.9, 1.0, 1.2].map(peak));
    Case {
        name: "urgent-flood",
        about: "routine 30%, intake 10%, urgent at 5.1 times the capacity",
        variants,
        targets: vec![
            target(
                "routine's share of slot time: at least its floor",
                Bound::AtLeast(Floors::default().routine),
                |r| r[0].rows[ROUTINE_INDEX].slots,
            ),
            target(
                "intake's share of slot time: at least its floor",
                Bound::AtLeast(Floors::default().intake),
                |r| r[0].rows[INTAKE_INDEX].slots,
            ),
            target(
                "goodput over the fleet's peak: at least 90%",
                Bound::AtLeast(0.9),
                |r| {
                    let peaks = (FIRST_PEAK_VARIANT..r.len())
                        .map(|i| sum_over_ranks(r, i, |row| row.goodput));
                    sum_over_ranks(r, 0, |row| row.goodput) / peaks.fold(0.0, f64::max)
                },
            ),
            target(
                "longest time until a refusal over the deadline: at most 10%",
                Bound::AtMost(0.1),
                |r| {
                    let worst = r[0].rows.iter().map(|row| row.refusal_worst);
                    worst.fold(0.0, f64::max)
                },
            ),
        ],
    }
}

fn lost_replicas() -> Case {
    // A shard that loses a replica keeps half of its slots, so 40% load becomes 80% there.
    let scenario = Scenario {
        event: Some(Event::ReplicaLoss),
        ..Scenario::new(0.4)
    };
    let heavy = Scenario {
        event: Some(Event::ReplicaLoss),
        ..Scenario::new(0.7)
    };
    Case {
        name: "lost-replicas",
        about: "one replica of every tenth shard lost at the start, platform's list unchanged",
        variants: [
            policy_and_baseline("40% load", &scenario),
            policy_and_baseline("70% load, 140% on those shards", &heavy),
        ]
        .concat(),
        targets: vec![target(
            "coverage 1.0 in time at 40% load, all ranks: at least 99.9%",
            Bound::AtLeast(0.999),
            |r| r[0].complete,
        )],
    }
}

fn repartition() -> Case {
    let scenario = Scenario {
        event: Some(Event::Repartition),
        length: Duration::from_secs(40),
        ..Scenario::new(0.6)
    };
    let sum_target = |description, bound, figure| Target {
        aggregate: Aggregate::Sum,
        ..target(description, bound, figure)
    };
    Case {
        name: "repartition",
        about: "60% load; data moves and the snapshot changes every second",
        variants: policy_and_baseline("repartition", &scenario).to_vec(),
        targets: vec![
            sum_target(
                "answers with mixed versions: none",
                Bound::AtMost(0.0),
                |r| r[0].findings.mixed as f64,
            ),
            sum_target(
                "answers with overclaimed coverage: none",
                Bound::AtMost(0.0),
                |r| r[0].findings.overclaimed as f64,
            ),
            sum_target(
                "answers checked: at least 100,000",
                Bound::AtLeast(100_000.0),
                |r| r[0].findings.checked as f64,
            ),
        ],
    }
}

fn dispatch() -> Case {
    let pair = |label, load| {
        [Kind::Policy, Kind::Everyone].map(|kind| variant(label, kind, Scenario::new(load)))
    };
    Case {
        name: "dispatch",
        about: "one dispatcher per service against every host calling every leaf",
        variants: [pair("70% load", 0.7), pair("120% load", 1.2)].concat(),
        targets: vec![
            target(
                "urgent p99 over the alternative's at 70% load: at most 1",
                Bound::AtMost(1.0),
                |r| r[0].rows[URGENT_INDEX].p99_ms / r[1].rows[URGENT_INDEX].p99_ms,
            ),
            target(
                "urgent p99 over the alternative's at 120% load: at most 1",
                Bound::AtMost(1.0),
                |r| r[2].rows[URGENT_INDEX].p99_ms / r[3].rows[URGENT_INDEX].p99_ms,
            ),
            target(
                "goodput over the alternative's at 120% load: at least 1",
                Bound::AtLeast(1.0),
                |r| {
                    sum_over_ranks(r, 2, |row| row.goodput)
                        / sum_over_ranks(r, 3, |row| row.goodput)
                },
            ),
        ],
    }
}

fn load() -> Case {
    let loads = [0.3, 0.5, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5];
    let pair = |load| {
        let mut scenario = Scenario::new(load);
        scenario.length = Duration::from_secs(10);
        policy_and_baseline("load", &scenario)
    };
    Case {
        name: "load",
        about: "latency and goodput by load, for the plot; no target",
        variants: loads.map(pair).concat(),
        targets: Vec::new(),
    }
}

fn host_killed() -> Case {
    let scenario = Scenario {
        // More urgent load than usual, so that a 5 s p99 window holds about 950 urgent queries.
        load: [0.2, 0.2, 0.1],
        event: Some(Event::HostLoss),
        warm_up: Duration::from_secs(15),
        ..Scenario::new(0.0)
    };
    Case {
        name: "host-killed",
        about: "50% load, one of 9 hosts falls silent",
        variants: policy_and_baseline("host killed", &scenario).to_vec(),
        targets: vec![
            target(
                "seconds until its share is served again: at most 2",
                Bound::AtMost(2.0),
                |r| recovery::service_recovery_secs(&r[0].samples),
            ),
            target(
                "seconds until urgent p99 is back to normal: at most 5",
                Bound::AtMost(5.0),
                |r| recovery::latency_recovery_secs(&r[0].samples, &r[0].before_loss),
            ),
        ],
    }
}
