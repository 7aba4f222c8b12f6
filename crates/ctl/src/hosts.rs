//! Status requests to hosts.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::{StreamExt as _, stream};
use http_body_util::Empty;
use hyper::Uri;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rattanmast_model::{config::Version, hash::Map, host::Host};
use rattanmast_state::status::Status;
use rattanmast_wire::http;
use tokio::time::timeout;

/// Maximum number of status requests in flight.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Maximum size of a status reply, which lists every host of the roster.
const MAX_STATUS_BYTES: usize = 4 << 20;

/// The reason why the status of a host is missing, as shown to the operator.
pub type Failure = String;

/// Fetches the status of the hosts at `addrs`; returns the results in the same order.
pub async fn fetch_statuses(
    addrs: &[SocketAddr],
    reply_timeout: Duration,
) -> Vec<Result<Status, Failure>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(reply_timeout));
    let client = Client::builder(TokioExecutor::new()).build(connector);
    let requests = addrs.iter().map(|addr| {
        let client = client.clone();
        async move {
            let answer = timeout(reply_timeout, fetch_status(&client, *addr)).await;
            let timed_out = |_| Err(format!("no answer within {} ms", reply_timeout.as_millis()));
            answer.unwrap_or_else(timed_out)
        }
    });
    stream::iter(requests)
        .buffered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await
}

/// Fetches the status of `hosts`; a reply from a host of another name is a failure.
pub async fn fetch_verified_statuses(
    hosts: &[&Host],
    reply_timeout: Duration,
) -> Vec<Result<Status, Failure>> {
    let addrs: Vec<SocketAddr> = hosts.iter().map(|h| h.http).collect();
    let answers = fetch_statuses(&addrs, reply_timeout).await;
    let verified = hosts
        .iter()
        .zip(answers)
        .map(|(host, answer)| match answer {
            Ok(status) if status.host != host.name => Err(format!(
                "{} is host {}, expected {}",
                host.http, status.host, host.name
            )),
            answer => answer,
        });
    verified.collect()
}

async fn fetch_status(
    client: &Client<HttpConnector, Empty<Bytes>>,
    addr: SocketAddr,
) -> Result<Status, Failure> {
    let uri: Uri = format!("http://{addr}/v1/status")
        .parse()
        .map_err(|e| format!("{e}"))?;
    let response = client.get(uri).await.map_err(|e| format!("{e}"))?;
    let status = response.status();
    let body = http::read_body(response.into_body(), MAX_STATUS_BYTES).await;
    let body = body.map_err(|e| e.to_string())?;
    http::parse(&body).map_err(|e| format!("status {status}: {e}"))
}

/// Returns versions that `hosts` held at the same moment, by host name.
///
/// Fetches all statuses twice and keeps only hosts whose incarnation is the same in both rounds.
/// So there is a moment, between the rounds, at which every returned host held its version.
pub async fn fetch_versions(hosts: &[&Host], reply_timeout: Duration) -> Map<String, Version> {
    let first = fetch_verified_statuses(hosts, reply_timeout).await;
    let second = fetch_verified_statuses(hosts, reply_timeout).await;
    let status_pairs = hosts.iter().zip(first.into_iter().zip(second));
    status_pairs
        .filter_map(|(host, (first, second))| {
            let (first, second) = (first.ok()?, second.ok()?);
            (first.incarnation == second.incarnation)
                .then(|| (host.name.to_string(), first.version))
        })
        .collect()
}
