//! Messages of the gossip protocol by which hosts exchange membership and platform objects.

use std::{future::Future, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{config, host, leaf, peer, store};

/// The maximum number of rumors, and of leaving leafs, in one digest.
pub const MAX_RUMORS: usize = 8;

/// The maximum number of objects listed in one digest.
pub const MAX_OBJECTS: usize = 64;

/// The maximum total size of the objects in one reply, in bytes.
///
/// Objects that do not fit are fetched with the next exchange.
pub const MAX_REPLY_BYTES: usize = 3 * store::MAX_VALUE_BYTES;

/// A summary of a host's objects and of its view of the other hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The name of the sender.
    pub host: host::Name,
    /// The sender's incarnation.
    pub incarnation: host::Incarnation,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Whether the sender is a watcher that cannot reach the platform.
    pub down: bool,
    /// Whether the sender has had proof, since it started, that its configuration is in force.
    pub informed: bool,
    /// The configuration in force at the sender.
    pub config: config::Version,
    /// The platform's object version of that configuration; 0 if the sender has none.
    pub object: store::Version,
    /// The sender's proof of the configuration in force.
    ///
    /// Only valid in a reply: the receiver of a request cannot bound its network time, and so
    /// not the age of the proof.
    pub confirmed: Option<Proof>,
    /// A hash over the names and versions of all objects that the sender has.
    pub summary: u64,
    /// The names and versions of the sender's objects if the summaries differ; at most
    /// [`MAX_OBJECTS`].
    pub objects: Vec<(SmolStr, store::Version)>,
    /// Recent changes in the state of hosts; at most [`MAX_RUMORS`].
    pub rumors: Vec<Rumor>,
    /// Leafs that are leaving; at most [`MAX_RUMORS`].
    pub leafs: Vec<Leaving>,
}

/// Proof that, as of `age_ms` ago, no configuration newer than `version` had been accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The platform's version of the configuration.
    pub version: store::Version,
    /// The age of the proof, in milliseconds.
    pub age_ms: u32,
    /// How the proof was obtained.
    pub source: Source,
}

/// How a proof that a configuration is in force was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// A host read the version from the platform.
    Platform,
    /// A majority of the watchers reported their versions while the platform was down.
    Watchers,
}

/// A report on the state of a host, passed on by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The name of the host.
    pub host: host::Name,
    /// The incarnation of the host that the report is about.
    pub incarnation: host::Incarnation,
    /// A counter within the incarnation; only the host itself increments it, to refute a suspicion.
    pub counter: u32,
    /// The reported state.
    pub state: Liveness,
}

/// The reported state of a host.
///
/// Among reports of equal incarnation and counter, the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// The host answers.
    Alive,
    /// The host did not answer at least one other host.
    Suspect,
    /// The host announced that it is stopping.
    Leaving,
}

/// A notice that a leaf is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The name of the leaf.
    pub leaf: leaf::Name,
    /// Time since the leaf announced it, in milliseconds.
    pub age_ms: u32,
}

/// A request for objects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The names of the objects, each with the version that the sender has; 0 if it has none.
    pub wants: Vec<(SmolStr, store::Version)>,
}

/// A version of an object, sent as a full value or as deltas against an earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The object's name.
    pub name: SmolStr,
    /// The platform's version of the object.
    pub version: store::Version,
    /// The first 8 bytes of the SHA-256 hash of the resulting value.
    pub check: [u8; 8],
    /// The value, in full or as deltas.
    pub body: Body,
}

/// The value of an object in an [`Update`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The full value.
    Whole(Vec<u8>),
    /// Deltas from the version that the receiver named, each applied to the result of the
    /// previous one.
    Steps(Vec<Vec<Piece>>),
}

/// One instruction of a delta; the outputs of a delta's pieces are concatenated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// Copies bytes of the old value: offset and length, in bytes.
    Copy(u32, u32),
    /// Inserts these bytes.
    Insert(Vec<u8>),
}

impl Piece {
    /// Returns the maximum encoded size of the piece, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        /// A variant tag and two variable-length integers of up to 5 bytes each.
        const MAX_HEADER_BYTES: usize = 11;
        match self {
            Self::Copy(..) => MAX_HEADER_BYTES,
            Self::Insert(bytes) => MAX_HEADER_BYTES + bytes.len(),
        }
    }
}

impl Update {
    /// Returns the maximum encoded size of the object's value, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        match &self.body {
            Body::Whole(value) => value.len(),
            Body::Steps(steps) => steps.iter().flatten().map(Piece::max_encoded_len).sum(),
        }
    }
}

/// A message to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Compares the objects and membership views of both hosts.
    Exchange(Digest),
    /// Requests objects.
    Fetch(Fetch),
    /// Announces that the sender is stopping.
    Leave(Rumor),
}

/// The reply to a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Answers [`Message::Exchange`] with the receiver's digest.
    Digest(Digest),
    /// Answers [`Message::Fetch`] with those objects of which the receiver has a newer version.
    Updates(Vec<Update>),
    /// Acknowledges [`Message::Leave`].
    Noted,
}

/// A client of other hosts' exchange service.
pub trait Exchange: Clone + Send + Sync + 'static {
    /// Sends `message` to the host that listens at `addr`.
    fn call(
        &self,
        addr: SocketAddr,
        message: Message,
        timeout: Duration,
    ) -> impl Future<Output = peer::Result<Reply>> + Send;
}

/// The server side of the exchange service.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers `message`.
    fn handle(&self, message: Message) -> impl Future<Output = Reply> + Send;
}
