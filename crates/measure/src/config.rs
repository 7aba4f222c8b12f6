//! Validated settings of one invocation.

use std::path::PathBuf;

use snafu::{Snafu, ensure};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the settings are invalid.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// `--case` is missing.
    #[snafu(display("no case given; name one with --case, or see --list"))]
    MissingCase,
    /// A number is out of range.
    #[snafu(display("{name} must be from {min} to {max}; it is {value}"))]
    OutOfRange {
        /// The option, with its dashes.
        name: &'static str,
        /// The smallest valid value.
        min: u64,
        /// The largest valid value.
        max: u64,
        /// The value given.
        value: u64,
    },
}

/// The settings of one invocation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The case to run.
    pub case: String,
    /// The seeds; every variant of the case runs once with each.
    pub seeds: Vec<u64>,
    /// The measured time of each run in seconds; `None` keeps that of the case.
    pub length: Option<u64>,
    /// Number of regions that the failure domains are spread over.
    pub regions: usize,
    /// Number of threads that execute runs.
    pub threads: usize,
    /// Whether searches wait for full coverage.
    pub whole: bool,
    /// Whether the baseline replaces the policy, to check that targets can be missed.
    pub swap: bool,
    /// Whether to print JSON instead of a table.
    pub json: bool,
    /// The SVG file to plot into.
    pub plot: Option<PathBuf>,
}

/// Returns `value` if it is from `min` to `max`.
///
/// # Errors
///
/// [`Error::OutOfRange`] otherwise.
pub fn check_range(name: &'static str, value: u64, min: u64, max: u64) -> Result<u64> {
    let in_range = (min..=max).contains(&value);
    ensure!(
        in_range,
        OutOfRangeSnafu {
            name,
            min,
            max,
            value
        }
    );
    Ok(value)
}
