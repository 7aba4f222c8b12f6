//! Command-line options.

use bpaf::Bpaf;
use log::LevelFilter;
use rattanmast_host::config::Traces;
use rattanmast_model::preset::Preset;
use simplelog::{ConfigBuilder, WriteLogger};

use crate::demo::Config;

/// Runs platform, leafs and entry hosts in one process, and sends a query and an order.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Sizes of the installation: norway or switzerland.
    #[bpaf(
        env("RATTANMAST_PRESET"),
        argument("NAME"),
        fallback("norway".to_owned()),
        display_fallback
    )]
    preset: String,
    /// Text to search for.
    #[bpaf(
        env("RATTANMAST_TEXT"),
        argument("TEXT"),
        fallback("profile-03".to_owned()),
        display_fallback
    )]
    text: String,
    /// Print the intent of the installation on the ports of scripts/fleet, and exit.
    #[bpaf(switch)]
    print_intent: bool,
    /// Keep running afterwards, for calls by hand; stop with Ctrl-C.
    #[bpaf(switch)]
    keep: bool,
    /// Log one line for each span.
    #[bpaf(switch)]
    spans: bool,
    /// Seed of random choices.
    #[bpaf(env("RATTANMAST_SEED"), argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Least severe messages to log: off, error, warn, info, debug or trace.
    #[bpaf(
        env("RATTANMAST_LOG"),
        argument("LEVEL"),
        fallback(LevelFilter::Warn),
        display_fallback
    )]
    log: LevelFilter,
}

impl Options {
    /// Initializes logging and returns the validated settings.
    pub fn config(self) -> Result<Config, String> {
        let (log, traces) = match self.spans {
            true => (self.log.max(LevelFilter::Info), Traces::Log),
            false => (self.log, Traces::Off),
        };
        let filter = ConfigBuilder::new()
            .add_filter_allow_str("rattanmast")
            .add_filter_allow_str("trace")
            .build();
        WriteLogger::init(log, filter, std::io::stderr()).map_err(|error| error.to_string())?;
        let preset = Preset::named(&self.preset);
        Ok(Config {
            preset: preset
                .ok_or_else(|| format!("--preset {}: give norway or switzerland", self.preset))?,
            text: self.text,
            print_intent: self.print_intent,
            keep_running: self.keep,
            traces,
            seed: self.seed,
        })
    }
}
