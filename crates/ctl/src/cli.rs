//! The options as operators type them.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;
use log::LevelFilter;
use smol_str::SmolStr;

/// Plans and confirms configurations of rattanmast, and shows what is in force.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Address of the platform's object service.
    #[bpaf(env("RATTANMAST_PLATFORM"), argument("IP:PORT"))]
    pub platform: SocketAddr,
    /// Print JSON.
    pub json: bool,
    /// Least severe messages to log on standard error: off, error, warn, info or debug.
    #[bpaf(
        env("RATTANMAST_LOG"),
        argument("LEVEL"),
        fallback(LevelFilter::Warn),
        display_fallback
    )]
    pub log: LevelFilter,
    /// What to do.
    #[bpaf(external)]
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Show what an intent, or going back to an earlier version, would change.
    #[bpaf(command)]
    Plan {
        /// Write the plan to this file, for `confirm`.
        #[bpaf(argument("FILE"), optional)]
        out: Option<PathBuf>,
        #[bpaf(external)]
        aim: Aim,
    },
    /// Put a plan in force: exactly what was shown, or nothing.
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
        /// Plan that `plan` wrote.
        #[bpaf(positional("PLAN"))]
        plan: PathBuf,
    },
    /// Show which configuration each host has, and who is behind.
    #[bpaf(command)]
    Status {
        /// Ask this host alone, without the platform (HTTP address); may be repeated.
        #[bpaf(long("host"), argument("IP:PORT"))]
        hosts: Vec<SocketAddr>,
    },
    /// Show who changed what, the newest first.
    #[bpaf(command)]
    History {
        /// Number of changes to show.
        #[bpaf(argument("N"), fallback(20), display_fallback)]
        count: u64,
    },
    /// Explain what is in force for a search, caller, collection or host.
    #[bpaf(command)]
    Explain {
        /// Name of the search, caller, collection or host.
        #[bpaf(positional("NAME"))]
        name: SmolStr,
    },
}

/// What a plan leads to.
#[derive(Clone, Debug, Bpaf)]
pub enum Aim {
    /// Plan to go back to this version, as a new one.
    Rollback(#[bpaf(long("rollback"), argument("VERSION"))] u64),
    /// Plan for an intent file.
    Intent(#[bpaf(positional("INTENT"))] PathBuf),
}
