//! Client of the leafs' interface, JSON over HTTP/1.1.

use std::{fmt::Display, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use rattanmast_model::{
    leaf::{self, Error, Leaf, Order, OrderReply, Result, Search, SearchReply},
    request, trace,
};
use serde::{Serialize, de::DeserializeOwned};
use smol_str::{SmolStr, format_smolstr};

use crate::{connection::Connection, http, memory::Budget};

/// Memory for the answers that all connections of a connector are reading.
const ANSWER_MEMORY_BYTES: usize = 64 << 20;

/// Timeout for opening a connection; far above the 6 ms that leafs take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The body of `POST /cancel`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct Cancel {
    /// The request to cancel.
    pub id: request::Id,
}

/// The body of an answer that reports an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct Refusal {
    /// The request that this answers.
    pub id: request::Id,
    /// What went wrong.
    pub error: Error,
}

/// Opens HTTP/1.1 connections to leafs.
#[derive(Clone, Debug)]
pub struct Connector {
    budget: Budget,
}

impl Default for Connector {
    fn default() -> Self {
        Self {
            budget: Budget::new(ANSWER_MEMORY_BYTES),
        }
    }
}

/// Sends searches and orders on one connection to a leaf.
#[derive(Debug)]
pub struct Client {
    connection: Connection,
    host_header: SmolStr,
}

impl leaf::Connector for Connector {
    type Connection = Client;

    async fn open(&self, leaf: &Leaf) -> Result<Client> {
        Ok(Client {
            connection: Connection::open(leaf.addr, CONNECT_TIMEOUT, &self.budget).await?,
            host_header: format_smolstr!("{}", leaf.addr),
        })
    }
}

impl Client {
    async fn post<T: DeserializeOwned>(
        &mut self,
        path: &str,
        id: request::Id,
        trace: Option<trace::Context>,
        body: Bytes,
    ) -> Result<T> {
        let mut request = Request::post(path)
            .header(header::HOST, self.host_header.as_str())
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(trace) = trace {
            request = request.header("traceparent", trace.to_string());
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| failed(&error))?;
        let (head, body) = self.connection.send(request).await?.into_parts();
        let body = match self.connection.read_body(body).await {
            Ok(body) => body,
            Err(http::Error::Broken { why }) => return Err(Error::Broken { why: why.into() }),
            Err(error) => return Err(failed(&error)),
        };
        decode(id, head.status, &body)
    }
}

fn failed(why: &impl Display) -> Error {
    Error::Failed {
        why: format_smolstr!("{why}"),
    }
}

/// Decodes the answer to the request `id`; a result names its request itself.
fn decode<T: DeserializeOwned>(id: request::Id, status: StatusCode, body: &[u8]) -> Result<T> {
    if status == StatusCode::OK {
        return http::parse(body).map_err(|error| failed(&error));
    }
    match http::parse::<Refusal>(body) {
        Ok(refusal) if refusal.id == id => Err(refusal.error),
        // A second copy of an earlier answer, which says nothing about this request.
        Ok(_) => Err(Error::Broken {
            why: SmolStr::new_static("the answer is to another request"),
        }),
        Err(_) => Err(failed(&status)),
    }
}

impl leaf::Connection for Client {
    async fn cancel(&mut self, id: request::Id) -> Result<()> {
        let body = http::encode(&Cancel { id });
        self.post::<serde::de::IgnoredAny>("/cancel", id, None, body)
            .await
            .map(|_| ())
    }

    async fn close(self, wait: Duration) -> bool {
        self.connection.close(wait).await
    }
}

impl leaf::Searcher for Client {
    async fn search(&mut self, search: &Search) -> Result<SearchReply> {
        self.post("/search", search.id, search.trace, http::encode(search))
            .await
    }

    async fn order(&mut self, order: &Order) -> Result<OrderReply> {
        self.post("/orders", order.id, order.trace, http::encode(order))
            .await
    }
}
