//! An HTTP/1.1 client connection to a leaf that carries one request at a time.

use std::{fmt::Display, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rattanmast_model::leaf::{Error, Result};
use smol_str::format_smolstr;
use tokio::{net::TcpStream, task::JoinHandle, time};

use crate::{
    http,
    memory::Budget,
    meter::{Limits, Meter, Metered},
};

/// Maximum size of the body of an answer.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Maximum size of the buffer that a connection reads into, and so of the head of an answer.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Limits of an answer on the wire.
const LIMITS: Limits = Limits {
    buffer: MAX_BUFFER_BYTES,
    // The start of the body may be read together with the head.
    head: 2 * MAX_BUFFER_BYTES,
    answer: 2 * MAX_BODY_BYTES,
};

/// An open connection; dropping it closes the socket.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    meter: Meter,
    budget: Budget,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket even if an unresponsive peer never ends the connection.
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection to `addr` within `timeout`; the answers on it count against `budget`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if the connection fails or times out.
    pub async fn open(addr: SocketAddr, timeout: Duration, budget: &Budget) -> Result<Self> {
        let stream = match time::timeout(timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(connect_error(&error)),
            Err(elapsed) => return Err(connect_error(&elapsed)),
        };
        stream
            .set_nodelay(true)
            .map_err(|error| connect_error(&error))?;
        let meter = Meter::new(LIMITS, budget);
        let metered = Metered {
            stream,
            meter: meter.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(metered))
            .await
            .map_err(|error| connect_error(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("leaf connection failed: {error}");
            }
        });
        Ok(Self {
            sender,
            driver,
            meter,
            budget: budget.clone(),
        })
    }

    /// Returns whether the connection is open and has no outstanding request.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if no byte of the request was sent, [`Error::Lost`] if the connection
    /// ended after that, and [`Error::Broken`] if the peer sent bytes that are no response, or too many.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        if let Err(error) = self.sender.ready().await {
            return Err(connect_error(&error));
        }
        self.meter.restart();
        let meter = &self.meter;
        let sent = self.sender.try_send_request(request).await;
        meter.record_head();
        sent.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let error = error.error();
            let why = format_smolstr!("{error}");
            match is_unsent {
                true => Error::Connect { why },
                false if error.is_parse() || meter.is_exceeded() => Error::Broken { why },
                false => Error::Lost { why },
            }
        })
    }

    /// Reads the body of the response to the last request.
    ///
    /// Its memory counts against the budget of the connection until the returned bytes are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is incomplete, larger than [`MAX_BODY_BYTES`], or over its share of the
    /// budget.
    pub async fn read_body(&self, body: Incoming) -> http::Result<Bytes> {
        let result = http::read_body_within(body, MAX_BODY_BYTES, &self.budget).await;
        self.meter.restart();
        result
    }

    /// Closes the connection, and waits for `wait` if the peer may keep its end open.
    ///
    /// Returns whether the peer is known to close its end.
    pub async fn close(self, wait: Duration) -> bool {
        // The peer of an idle connection closes its end when it reads the end of the stream;
        // a busy or unresponsive peer may keep it open.
        let is_idle = self.is_ready();
        drop(self);
        if !is_idle {
            time::sleep(wait).await;
        }
        is_idle
    }
}

fn connect_error(why: &impl Display) -> Error {
    Error::Connect {
        why: format_smolstr!("{why}"),
    }
}
