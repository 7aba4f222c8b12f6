//! Runs a complete installation in one process and prints the responses that a caller gets.

mod cli;
mod demo;
mod exit;

use std::{process::ExitCode, time::Instant};

use exit::Code;

fn main() -> ExitCode {
    let started = Instant::now();
    let config = match cli::options().run().config() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return Code::Settings.into();
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("runtime cannot be started ({error}); raise the limits of the process");
            return Code::Failed.into();
        }
    };
    match runtime.block_on(demo::run(&config, started)) {
        Ok(()) => Code::Ok.into(),
        Err(error) => {
            eprintln!("{error}");
            Code::Failed.into()
        }
    }
}
