//! The platform's object service over HTTP/1.1.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Body, header};
use rattanmast_model::store::{Error, MAX_VALUE_BYTES, Object, Result, Store as _, Version};
use rattanmast_wire::{
    http::{self, FullBody},
    store::ListedObject,
};
use serde::Serialize;

use crate::{
    config,
    data::Data,
    exit,
    serve::{self, Closed, HandlerResult, MAX_ADMIN_BODY_BYTES, problem},
    store::{Faults, Store},
};

/// The maximum time that a watch waits.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(300);

/// The listening address that the process prints at startup.
#[derive(Debug, Serialize)]
struct Listening {
    http: SocketAddr,
}

/// Serves the object service forever.
///
/// # Errors
///
/// Fails if the address is already in use.
pub async fn run(config: config::Platform) -> serve::Result<()> {
    let store = Store::new(config.seed);
    store.set_latency(config.latency);
    if let Some(preset) = config.preset {
        for (name, value) in Data::new(preset).objects() {
            store.write_now(&name, &value);
        }
    }
    let (listener, http) = serve::listen(config.listen).await?;
    exit::announce(&Listening { http });
    log::info!("serving {} objects on {http}", store.names().len());
    serve::serve_connections(listener, move |request| {
        let store = store.clone();
        async move { handle(&store, request).await }
    })
    .await;
    Ok(())
}

/// Answers one request.
///
/// # Errors
///
/// Returns [`Closed`] if a fault loses the response.
pub async fn handle<B>(store: &Store, request: Request<B>) -> HandlerResult
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let query = head.uri.query().unwrap_or_default();
    let name = path.strip_prefix("/objects/");
    if name.is_some_and(|n| !is_valid_name(n)) {
        let error = "object name must consist of letters, digits and - _ . /; rename it";
        return Ok(problem(StatusCode::BAD_REQUEST, error));
    }
    match (head.method, path, name) {
        (Method::GET, "/objects", _) => list(store, query).await,
        (Method::GET, _, Some(name)) if query.is_empty() => {
            object_response(name, store.get(name).await)
        }
        (Method::GET, _, Some(name)) => watch(store, name, query).await,
        (Method::PUT, _, Some(name)) => match http::read_body(body, MAX_VALUE_BYTES).await {
            Ok(value) => put(store, name, &head.headers, &value).await,
            Err(error) => {
                let status = StatusCode::PAYLOAD_TOO_LARGE;
                Ok(problem(status, &error.to_string()))
            }
        },
        (Method::DELETE, _, Some(name)) => match store.delete(name).await {
            Ok(()) => Ok(http::empty(StatusCode::NO_CONTENT)),
            Err(error) => error_response(&error),
        },
        (Method::GET, "/calls", _) => Ok(http::json(StatusCode::OK, &store.calls())),
        (Method::GET, "/faults", _) => Ok(http::json(StatusCode::OK, &store.faults())),
        (Method::POST, "/faults", _) => Ok(replace_faults(
            store,
            http::read_body(body, MAX_ADMIN_BODY_BYTES).await,
        )),
        _ => {
            let error = "no such path; see section 7 of docs/design.md";
            Ok(problem(StatusCode::NOT_FOUND, error))
        }
    }
}

fn replace_faults(store: &Store, body: http::Result<Bytes>) -> Response<FullBody> {
    match body.and_then(|body| http::parse::<Faults>(&body)) {
        Ok(faults) => {
            log::info!("set faults to {faults:?}");
            store.set_faults(faults);
            http::json(StatusCode::OK, &faults)
        }
        Err(error) => problem(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_./".contains(&b);
    !name.is_empty() && name.bytes().all(allowed)
}

fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

async fn list(store: &Store, query: &str) -> HandlerResult {
    let prefix = query_parameter(query, "prefix").unwrap_or_default();
    let objects = match store.list(prefix).await {
        Ok(objects) => objects,
        Err(error) => return error_response(&error),
    };
    let listed: Vec<ListedObject> = objects
        .into_iter()
        .map(|object| ListedObject {
            name: object.name,
            version: object.version,
            value: String::from_utf8_lossy(&object.value).into_owned(),
        })
        .collect();
    Ok(http::json(StatusCode::OK, &listed))
}

async fn watch(store: &Store, name: &str, query: &str) -> HandlerResult {
    let number = |key| query_parameter(query, key).and_then(|v| v.parse().ok());
    let (Some(after), Some(wait)) = (number("after"), number("wait_ms")) else {
        let error = "query must be ?after=<version>&wait_ms=<milliseconds>; correct it";
        return Ok(problem(StatusCode::BAD_REQUEST, error));
    };
    let wait = Duration::from_millis(wait).min(MAX_WATCH_WAIT);
    match store.watch(name, Version(after), wait).await {
        Ok(None) => Ok(http::empty(StatusCode::NOT_MODIFIED)),
        Ok(Some(object)) => object_response(name, Ok(object)),
        Err(error) => error_response(&error),
    }
}

async fn put(
    store: &Store,
    name: &str,
    headers: &header::HeaderMap,
    value: &[u8],
) -> HandlerResult {
    let header_text = |key| headers.get(key).map(|v| v.to_str().unwrap_or_default());
    let result = match (
        header_text(header::IF_MATCH),
        header_text(header::IF_NONE_MATCH),
    ) {
        (None, Some("*")) => store.create(name, value).await,
        (Some(tag), None) => match tag.trim_matches('"').parse() {
            Ok(version) => store.update(name, Version(version), value).await,
            Err(_) => Err(Error::Conflict { name: name.into() }),
        },
        // Unconditional writes are those of the platform itself, such as updates of its lists.
        (None, None) => Ok(store.write_now(name, value)),
        (Some(_), Some(_)) | (None, Some(_)) => {
            let error = "send either If-Match: <etag> or If-None-Match: *";
            return Ok(problem(StatusCode::BAD_REQUEST, error));
        }
    };
    match result {
        Ok(version) => Ok(versioned_response(StatusCode::OK, version, Bytes::new())),
        Err(error) => error_response(&error),
    }
}

fn object_response(name: &str, result: Result<Object>) -> HandlerResult {
    match result {
        Ok(object) => Ok(versioned_response(
            StatusCode::OK,
            object.version,
            object.value.into(),
        )),
        Err(error) => {
            log::debug!("object {name}: {error}");
            error_response(&error)
        }
    }
}

fn versioned_response(status: StatusCode, version: Version, body: Bytes) -> Response<FullBody> {
    let mut response = http::with_content_type(status, "application/json", body);
    let tag = format!("\"{}\"", version.0);
    if let Ok(tag) = header::HeaderValue::try_from(tag) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

fn error_response(error: &Error) -> HandlerResult {
    let status = match error {
        Error::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
        Error::NotFound { .. } => StatusCode::NOT_FOUND,
        Error::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Error::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        Error::ResponseLost { .. } => return Err(Closed),
    };
    Ok(problem(status, &error.to_string()))
}
