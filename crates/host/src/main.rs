//! Command-line entry point of the rattanmast entry host.

mod cli;
mod exit;

use exit::Code;
use rattanmast_host::{Host, Listeners};
use std::process::ExitCode;

fn main() -> ExitCode {
    run().into()
}

fn run() -> Code {
    let options = cli::options().run();
    if let Err(error) = options.init_logging() {
        eprintln!("cannot initialise the logger: {error}");
        return Code::Software;
    }
    let config = match options.config() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return Code::Settings;
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!(
                "cannot start the async runtime ({error}); raise the resource limits of the process"
            );
            return Code::Software;
        }
    };
    runtime.block_on(async {
        let listeners = match Listeners::bind(&config.host).await {
            Ok(listeners) => listeners,
            Err(error) => {
                eprintln!("{error}");
                return Code::Address;
            }
        };
        match Host::start(config, listeners) {
            Ok(host) => host.run_until_signal().await,
            Err(error) => {
                eprintln!("{error}");
                return Code::Settings;
            }
        }
        Code::Ok
    })
}
