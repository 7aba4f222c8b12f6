//! Settings of an entry host and their validation.

use std::{net::SocketAddr, time::Duration};

use rattanmast_model::host;
use smol_str::SmolStr;
use snafu::{Snafu, ensure};

/// The result of a validation.
pub type Result<T> = std::result::Result<T, Error>;

/// An invalid setting.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A name is empty.
    #[snafu(display("--{flag} is empty; give a name, such as {example}"))]
    EmptyName {
        /// The flag that sets the name, without dashes.
        flag: &'static str,
        /// An example of a valid name.
        example: &'static str,
    },
    /// Two listen addresses are equal.
    #[snafu(display("--{first} and --{second} are both {addr}; give each its own port"))]
    DuplicateAddress {
        /// The flag of the first address, without dashes.
        first: &'static str,
        /// The flag of the second address, without dashes.
        second: &'static str,
        /// The address that both have.
        addr: SocketAddr,
    },
    /// The stop would be cut off before the host refuses new requests.
    #[snafu(display(
        "--longest-stop-ms {longest_stop_ms} must be greater than --lame-duck-ms {lame_duck_ms}; raise it"
    ))]
    StopTooShort {
        /// The maximum duration of a stop, in milliseconds.
        longest_stop_ms: u128,
        /// The duration of the lame-duck phase, in milliseconds.
        lame_duck_ms: u128,
    },
}

/// The destination of trace spans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Traces {
    /// Spans are not recorded; the trace context is still propagated.
    Off,
    /// Each span is written as a log line.
    Log,
    /// Spans are exported to a collector by OTLP over gRPC.
    Otlp(SocketAddr),
}

/// The settings of an entry host.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name, failure domain and listen addresses of this host.
    pub host: host::Host,
    /// The address of the platform's object store.
    pub platform: SocketAddr,
    /// Exchange addresses of other hosts, used to start while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Time on stop for which the host reports not ready but still accepts requests.
    pub lame_duck: Duration,
    /// Maximum duration of a stop; requests still in flight are then answered as unknown.
    pub max_stop: Duration,
    /// The destination of trace spans.
    pub traces: Traces,
    /// Seed of the random number generators, except that of tickets.
    pub seed: u64,
}

impl Config {
    /// Returns the settings if they are valid.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
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
            (self.max_stop.as_millis(), self.lame_duck.as_millis());
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
