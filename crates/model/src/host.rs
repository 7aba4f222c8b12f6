//! Names of hosts, their processes and failure domains.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The name of a host; a replaced host may have the same name.
pub type Name = SmolStr;

/// The name of a failure domain.
pub type Domain = SmolStr;

/// One run of a process; a restarted process has a larger one.
///
/// Taken from the wall clock at the start, in nanoseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// A small key of a host in the roster of one configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u16);

/// A host as the roster lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name, unique in the roster.
    pub name: Name,
    /// The failure domain that the host runs in.
    pub domain: Domain,
    /// Where callers and operators reach the host over HTTP.
    pub http: SocketAddr,
    /// Where other hosts reach the host's tonic service.
    pub hop: SocketAddr,
    /// Where other hosts reach the host's tarpc service.
    pub exchange: SocketAddr,
    /// What the host's network link carries, in megabits a second; zero if it is not known.
    #[serde(skip)]
    pub link_mbps: u32,
}

/// The platform's word about a host or leaf; it lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes work.
    #[default]
    Live,
    /// Takes no new work and stops soon.
    Leaving,
}
