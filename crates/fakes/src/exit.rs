//! Startup and exit of the stand-ins.

use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure};
use log::LevelFilter;
use serde::Serialize;
use simplelog::{ConfigBuilder, WriteLogger};
use tokio::signal::unix::{SignalKind, signal};

use crate::{config, serve};

/// The width to which help texts are wrapped, in characters.
const MESSAGE_WIDTH: usize = 100;

/// The exit status of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Stopped on request.
    Success = 0,
    /// Failed while running.
    Failure = 1,
    /// A setting is invalid.
    Settings = 2,
    /// An address cannot be listened on.
    Listen = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Parses and validates the command line.
///
/// # Errors
///
/// Prints a message and returns the exit status; also for `--help`.
pub fn read_settings<T, C>(
    parser: OptionParser<T>,
    check: impl Fn(&T) -> config::Result<C>,
) -> Result<C, Exit>
where
    T: 'static,
{
    let cli = match parser.run_inner(Args::current_args()) {
        Ok(cli) => cli,
        Err(ParseFailure::Stderr(text)) => {
            eprintln!("error: {}", text.monochrome(true));
            return Err(Exit::Settings);
        }
        Err(message) => {
            message.print_message(MESSAGE_WIDTH);
            return Err(Exit::Success);
        }
    };
    check(&cli).map_err(|error| {
        eprintln!("error: {error}");
        Exit::Settings
    })
}

/// Runs `serve` until it fails or the process receives SIGTERM or SIGINT.
pub fn run(log: LevelFilter, serve: impl Future<Output = serve::Result<()>>) -> Exit {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    if let Err(error) = WriteLogger::init(log, config, std::io::stderr()) {
        eprintln!("error: cannot initialize the logger: {error}; install only one logger");
        return Exit::Failure;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: cannot start threads: {error}; raise the process limit");
            return Exit::Failure;
        }
    };
    let exit = runtime.block_on(async {
        let stopped = async {
            let (Ok(mut term), Ok(mut int)) = (
                signal(SignalKind::terminate()),
                signal(SignalKind::interrupt()),
            ) else {
                return Exit::Failure;
            };
            tokio::select! {
                _ = term.recv() => Exit::Success,
                _ = int.recv() => Exit::Success,
            }
        };
        tokio::select! {
            exit = stopped => exit,
            result = serve => match result {
                Ok(()) => Exit::Success,
                Err(error) => {
                    eprintln!("error: {error}");
                    Exit::Listen
                }
            },
        }
    });
    runtime.shutdown_background();
    exit
}

/// Prints the listening addresses as one line of JSON.
pub fn announce(listening: &impl Serialize) {
    match serde_json::to_string(listening) {
        Ok(line) => println!("{line}"),
        Err(error) => log::error!("cannot print the listening addresses: {error}"),
    }
}
