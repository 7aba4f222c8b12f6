//! Stands in for the platform's object service.

use std::process::ExitCode;

use rattanmast_fakes::{cli, config, exit, platform};

fn main() -> ExitCode {
    match exit::read_settings(cli::platform(), config::Platform::check) {
        Ok(config) => exit::run(config.log, platform::run(config)).into(),
        Err(exit) => exit.into(),
    }
}
