//! Client of the platform's object service, over HTTP/1.1.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use rattanmast_model::store::{Error, MAX_VALUE_BYTES, Object, Result, Store, Version};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::http;

/// Time to connect, and to wait for a reply; the platform usually replies in milliseconds.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a reply body; lists are the largest.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// An object in the response to `GET /objects?prefix=<prefix>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedObject {
    /// The object's name.
    pub name: String,
    /// The version to pass to a conditional update.
    pub version: Version,
    /// The object's value; the platform stores text.
    pub value: String,
}

/// Calls the platform's object service.
#[derive(Clone, Debug)]
pub struct Client {
    platform: SocketAddr,
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// The kind of a call, which decides the error when the reply is missing.
///
/// A write without a reply may have been applied; a read has no effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    Read,
    Write,
}

impl Client {
    /// Creates a client of the platform at address `platform`.
    pub fn new(platform: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(REQUEST_TIMEOUT));
        let client = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { platform, client }
    }

    async fn call(
        &self,
        access: Access,
        wait: Duration,
        request: hyper::http::request::Builder,
        body: Bytes,
    ) -> Result<(StatusCode, Option<Version>, Bytes)> {
        let no_reply = |why: String| match access {
            Access::Read => Error::Unavailable { why },
            Access::Write => Error::ResponseLost { why },
        };
        let request = request
            .body(Full::new(body))
            .map_err(|error| Error::Unavailable {
                why: error.to_string(),
            })?;
        let reply = async {
            let response = match self.client.request(request).await {
                Ok(response) => response,
                Err(error) if error.is_connect() => {
                    let why = error.to_string();
                    return Err(Error::Unavailable { why });
                }
                Err(error) => return Err(no_reply(error.to_string())),
            };
            let (status, version) = (response.status(), etag_version(&response));
            let body = http::read_body(response.into_body(), MAX_REPLY_BYTES)
                .await
                .map_err(|error| no_reply(error.to_string()))?;
            Ok((status, version, body))
        };
        match time::timeout(wait + REQUEST_TIMEOUT, reply).await {
            Ok(Ok((StatusCode::SERVICE_UNAVAILABLE, _, body))) => Err(Error::Unavailable {
                why: String::from_utf8_lossy(&body).into_owned(),
            }),
            Ok(result) => result,
            Err(elapsed) => Err(no_reply(elapsed.to_string())),
        }
    }

    fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        let uri = format!("http://{}/objects{path}", self.platform);
        Request::builder().method(method).uri(uri)
    }

    async fn put(
        &self,
        name: &str,
        condition: (header::HeaderName, String),
        value: &[u8],
    ) -> Result<Version> {
        let name = name.to_owned();
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge { name });
        }
        let request = self
            .request(Method::PUT, &format!("/{name}"))
            .header(condition.0, condition.1);
        let body = Bytes::copy_from_slice(value);
        match self
            .call(Access::Write, Duration::ZERO, request, body)
            .await?
        {
            (StatusCode::OK | StatusCode::CREATED, Some(version), _) => Ok(version),
            (StatusCode::PRECONDITION_FAILED, _, _) => Err(Error::Conflict { name }),
            (StatusCode::NOT_FOUND, _, _) => Err(Error::NotFound { name }),
            (StatusCode::PAYLOAD_TOO_LARGE, _, _) => Err(Error::TooLarge { name }),
            (status, _, _) => Err(Error::ResponseLost {
                why: status.to_string(),
            }),
        }
    }
}

/// Returns the version in the `ETag` header.
fn etag_version(response: &Response<Incoming>) -> Option<Version> {
    let value = response.headers().get(header::ETAG)?.to_str().ok()?;
    value.trim_matches('"').parse().ok().map(Version)
}

impl Store for Client {
    async fn get(&self, name: &str) -> Result<Object> {
        let request = self.request(Method::GET, &format!("/{name}"));
        match self
            .call(Access::Read, Duration::ZERO, request, Bytes::new())
            .await?
        {
            (StatusCode::OK, Some(version), value) => Ok(Object {
                name: name.to_owned(),
                version,
                value: value.to_vec(),
            }),
            (StatusCode::NOT_FOUND, _, _) => Err(Error::NotFound {
                name: name.to_owned(),
            }),
            (status, _, _) => Err(Error::Unavailable {
                why: status.to_string(),
            }),
        }
    }

    async fn create(&self, name: &str, value: &[u8]) -> Result<Version> {
        let condition = (header::IF_NONE_MATCH, "*".to_owned());
        self.put(name, condition, value).await
    }

    async fn update(&self, name: &str, version: Version, value: &[u8]) -> Result<Version> {
        let condition = (header::IF_MATCH, format!("\"{}\"", version.0));
        self.put(name, condition, value).await
    }

    async fn delete(&self, name: &str) -> Result<()> {
        let request = self.request(Method::DELETE, &format!("/{name}"));
        match self
            .call(Access::Write, Duration::ZERO, request, Bytes::new())
            .await?
        {
            (StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND, _, _) => Ok(()),
            (status, _, _) => Err(Error::ResponseLost {
                why: status.to_string(),
            }),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        let request = self.request(Method::GET, &format!("?prefix={prefix}"));
        let reply = self
            .call(Access::Read, Duration::ZERO, request, Bytes::new())
            .await?;
        let (StatusCode::OK, _, body) = reply else {
            let why = reply.0.to_string();
            return Err(Error::Unavailable { why });
        };
        let listed: Vec<ListedObject> = http::parse(&body).map_err(|error| Error::Unavailable {
            why: error.to_string(),
        })?;
        Ok(listed
            .into_iter()
            .map(|object| Object {
                name: object.name,
                version: object.version,
                value: object.value.into_bytes(),
            })
            .collect())
    }

    async fn watch(&self, name: &str, after: Version, wait: Duration) -> Result<Option<Object>> {
        let path = format!("/{name}?after={}&wait_ms={}", after.0, wait.as_millis());
        let request = self.request(Method::GET, &path);
        match self.call(Access::Read, wait, request, Bytes::new()).await? {
            (StatusCode::OK, Some(version), value) => Ok(Some(Object {
                name: name.to_owned(),
                version,
                value: value.to_vec(),
            })),
            (StatusCode::NOT_MODIFIED, _, _) => Ok(None),
            (StatusCode::NOT_FOUND, _, _) => Err(Error::NotFound {
                name: name.to_owned(),
            }),
            (status, _, _) => Err(Error::Unavailable {
                why: status.to_string(),
            }),
        }
    }
}
