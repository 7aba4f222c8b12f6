//! Validated settings of the stand-ins.

use std::{
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    str::FromStr,
    time::Duration,
};

use log::LevelFilter;
use rattanmast_model::preset::Preset;
use snafu::Snafu;

use crate::cli;

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// An invalid setting.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("--{flag} is `{value}`; set it (or {variable}) to {expected}"))]
pub struct Error {
    /// The flag, without dashes.
    pub flag: &'static str,
    /// The environment variable that has the same effect as the flag.
    pub variable: String,
    /// The invalid value.
    pub value: String,
    /// A description of the valid values.
    pub expected: &'static str,
}

/// Settings of `rattanmast-platform`.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The installation whose objects are loaded at start.
    pub preset: Option<Preset>,
    /// The range from which the latency of a call is drawn.
    pub latency: RangeInclusive<Duration>,
    /// The seed for all random choices.
    pub seed: u64,
    /// The maximum verbosity of the log.
    pub log: LevelFilter,
}

/// Settings of `rattanmast-leaf`.
#[derive(Clone, Debug)]
pub struct Leaf {
    /// The address of the first leaf; the others use the next ports. Port 0 picks free ports.
    pub listen: SocketAddr,
    /// The address that serves the admin paths.
    pub admin: SocketAddr,
    /// The installation that the leafs belong to.
    pub preset: Preset,
    /// The index of the first served leaf in the installation.
    pub first: usize,
    /// The difference between the indexes of successive served leafs; at least 1.
    pub step: usize,
    /// The maximum number of served leafs; `None` means all.
    pub leafs: Option<usize>,
    /// The median service time.
    pub median: Duration,
    /// The seed for all random choices.
    pub seed: u64,
    /// The maximum verbosity of the log.
    pub log: LevelFilter,
}

/// Settings of `rattanmast-faults`.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The address that serves the admin paths.
    pub admin: SocketAddr,
    /// The listen and target address of each route.
    pub routes: Vec<(SocketAddr, SocketAddr)>,
    /// How long the target side of a silent connection stays open after the client has closed.
    pub hold: Duration,
    /// The seed for all random choices.
    pub seed: u64,
    /// The maximum verbosity of the log.
    pub log: LevelFilter,
}

const EXPECTED_PORT: &str = "a port from 0 to 65535";
const EXPECTED_IP: &str = "an IP address such as 127.0.0.1";
const EXPECTED_PRESET: &str = "norway or switzerland";
const EXPECTED_MS: &str = "a whole number of milliseconds, at most 3600000";
const EXPECTED_US: &str = "a whole number of microseconds, at most 60000000";
const EXPECTED_SEED: &str = "a whole number";
const EXPECTED_LOG: &str = "off, error, warn, info, debug or trace";
const EXPECTED_ROUTES: &str = "pairs such as 127.0.0.1:0=127.0.0.1:8080, separated by commas";

/// Parses a program's settings; holds the prefix of its environment variables.
struct Program(&'static str);

impl Program {
    fn invalid(&self, flag: &'static str, value: &str, expected: &'static str) -> Error {
        let suffix = flag.replace('-', "_").to_uppercase();
        Error {
            flag,
            variable: format!("{}_{suffix}", self.0),
            value: value.to_owned(),
            expected,
        }
    }

    fn parse<T: FromStr>(
        &self,
        flag: &'static str,
        value: &str,
        expected: &'static str,
    ) -> Result<T> {
        value
            .parse()
            .map_err(|_| self.invalid(flag, value, expected))
    }

    fn parse_in_range(
        &self,
        flag: &'static str,
        value: &str,
        range: RangeInclusive<u64>,
        expected: &'static str,
    ) -> Result<u64> {
        let number: u64 = self.parse(flag, value, expected)?;
        let in_range = range.contains(&number).then_some(number);
        in_range.ok_or_else(|| self.invalid(flag, value, expected))
    }

    fn count(&self, flag: &'static str, value: &str, min: u64) -> Result<usize> {
        let expected = match min {
            0 => "a whole number below 65536",
            _ => "a whole number from 1 to 65535",
        };
        let number = self.parse_in_range(flag, value, min..=65_535, expected)?;
        usize::try_from(number).map_err(|_| self.invalid(flag, value, expected))
    }

    fn millis(&self, flag: &'static str, value: &str) -> Result<Duration> {
        let number = self.parse_in_range(flag, value, 0..=3_600_000, EXPECTED_MS)?;
        Ok(Duration::from_millis(number))
    }

    fn preset(&self, value: &str) -> Result<Preset> {
        Preset::named(value).ok_or_else(|| self.invalid("preset", value, EXPECTED_PRESET))
    }
}

impl Platform {
    /// Validates `cli`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
    pub fn check(cli: &cli::Platform) -> Result<Self> {
        let program = Program("RATTANMAST_PLATFORM");
        let ip: IpAddr = program.parse("address", &cli.address, EXPECTED_IP)?;
        let port = program.parse("port", &cli.port, EXPECTED_PORT)?;
        let preset = cli.preset.as_deref().map(|p| program.preset(p));
        let min_latency = program.millis("latency-min-ms", &cli.latency_min_ms)?;
        let max_latency = program.millis("latency-max-ms", &cli.latency_max_ms)?;
        if max_latency < min_latency {
            let expected = "at least --latency-min-ms";
            return Err(program.invalid("latency-max-ms", &cli.latency_max_ms, expected));
        }
        Ok(Self {
            listen: SocketAddr::new(ip, port),
            preset: preset.transpose()?,
            latency: min_latency..=max_latency,
            seed: program.parse("seed", &cli.seed, EXPECTED_SEED)?,
            log: program.parse("log", &cli.log, EXPECTED_LOG)?,
        })
    }
}

impl Leaf {
    /// Validates `cli`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
    pub fn check(cli: &cli::Leaf) -> Result<Self> {
        let program = Program("RATTANMAST_LEAF");
        let ip: IpAddr = program.parse("address", &cli.address, EXPECTED_IP)?;
        let port: u16 = program.parse("port", &cli.port, EXPECTED_PORT)?;
        let admin = program.parse("admin-port", &cli.admin_port, EXPECTED_PORT)?;
        let leafs = cli.leafs.as_deref().map(|n| program.count("leafs", n, 1));
        let median =
            program.parse_in_range("median-us", &cli.median_us, 0..=60_000_000, EXPECTED_US)?;
        let config = Self {
            listen: SocketAddr::new(ip, port),
            admin: SocketAddr::new(ip, admin),
            preset: program.preset(&cli.preset)?,
            first: program.count("first", &cli.first, 0)?,
            step: program.count("step", &cli.step, 1)?,
            leafs: leafs.transpose()?,
            median: Duration::from_micros(median),
            seed: program.parse("seed", &cli.seed, EXPECTED_SEED)?,
            log: program.parse("log", &cli.log, EXPECTED_LOG)?,
        };
        let collections = config.preset.collections.iter();
        let total: usize = collections
            .map(|c| usize::from(c.services) * usize::from(c.leafs))
            .sum();
        if config.first >= total {
            let expected = "less than the number of leafs of the installation";
            return Err(program.invalid("first", &cli.first, expected));
        }
        // The last leaf's port is `port + count - 1`.
        let count = config.leafs.unwrap_or(total).min(total);
        if usize::from(port) + count > 65_536 {
            let expected = "a port that leaves room for all leafs below 65536";
            return Err(program.invalid("port", &cli.port, expected));
        }
        Ok(config)
    }
}

impl Faults {
    /// Validates `cli`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
    pub fn check(cli: &cli::Faults) -> Result<Self> {
        let program = Program("RATTANMAST_FAULTS");
        let ip: IpAddr = program.parse("address", &cli.address, EXPECTED_IP)?;
        let port = program.parse("port", &cli.port, EXPECTED_PORT)?;
        let route = |route: &str| {
            let (listen, target) = route.trim().split_once('=')?;
            Some((listen.parse().ok()?, target.parse().ok()?))
        };
        let routes = cli.routes.split(',').filter(|r| !r.trim().is_empty());
        let routes: Option<Vec<_>> = routes.map(route).collect();
        Ok(Self {
            admin: SocketAddr::new(ip, port),
            routes: routes
                .ok_or_else(|| program.invalid("routes", &cli.routes, EXPECTED_ROUTES))?,
            hold: program.millis("hold-ms", &cli.hold_ms)?,
            seed: program.parse("seed", &cli.seed, EXPECTED_SEED)?,
            log: program.parse("log", &cli.log, EXPECTED_LOG)?,
        })
    }
}
