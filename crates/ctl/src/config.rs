//! The settings of one command.

use std::{io::IsTerminal as _, net::SocketAddr, time::Duration};

use rattanmast_model::wall::Wall;

use crate::cli::{Command, Options};

/// The longest wait for a change to be accepted, in seconds.
const LONGEST_WAIT: u64 = 3600;

/// The settings of one command.
#[derive(Clone, Debug)]
pub struct Config {
    /// The platform's object service.
    pub platform: SocketAddr,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether to colour the output.
    pub color: bool,
    /// Returns the wall clock, in milliseconds since the Unix epoch.
    pub now_ms: fn() -> u64,
    /// How long a host has to answer.
    pub reply: Duration,
}

impl Config {
    /// Checks the options and splits them into settings and command.
    ///
    /// # Errors
    ///
    /// Names the wrong setting and the remedy.
    pub fn new(options: Options) -> Result<(Self, Command), String> {
        match &options.command {
            Command::Confirm { by, .. } if by.trim().is_empty() => {
                return Err("--by is empty; give your name".to_owned());
            }
            Command::Confirm { wait, .. } if *wait > LONGEST_WAIT => {
                return Err(format!(
                    "--wait {wait} is too long; at most {LONGEST_WAIT} seconds"
                ));
            }
            _ => {}
        }
        let plain = std::env::var_os("NO_COLOR").is_some_and(|v| !v.is_empty());
        let config = Self {
            platform: options.platform,
            json: options.json,
            color: !options.json && !plain && std::io::stdout().is_terminal(),
            now_ms: || Wall::System.now_ms(),
            reply: Duration::from_secs(1),
        };
        Ok((config, options.command))
    }
}
