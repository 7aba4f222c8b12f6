//! Stands in for leafs of an installation.

use std::process::ExitCode;

use rattanmast_fakes::{cli, config, exit, leafs};

fn main() -> ExitCode {
    match exit::read_settings(cli::leaf(), config::Leaf::check) {
        Ok(config) => exit::run(config.log, leafs::run(config)).into(),
        Err(exit) => exit.into(),
    }
}
