//! Hosts, their incarnations, failure domains and state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The name of a host; a replacement host may reuse it.
pub type Name = SmolStr;

/// The name of a failure domain.
pub type Domain = SmolStr;

/// Identifies one run of a process; it increases with each restart.
///
/// The value is the wall-clock time at process start, in nanoseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// A compact index of a host, valid within the roster of one configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u16);

/// A roster entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name, unique in the roster.
    pub name: Name,
    /// The failure domain that the host runs in.
    pub domain: Domain,
    /// The address of the HTTP interface for callers and operators.
    pub http: SocketAddr,
    /// The address of the gRPC (tonic) service for other hosts.
    pub hop: SocketAddr,
    /// The address of the tarpc exchange service for other hosts.
    pub exchange: SocketAddr,
    /// The bandwidth of the host's network link, in Mbit/s; 0 if unknown.
    #[serde(skip)]
    pub link_mbps: u32,
    /// The host's share of processor time, in thousandths of a core; 0 if unknown.
    #[serde(skip)]
    pub cpu_millis: u32,
}

/// The state of a host or leaf as the platform lists it, which lags behind the actual state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts work.
    #[default]
    Live,
    /// Accepts no new work and is about to stop.
    Leaving,
}
