//! Connections to leafs over HTTP/1.1.

use std::{fmt::Display, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use rattanmast_model::{
    leaf::{self, Done, Error, Found, Leaf, Order, Result, Search},
    request, trace,
};
use serde::{Serialize, de::DeserializeOwned};
use smol_str::{SmolStr, format_smolstr};
use tokio::{net::TcpStream, task::JoinHandle, time};

use crate::http;

/// The largest reply that a leaf may send, in bytes.
const REPLY_LIMIT: usize = 8 << 20;

/// The longest time to open a connection; far above the 6 ms that leafs take.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);

/// The body of `POST /cancel`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct Cancel {
    /// The request to give up.
    pub id: request::Id,
}

/// Opens HTTP/1.1 connections to leafs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connector;

/// An HTTP/1.1 connection to a leaf.
#[derive(Debug)]
pub struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    host: SmolStr,
}

impl Drop for Link {
    fn drop(&mut self) {
        // Closes the socket even where a silent peer never ends the connection.
        self.driver.abort();
    }
}

impl leaf::Connector for Connector {
    type Link = Link;

    async fn open(&self, leaf: &Leaf) -> Result<Link> {
        let stream = match time::timeout(OPEN_TIMEOUT, TcpStream::connect(leaf.addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(unreachable(&error)),
            Err(elapsed) => return Err(unreachable(&elapsed)),
        };
        stream
            .set_nodelay(true)
            .map_err(|error| unreachable(&error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a leaf ended: {error}");
            }
        });
        Ok(Link {
            sender,
            driver,
            host: format_smolstr!("{}", leaf.addr),
        })
    }
}

impl Link {
    async fn post<T: DeserializeOwned>(
        &mut self,
        path: &str,
        trace: Option<trace::Context>,
        body: Bytes,
    ) -> Result<T> {
        let mut request = Request::post(path)
            .header(header::HOST, self.host.as_str())
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(trace) = trace {
            request = request.header("traceparent", trace.to_string());
        }
        let request = request.body(Full::new(body)).map_err(|e| failed(&e))?;
        if let Err(error) = self.sender.ready().await {
            let why = format_smolstr!("{error}");
            return Err(Error::Connect { why });
        }
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let why = format_smolstr!("{}", error.error());
                return Err(match unsent {
                    true => Error::Connect { why },
                    false => Error::Broken { why },
                });
            }
        };
        decode(response).await
    }
}

fn unreachable(why: &impl Display) -> Error {
    Error::Connect {
        why: format_smolstr!("{why}"),
    }
}

fn failed(why: &impl Display) -> Error {
    Error::Failed {
        why: format_smolstr!("{why}"),
    }
}

async fn decode<T: DeserializeOwned>(response: Response<Incoming>) -> Result<T> {
    let status = response.status();
    let body = match http::read(response.into_body(), REPLY_LIMIT).await {
        Ok(body) => body,
        Err(http::Error::Broken { why }) => return Err(Error::Broken { why: why.into() }),
        Err(error) => return Err(failed(&error)),
    };
    if status == StatusCode::OK {
        return http::parse(&body).map_err(|error| failed(&error));
    }
    match http::parse::<Error>(&body) {
        Ok(error) => Err(error),
        Err(_) => Err(failed(&status)),
    }
}

impl leaf::Link for Link {
    async fn search(&mut self, search: &Search) -> Result<Found> {
        self.post("/search", search.trace, http::encode(search))
            .await
    }

    async fn order(&mut self, order: &Order) -> Result<Done> {
        self.post("/orders", order.trace, http::encode(order)).await
    }

    async fn cancel(&mut self, id: request::Id) -> Result<()> {
        let body = http::encode(&Cancel { id });
        self.post::<serde::de::IgnoredAny>("/cancel", None, body)
            .await
            .map(|_| ())
    }

    async fn close(self, wait: Duration) -> bool {
        // An idle connection whose socket is closed here is closed at the leaf as soon
        // as it reads the end of the stream; a busy or silent one may stay open there.
        let idle = self.sender.is_ready();
        drop(self);
        match idle {
            true => true,
            false => {
                time::sleep(wait).await;
                false
            }
        }
    }
}
