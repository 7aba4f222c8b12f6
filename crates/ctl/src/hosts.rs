//! Asking hosts for their status.

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

/// Hosts that are asked at a time.
const AT_ONCE: usize = 64;

/// The largest answer, in bytes; a status names every host of the roster.
const LIMIT: usize = 4 << 20;

/// Why a host gave no status.
pub type Failure = String;

/// Asks the hosts at `addrs` for their status; the answers are in the same order.
pub async fn ask(addrs: &[SocketAddr], reply: Duration) -> Vec<Result<Status, Failure>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(reply));
    let client = Client::builder(TokioExecutor::new()).build(connector);
    let calls = addrs.iter().map(|addr| {
        let client = client.clone();
        async move {
            let answer = timeout(reply, one(&client, *addr)).await;
            let late = |_| Err(format!("no answer within {} ms", reply.as_millis()));
            answer.unwrap_or_else(late)
        }
    });
    stream::iter(calls).buffered(AT_ONCE).collect().await
}

/// Asks `hosts` for their status; an answer of another host is a failure.
pub async fn ask_all(hosts: &[&Host], reply: Duration) -> Vec<Result<Status, Failure>> {
    let addrs: Vec<SocketAddr> = hosts.iter().map(|h| h.http).collect();
    let answers = ask(&addrs, reply).await;
    let checked = hosts
        .iter()
        .zip(answers)
        .map(|(host, answer)| match answer {
            Ok(status) if status.host != host.name => Err(format!(
                "{} is {}, not {}",
                host.http, status.host, host.name
            )),
            answer => answer,
        });
    checked.collect()
}

async fn one(
    client: &Client<HttpConnector, Empty<Bytes>>,
    addr: SocketAddr,
) -> Result<Status, Failure> {
    let uri: Uri = format!("http://{addr}/v1/status")
        .parse()
        .map_err(|e| format!("{e}"))?;
    let response = client.get(uri).await.map_err(|e| format!("{e}"))?;
    let status = response.status();
    let body = http::read(response.into_body(), LIMIT).await;
    let body = body.map_err(|e| e.to_string())?;
    http::parse(&body).map_err(|e| format!("status {status}: {e}"))
}

/// Returns the versions that `hosts` held at one moment.
///
/// They are asked twice, and only a process that answered both times counts. So there is a
/// moment, between the two rounds, at which all that are returned held their version.
pub async fn held(hosts: &[&Host], reply: Duration) -> Map<String, Version> {
    let first = ask_all(hosts, reply).await;
    let second = ask_all(hosts, reply).await;
    let pairs = hosts.iter().zip(first.into_iter().zip(second));
    pairs
        .filter_map(|(host, (a, b))| {
            let (a, b) = (a.ok()?, b.ok()?);
            (a.incarnation == b.incarnation).then(|| (host.name.to_string(), a.version))
        })
        .collect()
}
