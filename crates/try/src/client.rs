//! A caller.

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

/// The largest answer, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The request is malformed.
    #[snafu(display("request is malformed ({source}); check the path and the headers"))]
    Request {
        /// What is wrong.
        source: hyper::http::Error,
    },
    /// The host did not answer.
    #[snafu(display("host does not answer ({source}); try another one"))]
    Host {
        /// What the transport returned.
        source: legacy::Error,
    },
    /// The answer broke off.
    #[snafu(display("answer broke off ({source}); try again"))]
    Body {
        /// Why.
        source: http::Error,
    },
}

/// An answer of a host.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The outcome header.
    pub outcome: String,
    /// The body.
    pub body: Bytes,
}

/// Calls hosts with one key.
#[derive(Clone, Debug)]
pub struct Caller {
    key: String,
    traceparent: Option<String>,
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Returns a caller with `key`.
    pub fn new(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            traceparent: None,
            client: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Returns the caller with a trace context that it sends with each request.
    #[must_use]
    pub fn traced(self, traceparent: &str) -> Self {
        Self {
            traceparent: Some(traceparent.to_owned()),
            ..self
        }
    }

    /// Sends a request to `host`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no whole answer.
    pub async fn call(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        idempotency_key: Option<&str>,
        body: Bytes,
    ) -> Result<Answer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        if let Some(key) = idempotency_key {
            request = request.header(api::IDEMPOTENCY_KEY, key);
        }
        if let Some(traceparent) = &self.traceparent {
            request = request.header("traceparent", traceparent);
        }
        let request = request.body(Full::new(body)).context(RequestSnafu)?;
        let response = self.client.request(request).await.context(HostSnafu)?;
        let status = response.status();
        let outcome = response.headers().get(api::OUTCOME);
        let outcome = outcome.and_then(|value| value.to_str().ok());
        Ok(Answer {
            status,
            outcome: outcome.unwrap_or_default().to_owned(),
            body: http::read(response.into_body(), ANSWER_LIMIT)
                .await
                .context(BodySnafu)?,
        })
    }
}
