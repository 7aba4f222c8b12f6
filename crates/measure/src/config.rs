//! The validated settings of a call.

use std::path::PathBuf;

use snafu::{Snafu, ensure};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why settings were refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No case was named.
    #[snafu(display("no case given; name one with --case, or see --list"))]
    MissingCase,
    /// A number is out of its bounds.
    #[snafu(display("{name} must be from {min} to {max}; it is {value}"))]
    OutOfRange {
        /// The option.
        name: &'static str,
        /// The smallest value.
        min: u64,
        /// The largest value.
        max: u64,
        /// The value given.
        value: u64,
    },
}

/// What a call is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The case to run.
    pub case: String,
    /// The seeds, each for all runs of the case.
    pub seeds: Vec<u64>,
    /// The measured time of each run in seconds, if not the case's own.
    pub length: Option<u64>,
    /// Regions that the failure domains are spread over.
    pub regions: usize,
    /// Threads that runs are spread over.
    pub threads: usize,
    /// Lets searches wait for the whole answer.
    pub whole: bool,
    /// Runs the baseline in place of the policy, to see that targets can be missed.
    pub swap: bool,
    /// Prints JSON in place of a table.
    pub json: bool,
    /// The SVG file to plot into.
    pub plot: Option<PathBuf>,
}

/// Returns `value` if it is from `least` to `most`.
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
