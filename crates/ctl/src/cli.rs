//! The command-line options.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use log::LevelFilter;
use smol_str::SmolStr;

/// Plans and confirms configurations of rattanmast, and shows the current one.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Address of the platform's object service.
    #[bpaf(env("RATTANMAST_PLATFORM"), argument("IP:PORT"))]
    pub platform: SocketAddr,
    /// Print JSON.
    pub json: bool,
    /// Lowest severity to log on standard error: off, error, warn, info or debug.
    #[bpaf(
        env("RATTANMAST_LOG"),
        argument("LEVEL"),
        fallback(LevelFilter::Warn),
        display_fallback
    )]
    pub log: LevelFilter,
    /// Command to run.
    #[bpaf(external)]
    pub command: Command,
}

/// Available commands:
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Show what an intent or a rollback would change.
    #[bpaf(command)]
    Plan {
        /// Write the plan to this file, for `confirm`.
        #[bpaf(argument("FILE"), optional)]
        out: Option<PathBuf>,
        #[bpaf(external)]
        target: Target,
    },
    /// Apply a plan: exactly the changes that it shows, or none.
    #[bpaf(command)]
    Confirm {
        /// Name to record with the change.
        #[bpaf(env("USER"), argument("NAME"))]
        by: String,
        /// Seconds to wait until more than half of the watchers have the change.
        #[bpaf(
            env("RATTANMAST_WAIT"),
            argument("SECONDS"),
            fallback(10),
            display_fallback
        )]
        wait: u64,
        /// Plan file written by `plan --out`.
        #[bpaf(positional("PLAN"))]
        plan: PathBuf,
    },
    /// Show the configuration version of each host, and which hosts are behind.
    #[bpaf(command)]
    Status {
        /// HTTP address of a host to query without reading the platform; may be repeated.
        #[bpaf(long("host"), argument("IP:PORT"))]
        hosts: Vec<SocketAddr>,
    },
    /// Show who changed what, newest first.
    #[bpaf(command)]
    History {
        /// Number of changes to show.
        #[bpaf(argument("N"), fallback(20), display_fallback)]
        count: u64,
    },
    /// Explain the current configuration of a search, caller, collection or host.
    #[bpaf(command)]
    Explain {
        /// Name of the search, caller, collection or host.
        #[bpaf(positional("NAME"))]
        name: SmolStr,
    },
}

/// Configuration to plan:
#[derive(Clone, Debug, Bpaf)]
pub enum Target {
    /// Plan a rollback to the content of this version, as a new version.
    Rollback(#[bpaf(long("rollback"), argument("VERSION"))] u64),
    /// Plan the configuration that an intent file describes.
    Intent(#[bpaf(positional("INTENT"))] PathBuf),
}
