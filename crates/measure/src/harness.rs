//! Executes the runs of a case on several threads.

use std::{
    sync::{Mutex, mpsc},
    thread,
};

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use crate::{
    case::Case,
    run::{self, Run},
};

/// Runs all variants of `case` with each seed; returns the runs by seed, then by variant.
///
/// Shows progress on standard error if it is a terminal.
///
/// # Panics
///
/// If a run panics.
pub fn run(case: &Case, seeds: &[u64], threads: usize) -> Vec<Vec<Run>> {
    let jobs: Vec<(usize, usize)> = (0..seeds.len())
        .flat_map(|seed| (0..case.variants.len()).map(move |variant| (seed, variant)))
        .collect();
    let bar = progress_bar(case.name, jobs.len());
    let next = Mutex::new(jobs.iter().copied());
    let (sender, results) = mpsc::channel();
    let mut runs: Vec<Vec<Option<Run>>> = vec![vec![None; case.variants.len()]; seeds.len()];
    thread::scope(|scope| {
        for _ in 0..threads.clamp(1, jobs.len().max(1)) {
            let (sender, next) = (sender.clone(), &next);
            scope.spawn(move || {
                loop {
                    let job = next.lock().expect("no holder panics").next();
                    let Some((seed, variant)) = job else { return };
                    let variant_to_run = &case.variants[variant];
                    let run = run::run(&variant_to_run.scenario, variant_to_run.kind, seeds[seed]);
                    // Cannot fail: the receiver outlives all senders.
                    let _sent = sender.send((seed, variant, run));
                }
            });
        }
        drop(sender);
        for (seed, variant, run) in results {
            runs[seed][variant] = Some(run);
            bar.inc(1);
        }
    });
    bar.finish_and_clear();
    let completed = |seed: Vec<Option<Run>>| seed.into_iter().flatten().collect();
    runs.into_iter().map(completed).collect()
}

fn progress_bar(name: &'static str, runs: usize) -> ProgressBar {
    let length = u64::try_from(runs).unwrap_or(u64::MAX);
    let bar = ProgressBar::with_draw_target(Some(length), ProgressDrawTarget::stderr());
    let style = ProgressStyle::with_template("{msg} {bar:30} {pos}/{len} runs, {elapsed}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar.with_message(name)
}
