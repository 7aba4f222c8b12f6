//! What the claim log holds.

use rattanmast_model::host;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The longest result that is kept, in bytes; of a longer one only the fact that it ran is kept.
pub const RESULT_LIMIT: usize = 1024;

/// The most bytes of records in one object; well under the platform's limit of 1 MB.
pub const OBJECT_LIMIT: usize = 512 << 10;

/// A process run that claimed keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder(pub host::Name, pub host::Incarnation);

/// What became of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Claimed, without an outcome yet.
    #[serde(rename = "c")]
    Open,
    /// Not run; the key may be claimed again.
    #[serde(rename = "n")]
    NotRun,
    /// It may have run.
    #[serde(rename = "u")]
    Unknown,
    /// It ran; the result if it was short enough.
    #[serde(rename = "d")]
    Done(Option<SmolStr>),
}

/// A claim, or the outcome of a claim, of one key.
///
/// The fields are written as an array without names, to keep batches small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Fields", from = "Fields")]
pub struct Record {
    /// The key's identity.
    pub id: [u64; 2],
    /// The time in the key, in milliseconds since the Unix epoch.
    pub ms: u64,
    /// A hash of the order's content.
    pub digest: u64,
    /// The number of the claim of this key, from 1; 0 for the outcome of a claim.
    pub attempt: u32,
    /// Identifies the claim.
    pub nonce: u64,
    /// The position of the holder in the batch's list.
    pub holder: u32,
    /// What became of it.
    pub state: State,
}

type Fields = ([u64; 2], u64, u64, u32, u64, u32, State);

impl From<Record> for Fields {
    fn from(r: Record) -> Self {
        (r.id, r.ms, r.digest, r.attempt, r.nonce, r.holder, r.state)
    }
}

impl From<Fields> for Record {
    fn from((id, ms, digest, attempt, nonce, holder, state): Fields) -> Self {
        Self {
            id,
            ms,
            digest,
            attempt,
            nonce,
            holder,
            state,
        }
    }
}

impl Record {
    /// Returns the most bytes that the record takes in an object.
    pub fn size(&self) -> usize {
        // Five numbers of at most 20 digits, two of at most 10, and punctuation. A
        // byte of a result takes at most six when it is escaped.
        let result = match &self.state {
            State::Done(Some(result)) => 6 * result.len(),
            _ => 0,
        };
        148 + result
    }
}

/// An object of the log: a batch, or a part of a checkpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Identifies the object's content, to tell whose create took effect.
    pub nonce: u64,
    /// Keys older than this are refused, in milliseconds since the Unix epoch.
    pub low: u64,
    /// The holders that records refer to.
    pub holders: Vec<Holder>,
    /// Claims and outcomes.
    pub records: Vec<Record>,
}

/// Where the log starts: the checkpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The last batch that the checkpoint covers.
    pub sequence: u64,
    /// The low watermark.
    pub low: u64,
    /// The objects that hold the checkpoint's records, in order of replay.
    pub segments: Vec<Segment>,
}

/// An object of a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The object's name.
    pub name: String,
    /// The newest time in its keys; the object is dropped when the low watermark passes it.
    pub newest: u64,
}
