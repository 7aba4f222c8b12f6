//! The checked settings of an entry host.

use std::{net::SocketAddr, time::Duration};

use rattanmast_model::host;
use smol_str::SmolStr;
use snafu::{Snafu, ensure};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Which setting is wrong, and the way out.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A name is empty.
    #[snafu(display("--{flag} is empty; give a name, such as {example}"))]
    EmptyName {
        /// The flag.
        flag: &'static str,
        /// A value that is accepted.
        example: &'static str,
    },
    /// Two of the host's own addresses are equal.
    #[snafu(display("--{first} and --{second} are both {addr}; give each its own port"))]
    DuplicateAddress {
        /// One flag.
        first: &'static str,
        /// The other flag.
        second: &'static str,
        /// The address.
        addr: SocketAddr,
    },
    /// The stop would end before new requests are refused.
    #[snafu(display(
        "--longest-stop-ms {longest_stop_ms} is not above --lame-duck-ms {lame_duck_ms}; raise it"
    ))]
    StopTooShort {
        /// The longest stop, in milliseconds.
        longest_stop_ms: u128,
        /// The time before new requests are refused, in milliseconds.
        lame_duck_ms: u128,
    },
}

/// Where spans go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Traces {
    /// Spans are not recorded; the trace context is still passed on.
    Off,
    /// One log line for each span.
    Log,
    /// OTLP over gRPC to a collector.
    Otlp(SocketAddr),
}

/// The settings of an entry host.
#[derive(Clone, Debug)]
pub struct Config {
    /// The host's name, failure domain and own addresses.
    pub host: host::Host,
    /// The platform's object service.
    pub platform: SocketAddr,
    /// Exchange addresses of other hosts, for a start while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Time between readiness going off and new requests being refused.
    pub lame_duck: Duration,
    /// Time after which a stop no longer waits for work in flight.
    pub longest_stop: Duration,
    /// Where spans go.
    pub traces: Traces,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Config {
    /// Checks the settings against each other.
    ///
    /// # Errors
    ///
    /// Names the wrong setting and the way out.
    pub fn validated(self) -> Result<Self> {
        let check_name = |flag, example, text: &SmolStr| {
            ensure!(!text.trim().is_empty(), EmptyNameSnafu { flag, example });
            Ok(())
        };
        check_name("name", "h1", &self.host.name)?;
        check_name("domain", "vestland", &self.host.domain)?;
        let addresses = [
            ("http", self.host.http),
            ("hop", self.host.hop),
            ("exchange", self.host.exchange),
        ];
        for (first, second) in [(0, 1), (0, 2), (1, 2)] {
            let ((first, addr), (second, other)) = (addresses[first], addresses[second]);
            let is_duplicate = addr == other && addr.port() != 0;
            ensure!(
                !is_duplicate,
                DuplicateAddressSnafu {
                    first,
                    second,
                    addr
                }
            );
        }
        let (longest_stop_ms, lame_duck_ms) =
            (self.longest_stop.as_millis(), self.lame_duck.as_millis());
        ensure!(
            longest_stop_ms > lame_duck_ms,
            StopTooShortSnafu {
                longest_stop_ms,
                lame_duck_ms
            }
        );
        Ok(self)
    }
}
