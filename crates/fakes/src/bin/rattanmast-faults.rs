//! Forwards TCP connections and injects faults.

use std::process::ExitCode;

use rattanmast_fakes::{cli, config, exit, proxy};

fn main() -> ExitCode {
    match exit::read_settings(cli::faults(), config::Faults::check) {
        Ok(config) => exit::run(config.log, proxy::run(config)).into(),
        Err(exit) => exit.into(),
    }
}
