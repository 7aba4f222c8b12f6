//! Helpers to read bodies and build responses with hyper.

use std::{convert::Infallible, pin::pin};

use bytes::{Buf as _, BufMut as _, Bytes};
use http_body_util::{BodyExt as _, Full};
use hyper::{Response, StatusCode, body::Body, header};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt as _, Snafu, ensure};

use crate::memory::{self, Budget, Reservation};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// The error type that body adapters require.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A body that is completely in memory.
pub type FullBody = Full<Bytes>;

/// Why a body could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The body is larger than the limit.
    #[snafu(display("body is over {limit} bytes; send less"))]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The connection failed before the end of the body.
    #[snafu(display("body broke off ({why}); send it again"))]
    Broken {
        /// What the transport returned.
        why: String,
    },
    /// The memory for bodies that are being read is used up.
    #[snafu(display("body cannot be held: {source}"))]
    Memory {
        /// Which limit was reached.
        source: memory::Error,
    },
    /// The body is not the expected JSON.
    #[snafu(display("body is not the expected JSON ({why}); see the interface's description"))]
    Malformed {
        /// What the parser returned.
        why: String,
    },
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the body exceeds the limit and [`Error::Broken`] if it is
/// incomplete.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes>
where
    B: Body,
    B::Error: Into<BoxError>,
{
    let data = collect(body, limit, |_| Ok(())).await?;
    Ok(Bytes::from(data))
}

/// Reads a complete body of at most `limit` bytes, whose memory counts against `budget` until the returned
/// bytes are dropped.
///
/// # Errors
///
/// Returns the errors of [`read_body`], and [`Error::Memory`] if the body is over its share of the budget.
pub async fn read_body_within<B>(body: B, limit: usize, budget: &Budget) -> Result<Bytes>
where
    B: Body,
    B::Error: Into<BoxError>,
{
    let mut reservation = budget.reserve();
    let grow = |capacity| reservation.grow(capacity).context(MemorySnafu);
    let data = collect(body, limit, grow).await?;
    Ok(Bytes::from_owner(Held { data, reservation }))
}

/// A body and the memory that is reserved for it.
struct Held {
    data: Vec<u8>,
    #[expect(dead_code, reason = "returns the memory when it is dropped")]
    reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Copies a body into one buffer, and asks `admit` for each capacity that the buffer grows to.
///
/// The parts of a body are copied, since even one of a single byte keeps the whole buffer that it was read into.
async fn collect<B>(
    body: B,
    limit: usize,
    mut admit: impl FnMut(usize) -> Result<()>,
) -> Result<Vec<u8>>
where
    B: Body,
    B::Error: Into<BoxError>,
{
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    ensure!(stated <= limit, TooLargeSnafu { limit });
    let expected = body.size_hint().exact().map_or(limit, |_| stated);
    let mut body = pin!(body);
    let mut data = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| broken(error.into()))?;
        // Trailers are not used.
        let Ok(part) = frame.into_data() else {
            continue;
        };
        let length = data.len() + part.remaining();
        ensure!(length <= limit, TooLargeSnafu { limit });
        if length > data.capacity() {
            let capacity = length.max(expected.min(2 * data.capacity()));
            admit(capacity)?;
            data.reserve_exact(capacity - data.len());
        }
        data.put(part);
    }
    Ok(data)
}

fn broken(error: BoxError) -> Error {
    Error::Broken {
        why: error.to_string(),
    }
}

/// Parses JSON.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if `bytes` is not the JSON form of a `T`.
pub fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| Error::Malformed {
        why: error.to_string(),
    })
}

/// Serializes `value` as JSON.
///
/// # Panics
///
/// Panics if `value` has no JSON form; all messages of this workspace have one.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("messages have a JSON form"))
}

/// Builds a response with `value` as a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<FullBody> {
    with_content_type(status, "application/json", encode(value))
}

/// Builds a response with a body of the given content type.
pub fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<FullBody> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Builds a response without a body.
pub fn empty(status: StatusCode) -> Response<FullBody> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// The result of a hyper service that never fails.
pub type Answer = std::result::Result<Response<FullBody>, Infallible>;
