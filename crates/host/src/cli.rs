//! Command-line options.

use std::{net::SocketAddr, time::Duration};

use bpaf::Bpaf;
use log::{LevelFilter, SetLoggerError};
use rattanmast_host::config::{Config, Result, Traces};
use rattanmast_model::host::Host;
use simplelog::{ConfigBuilder, WriteLogger};
use smol_str::SmolStr;

/// Entry host of rattanmast: serves callers, dispatches requests to leafs and claims orders.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Name of this host in the roster, for example h1.
    #[bpaf(env("RATTANMAST_NAME"), argument("NAME"))]
    name: String,
    /// Failure domain of this host, for example vestland.
    #[bpaf(env("RATTANMAST_DOMAIN"), argument("DOMAIN"))]
    domain: String,
    /// Listen address for callers, operators and the load balancer (HTTP).
    #[bpaf(env("RATTANMAST_HTTP"), argument("IP:PORT"))]
    http: SocketAddr,
    /// Listen address for queries and orders from other hosts (gRPC).
    #[bpaf(env("RATTANMAST_HOP"), argument("IP:PORT"))]
    hop: SocketAddr,
    /// Listen address for the exchange of state with other hosts (tarpc).
    #[bpaf(env("RATTANMAST_EXCHANGE"), argument("IP:PORT"))]
    exchange: SocketAddr,
    /// Address of the platform's object store.
    #[bpaf(env("RATTANMAST_PLATFORM"), argument("IP:PORT"))]
    platform: SocketAddr,
    /// Exchange addresses of other hosts, separated by commas; required to start while the platform is down.
    #[bpaf(
        env("RATTANMAST_SEEDS"),
        argument::<String>("IP:PORT,..."),
        parse(parse_addresses),
        fallback(Vec::new())
    )]
    seeds: Vec<SocketAddr>,
    /// Milliseconds on shutdown for which the host reports not ready but still accepts requests.
    #[bpaf(
        env("RATTANMAST_LAME_DUCK_MS"),
        argument("MS"),
        fallback(5_000),
        display_fallback
    )]
    lame_duck_ms: u64,
    /// Maximum duration of a shutdown in milliseconds; requests still in flight are then answered as unknown.
    #[bpaf(
        env("RATTANMAST_LONGEST_STOP_MS"),
        argument("MS"),
        fallback(60_000),
        display_fallback
    )]
    longest_stop_ms: u64,
    /// Destination of trace spans: off, log, or the address of an OTLP collector (gRPC).
    #[bpaf(
        env("RATTANMAST_TRACES"),
        argument::<String>("off|log|IP:PORT"),
        parse(parse_traces),
        fallback(Traces::Off)
    )]
    traces: Traces,
    /// Log level: off, error, warn, info, debug or trace.
    #[bpaf(
        env("RATTANMAST_LOG"),
        argument("LEVEL"),
        fallback(LevelFilter::Info),
        display_fallback
    )]
    log: LevelFilter,
    /// Seed of the random number generators; taken from the clock by default.
    #[bpaf(env("RATTANMAST_SEED"), argument("N"), optional)]
    seed: Option<u64>,
}

fn parse_addresses(text: String) -> std::result::Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(str::trim).filter(|s| !s.is_empty());
    parts
        .map(|part| {
            let parsed = part.parse::<SocketAddr>();
            parsed.map_err(|_| {
                format!("{part} is not of the form IP:PORT; give addresses such as 10.0.0.1:7003")
            })
        })
        .collect()
}

fn parse_traces(text: String) -> std::result::Result<Traces, String> {
    match text.as_str() {
        "off" => Ok(Traces::Off),
        "log" => Ok(Traces::Log),
        addr => addr.parse().map(Traces::Otlp).map_err(|_| {
            format!("{addr} is not valid; use off, log or an address of the form IP:PORT")
        }),
    }
}

impl Options {
    /// Initialises logging to standard error.
    pub fn init_logging(&self) -> std::result::Result<(), SetLoggerError> {
        let config = ConfigBuilder::new()
            .set_time_format_rfc3339()
            .add_filter_allow_str("rattanmast")
            .add_filter_allow_str("trace")
            .build();
        WriteLogger::init(self.log, config, std::io::stderr())
    }

    /// Converts the options into validated settings.
    pub fn config(self) -> Result<Config> {
        let config = Config {
            host: Host {
                name: SmolStr::from(self.name),
                domain: SmolStr::from(self.domain),
                http: self.http,
                hop: self.hop,
                exchange: self.exchange,
                link_mbps: 0,
                cpu_millis: 0,
            },
            platform: self.platform,
            seeds: self.seeds,
            lame_duck: Duration::from_millis(self.lame_duck_ms),
            max_stop: Duration::from_millis(self.longest_stop_ms),
            traces: self.traces,
            seed: self.seed.unwrap_or_else(rattanmast_host::clock::unix_ns),
        };
        config.validated()
    }
}
