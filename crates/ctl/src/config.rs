//! The settings of one command, checked and completed from its options.

use std::{io::IsTerminal as _, net::SocketAddr, time::Duration};

use rattanmast_model::clock::Clock;

use crate::cli::{Command, Options};

/// Upper limit of `--wait`, the time to wait for a change to be accepted.
const MAX_WAIT_SECS: u64 = 3600;

/// The settings of one command.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the platform's object service.
    pub platform: SocketAddr,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether to colour the output.
    pub color: bool,
    /// Returns the wall clock, in milliseconds since the Unix epoch.
    pub now_ms: fn() -> u64,
    /// Timeout of a status request to a host.
    pub reply_timeout: Duration,
}

impl Settings {
    /// Checks the options and splits them into settings and command.
    ///
    /// # Errors
    ///
    /// A message that names the invalid option and the remedy.
    pub fn new(options: Options) -> Result<(Self, Command), String> {
        match &options.command {
            Command::Confirm { by, .. } if by.trim().is_empty() => {
                return Err("--by is empty; give your name".to_owned());
            }
            Command::Confirm { wait, .. } if *wait > MAX_WAIT_SECS => {
                return Err(format!(
                    "--wait {wait} is too long; at most {MAX_WAIT_SECS} seconds"
                ));
            }
            _ => {}
        }
        let no_color = std::env::var_os("NO_COLOR").is_some_and(|v| !v.is_empty());
        let config = Self {
            platform: options.platform,
            json: options.json,
            color: !options.json && !no_color && std::io::stdout().is_terminal(),
            now_ms: || Clock::System.now_ms(),
            reply_timeout: Duration::from_secs(1),
        };
        Ok((config, options.command))
    }
}
