//! Messages between hosts for the exchange of state.

use std::{future::Future, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{config, host, leaf, peer, store};

/// The most rumors, and the most leaving leafs, in one digest.
pub const RUMORS: usize = 8;

/// The most objects listed in one digest.
pub const OBJECTS: usize = 64;

/// The most bytes of objects in one reply; what does not fit is fetched with the next exchange.
pub const REPLY_LIMIT: usize = 3 * store::VALUE_LIMIT;

/// What a host has and believes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub host: host::Name,
    /// The sender's process run.
    pub incarnation: host::Incarnation,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Whether the sender is a watcher that cannot reach the platform.
    pub down: bool,
    /// Whether the sender has had proof of its configuration since it started.
    pub informed: bool,
    /// The configuration in force at the sender.
    pub config: config::Version,
    /// The platform's version of that configuration; 0 if the sender has none.
    pub object: store::Version,
    /// What the sender knows to be in force; only valid in a reply, because a request's time on
    /// the way is not known.
    pub confirmed: Option<Confirmed>,
    /// A hash of the names and versions of all objects that the sender has.
    pub summary: u64,
    /// The objects that the sender has, where the summaries differ; at most [`OBJECTS`].
    pub objects: Vec<(SmolStr, store::Version)>,
    /// What the sender has heard of hosts lately; at most [`RUMORS`].
    pub rumors: Vec<Rumor>,
    /// Leafs that are leaving; at most [`RUMORS`].
    pub leafs: Vec<Leaving>,
}

/// That no configuration newer than `version` had been accepted `age_ms` ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The platform's version of the configuration.
    pub version: store::Version,
    /// The age of the knowledge, in milliseconds.
    pub age_ms: u32,
    /// How it is known.
    pub source: Source,
}

/// How a configuration is known to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// A host read the version from the platform.
    Platform,
    /// More than half of the watchers named their versions; the platform is down.
    Watchers,
}

/// What was heard of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The host.
    pub host: host::Name,
    /// The process run that it is about.
    pub incarnation: host::Incarnation,
    /// Raised by the host itself to clear a suspicion.
    pub counter: u32,
    /// What is said.
    pub state: Standing,
}

/// What hosts say of a host; of equal incarnation and counter the later variant counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It answers.
    Alive,
    /// It did not answer someone.
    Suspect,
    /// It said that it is stopping.
    Leaving,
}

/// That a leaf is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The leaf.
    pub leaf: leaf::Name,
    /// Time since the leaf said so, in milliseconds.
    pub age_ms: u32,
}

/// A request for objects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The objects, each with the version that the sender has; 0 if it has none.
    pub wants: Vec<(SmolStr, store::Version)>,
}

/// An object, whole or as a change to an earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The object's name.
    pub name: SmolStr,
    /// The platform's version of the object.
    pub version: store::Version,
    /// The first 8 bytes of the SHA-256 of the value.
    pub check: [u8; 8],
    /// The value.
    pub body: Body,
}

/// The value of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// All of it.
    Whole(Vec<u8>),
    /// Steps from the version that the receiver named, each applied to the result of the last.
    Steps(Vec<Vec<Piece>>),
}

/// A piece of a new value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// Bytes of the old value: offset and length.
    Copy(u32, u32),
    /// New bytes.
    Insert(Vec<u8>),
}

impl Piece {
    /// Returns the bytes that the piece takes in a message, at most.
    pub fn bytes(&self) -> usize {
        /// A tag and two numbers of up to 5 bytes.
        const MAX_HEADER_BYTES: usize = 11;
        match self {
            Self::Copy(..) => MAX_HEADER_BYTES,
            Self::Insert(bytes) => MAX_HEADER_BYTES + bytes.len(),
        }
    }
}

impl Update {
    /// Returns the bytes that the object's value takes in a message, at most.
    pub fn bytes(&self) -> usize {
        match &self.body {
            Body::Whole(value) => value.len(),
            Body::Steps(steps) => steps.iter().flatten().map(Piece::bytes).sum(),
        }
    }
}

/// A message to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Compares what both have.
    Exchange(Digest),
    /// Asks for objects.
    Fetch(Fetch),
    /// Says that the sender is stopping.
    Leave(Rumor),
}

/// The reply to a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Message::Exchange`].
    Digest(Digest),
    /// To [`Message::Fetch`]: those objects of which the receiver has a newer version.
    Updates(Vec<Update>),
    /// To [`Message::Leave`].
    Noted,
}

/// Calls to other hosts' exchange service.
pub trait Exchange: Clone + Send + Sync + 'static {
    /// Sends `message` to the host that listens at `addr`.
    fn call(
        &self,
        addr: SocketAddr,
        message: Message,
        timeout: Duration,
    ) -> impl Future<Output = peer::Result<Reply>> + Send;
}

/// What answers other hosts' calls.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers `message`.
    fn handle(&self, message: Message) -> impl Future<Output = Reply> + Send;
}
