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
    NoCase,
    /// A number is out of its bounds.
    #[snafu(display("{name} must be from {least} to {most}; it is {value}"))]
    Bounds {
        /// The option.
        name: &'static str,
        /// The smallest value.
        least: u64,
        /// The largest value.
        most: u64,
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
/// [`Error::Bounds`] otherwise.
pub fn bounded(name: &'static str, value: u64, least: u64, most: u64) -> Result<u64> {
    let within = (least..=most).contains(&value);
    ensure!(
        within,
        BoundsSnafu {
            name,
            least,
            most,
            value
        }
    );
    Ok(value)
}
