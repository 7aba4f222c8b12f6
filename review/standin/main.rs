//! Stand-ins of the store, the leafs and the callers for the cases of the review.
//!
//! `standin CASE FOLDER` plays a case and exits with 1 if the rule was broken, with 0 if it held, and
//! with 2 if the case could not run. `TROUBLE=0` in the environment leaves the disruption out.

mod crash_calls;
mod env;
mod http;
mod late_refusal;
mod spoiled_head;
mod store;

use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = env::Record::create(folder);
    let verdict = match case.as_str() {
        "crash-orders" => crash_calls::run(&record, trouble, crash_calls::Kind::Order),
        "crash-storm" => crash_calls::run(&record, trouble, crash_calls::Kind::Storm),
        "crash-answers" => crash_calls::run(&record, trouble, crash_calls::Kind::Fetch),
        "late-refusal" => late_refusal::run(&record, trouble),
        "spoiled-head" => spoiled_head::run(&record, trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::Held => ("the rule held", 0),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.write(&format!("verdict: {text}"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
