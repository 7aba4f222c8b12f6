//! Helpers to read bodies and build responses with hyper.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Response, StatusCode, body::Body, header};
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

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
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => TooLargeSnafu { limit }.fail(),
        Err(error) => BrokenSnafu {
            why: error.to_string(),
        }
        .fail(),
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
