//! How the stand-ins start and end.

use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure};
use log::LevelFilter;
use serde::Serialize;
use simplelog::{ConfigBuilder, WriteLogger};
use tokio::signal::unix::{SignalKind, signal};

use crate::{config, serve};

/// The width of messages on the terminal, in characters.
const MESSAGE_WIDTH: usize = 100;

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Stopped as asked.
    Success = 0,
    /// Failed while running.
    Failure = 1,
    /// A setting is wrong.
    Settings = 2,
    /// An address cannot be listened on.
    Listen = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Reads the command line and checks it.
///
/// # Errors
///
/// Returns how the process ends, after printing why; also for `--help`.
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

/// Runs `serve` until it fails or the process is asked to stop.
pub fn run(log: LevelFilter, serve: impl Future<Output = serve::Result<()>>) -> Exit {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    if let Err(error) = WriteLogger::init(log, config, std::io::stderr()) {
        eprintln!("error: the log cannot be set up: {error}; start a single logger");
        return Exit::Failure;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: no threads can be started: {error}; raise the limit of processes");
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

/// Prints where the process listens, as one line of JSON.
pub fn announce(listening: &impl Serialize) {
    match serde_json::to_string(listening) {
        Ok(line) => println!("{line}"),
        Err(error) => log::error!("cannot print where the process listens: {error}"),
    }
}
