//! An HTTP client that sends requests as a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use rattanmast_wire::{api, http};
use snafu::{ResultExt, Snafu};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// An error of a call.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The request could not be built.
    #[snafu(display("request is malformed ({source}); check the path and the headers"))]
    Request {
        /// The error of the request builder.
        source: hyper::http::Error,
    },
    /// The host did not respond.
    #[snafu(display("host did not respond ({source}); try another one"))]
    Host {
        /// The error of the HTTP client.
        source: legacy::Error,
    },
    /// The body of the response could not be read.
    #[snafu(display("response body cannot be read ({source}); try again"))]
    Body {
        /// The error of the body reader.
        source: http::Error,
    },
}

/// A response of a host.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: StatusCode,
    /// The value of the outcome header; empty if it is absent.
    pub outcome: String,
    /// The response body.
    pub body: Bytes,
}

/// A client that authenticates with one API key.
#[derive(Clone, Debug)]
pub struct Caller {
    key: String,
    traceparent: Option<String>,
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Returns a client that sends `key` as its bearer token.
    pub fn new(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            traceparent: None,
            client: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sets the W3C trace context that is sent with each request.
    #[must_use]
    pub fn with_traceparent(self, traceparent: &str) -> Self {
        Self {
            traceparent: Some(traceparent.to_owned()),
            ..self
        }
    }

    /// Sends a request to `host` and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is malformed, the host does not respond, or the body
    /// cannot be read completely.
    pub async fn call(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        idempotency_key: Option<&str>,
        body: Bytes,
    ) -> Result<Response> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        if let Some(key) = idempotency_key {
            request = request.header(api::IDEMPOTENCY_KEY_HEADER, key);
        }
        if let Some(traceparent) = &self.traceparent {
            request = request.header("traceparent", traceparent);
        }
        let request = request.body(Full::new(body)).context(RequestSnafu)?;
        let response = self.client.request(request).await.context(HostSnafu)?;
        let status = response.status();
        let outcome = response.headers().get(api::OUTCOME_HEADER);
        let outcome = outcome.and_then(|value| value.to_str().ok());
        Ok(Response {
            status,
            outcome: outcome.unwrap_or_default().to_owned(),
            body: http::read_body(response.into_body(), MAX_RESPONSE_BYTES)
                .await
                .context(BodySnafu)?,
        })
    }
}
