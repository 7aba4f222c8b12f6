//! Helpers for bodies and answers over hyper.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Response, StatusCode, body::Body, header};
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// The error type of bodies in general, as the body libraries define it.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A whole body.
pub type Whole = Full<Bytes>;

/// Why a body could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The body is larger than the limit.
    #[snafu(display("body is over {limit} bytes; send less"))]
    Large {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The connection broke.
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

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`Error::Large`] beyond the limit and [`Error::Broken`] if it broke off.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes>
where
    B: Body,
    B::Error: Into<BoxError>,
{
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => LargeSnafu { limit }.fail(),
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
/// Returns [`Error::Malformed`] if `bytes` is not JSON of a `T`.
pub fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| Error::Malformed {
        why: error.to_string(),
    })
}

/// Returns the JSON of `value`.
///
/// # Panics
///
/// Panics if `value` has no JSON form; the messages of this workspace all have one.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("messages have a JSON form"))
}

/// Returns an answer with the JSON of `value`.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Whole> {
    typed(status, "application/json", encode(value))
}

/// Returns an answer with a body of a content type.
pub fn typed(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Whole> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Returns an answer without a body.
pub fn empty(status: StatusCode) -> Response<Whole> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// The result of a hyper service that always answers.
pub type Answer = std::result::Result<Response<Whole>, Infallible>;
