//! The operators' command line of rattanmast.

mod cli;
mod config;
mod error;
mod exit;
mod hosts;
mod inspection;
mod output;
mod planning;

use std::{process::ExitCode, time::Duration};

use bpaf::{Args, ParseFailure};
use cli::Command;
use config::Settings;
use exit::Code;
use rattanmast_wire::store::Client;

/// Width of the help text.
const HELP_COLUMNS: usize = 100;

fn main() -> ExitCode {
    run().into()
}

fn run() -> Code {
    let options = match cli::options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            return match failure {
                ParseFailure::Stderr(_) => Code::Input,
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Code::Ok,
            };
        }
    };
    let log = simplelog::Config::default();
    if let Err(error) = simplelog::WriteLogger::init(options.log, log, std::io::stderr()) {
        eprintln!("log cannot be started: {error}");
        return Code::Failed;
    }
    let (settings, command) = match Settings::new(options) {
        Ok(parts) => parts,
        Err(error) => {
            eprintln!("{error}");
            return Code::Input;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("runtime cannot be started ({error}); raise the limits of the process");
            return Code::Failed;
        }
    };
    let result = runtime.block_on(execute(&settings, &command));
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        error.code()
    })
}

async fn execute(settings: &Settings, command: &Command) -> error::Result<Code> {
    let store = Client::new(settings.platform);
    match command {
        Command::Plan { out, target } => {
            planning::plan(settings, &store, target, out.as_deref()).await
        }
        Command::Confirm { by, wait, plan } => {
            let wait = Duration::from_secs(*wait);
            planning::confirm(settings, &store, plan, by, wait).await
        }
        Command::Status { hosts } => inspection::status(settings, &store, hosts).await,
        Command::History { count } => inspection::history(settings, &store, *count).await,
        Command::Explain { name } => inspection::explain(settings, &store, name).await,
    }
}
