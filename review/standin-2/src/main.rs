//! Stand-ins and scripts of the review's cases.
//!
//! `standin CASE ROOT FOLDER` runs a case with the programs of the repository at ROOT and writes its record
//! into FOLDER. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod clock;
mod fleet;
mod gone;
mod host;
mod http;
mod json;
mod leaf;
mod leaving;
mod record;
mod spoiled;
mod store;

use std::{path::PathBuf, process::ExitCode};

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    clock::elapsed();
    let record = match Record::create(&folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{}: {error}", folder.display());
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "leaving" => leaving::run(&root, &record, trouble),
        "spoiled" => spoiled::run(&root, &record, trouble),
        "gone" => gone::run(&root, &record, trouble),
        _ => Err(format!("no case is named {case}")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            record.line(&error);
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
