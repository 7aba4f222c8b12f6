//! Runs the whole path in one process and prints what a caller sees.

mod cli;
mod exit;
mod show;

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
    match runtime.block_on(show::run(&config, started)) {
        Ok(()) => Code::Ok.into(),
        Err(error) => {
            eprintln!("{error}");
            Code::Failed.into()
        }
    }
}
