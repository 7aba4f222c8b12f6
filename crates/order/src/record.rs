//! Stored types of the claim log: batches of records, and checkpoints.

use rattanmast_model::host;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Maximum size of a stored result. Of an order with a longer result, only the fact that it
/// ran is stored.
pub const MAX_RESULT_BYTES: usize = 1024;

/// Maximum size of the records in one object, well under the platform's limit of 1 MB.
pub const MAX_OBJECT_BYTES: usize = 512 << 10;

/// The process that holds claims: a host and the incarnation of its process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder(pub host::Name, pub host::Incarnation);

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// No outcome is recorded yet.
    #[serde(rename = "c")]
    Open,
    /// The order did not run; the key may be claimed again.
    #[serde(rename = "n")]
    NotRun,
    /// The order may have run.
    #[serde(rename = "u")]
    Unknown,
    /// The order ran; holds the result unless it exceeds [`MAX_RESULT_BYTES`].
    #[serde(rename = "d")]
    Done(Option<SmolStr>),
}

/// A claim of a key, or the outcome of a claim.
///
/// Serialized as an array without field names, to keep batches small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Fields", from = "Fields")]
pub struct Record {
    /// Identity of the key.
    pub id: [u64; 2],
    /// The time in the key, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Hash of the order's content, see [`crate::key::digest`].
    pub digest: u64,
    /// Number of the claim among those of this key, from 1; 0 in the outcome of a claim.
    pub attempt: u32,
    /// Random number that identifies the claim.
    pub nonce: u64,
    /// Index of the holder in [`Batch::holders`].
    pub holder_index: u32,
    /// State of the claim.
    pub state: State,
}

type Fields = ([u64; 2], u64, u64, u32, u64, u32, State);

impl From<Record> for Fields {
    fn from(r: Record) -> Self {
        (
            r.id,
            r.time_ms,
            r.digest,
            r.attempt,
            r.nonce,
            r.holder_index,
            r.state,
        )
    }
}

impl From<Fields> for Record {
    fn from((id, time_ms, digest, attempt, nonce, holder_index, state): Fields) -> Self {
        Self {
            id,
            time_ms,
            digest,
            attempt,
            nonce,
            holder_index,
            state,
        }
    }
}

impl Record {
    /// Returns an upper bound of the record's serialized size.
    pub fn max_bytes(&self) -> usize {
        // Five numbers of at most 20 digits, two of at most 10, and punctuation. JSON
        // escapes lengthen a byte of the result to at most six.
        let result_bytes = match &self.state {
            State::Done(Some(result)) => 6 * result.len(),
            _ => 0,
        };
        148 + result_bytes
    }
}

/// An object of the log: a batch, or a segment of a checkpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Random number that identifies the batch, to find out whose create took effect.
    pub nonce: u64,
    /// Low watermark in milliseconds since the Unix epoch; older keys are refused.
    #[serde(rename = "low")]
    pub low_watermark_ms: u64,
    /// Holders that the records refer to by index.
    pub holders: Vec<Holder>,
    /// Claims and outcomes of claims.
    pub records: Vec<Record>,
}

/// The compacted start of the log, as a list of segments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Sequence number of the last batch that the checkpoint covers.
    pub sequence: u64,
    /// Low watermark in milliseconds since the Unix epoch.
    #[serde(rename = "low")]
    pub low_watermark_ms: u64,
    /// Objects that hold the checkpoint's records, in replay order.
    pub segments: Vec<Segment>,
}

/// An object that holds records of a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Name of the object.
    pub name: String,
    /// Newest time in the object's keys; the segment expires when the low watermark passes it.
    #[serde(rename = "newest")]
    pub newest_ms: u64,
}
