//! Command-line options.

use std::path::PathBuf;

use bpaf::Bpaf;
use rattanmast_measure::config::{Config, Error, Result, check_range};

/// Compare the policies with their baselines on the same seeds
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("rattanmast-measure"), version)]
pub struct Options {
    /// List the cases and exit
    #[bpaf(long)]
    pub list: bool,
    /// Case to run
    #[bpaf(long, env("RATTANMAST_MEASURE_CASE"), argument("NAME"))]
    pub case: Option<String>,
    /// Number of seeds
    #[bpaf(
        long,
        env("RATTANMAST_MEASURE_SEEDS"),
        argument("N"),
        fallback(5),
        display_fallback
    )]
    pub seeds: u64,
    /// First seed
    #[bpaf(
        long,
        env("RATTANMAST_MEASURE_SEED"),
        argument("N"),
        fallback(1),
        display_fallback
    )]
    pub seed: u64,
    /// Measured time of each run in seconds; defaults to that of the case
    #[bpaf(long, env("RATTANMAST_MEASURE_LENGTH"), argument("SECONDS"))]
    pub length: Option<u64>,
    /// Number of regions that the failure domains are spread over
    #[bpaf(
        long,
        env("RATTANMAST_MEASURE_REGIONS"),
        argument("N"),
        fallback(1),
        display_fallback
    )]
    pub regions: u64,
    /// Let searches wait for full coverage; the Norway preset puts time first
    #[bpaf(long, env("RATTANMAST_MEASURE_WHOLE"))]
    pub whole: bool,
    /// Number of threads that execute runs
    #[bpaf(
        long,
        env("RATTANMAST_MEASURE_THREADS"),
        argument("N"),
        fallback(4),
        display_fallback
    )]
    pub threads: u64,
    /// Run the baseline in place of the policy, to check that targets can be missed
    #[bpaf(long, env("RATTANMAST_MEASURE_SWAP"))]
    pub swap: bool,
    /// Print JSON instead of a table
    #[bpaf(long, env("RATTANMAST_MEASURE_JSON"))]
    pub json: bool,
    /// Plot latency and goodput by load to an SVG file
    #[bpaf(long, env("RATTANMAST_MEASURE_PLOT"), argument("FILE.svg"))]
    pub plot: Option<PathBuf>,
}

impl Options {
    /// Returns the validated settings.
    ///
    /// # Errors
    ///
    /// If no case is given or a number is out of range.
    pub fn config(self) -> Result<Config> {
        let count = check_range("--seeds", self.seeds, 1, 1_000)?;
        let regions = check_range("--regions", self.regions, 1, 3)?;
        let threads = check_range("--threads", self.threads, 1, 64)?;
        let length = self.length.map(|l| check_range("--length", l, 1, 86_400));
        let to_usize = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
        Ok(Config {
            case: self.case.ok_or(Error::MissingCase)?,
            seeds: (self.seed..).take(to_usize(count)).collect(),
            length: length.transpose()?,
            regions: to_usize(regions),
            threads: to_usize(threads),
            whole: self.whole,
            swap: self.swap,
            json: self.json,
            plot: self.plot,
        })
    }
}
