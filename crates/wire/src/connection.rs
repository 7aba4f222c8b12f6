//! An HTTP/1.1 client connection to a leaf that carries one request at a time.

use std::{fmt::Display, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rattanmast_model::leaf::{Error, Result};
use smol_str::format_smolstr;
use tokio::{net::TcpStream, task::JoinHandle, time};

/// An open connection; dropping it closes the socket.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket even if an unresponsive peer never ends the connection.
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection to `addr` within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if the connection fails or times out.
    pub async fn open(addr: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = match time::timeout(timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(connect_error(&error)),
            Err(elapsed) => return Err(connect_error(&elapsed)),
        };
        stream
            .set_nodelay(true)
            .map_err(|error| connect_error(&error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("leaf connection failed: {error}");
            }
        });
        Ok(Self { sender, driver })
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
    /// ended after that, and [`Error::Broken`] if the peer sent bytes that are no response.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        if let Err(error) = self.sender.ready().await {
            return Err(connect_error(&error));
        }
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                let is_unsent = error.take_message().is_some();
                let error = error.error();
                let why = format_smolstr!("{error}");
                match is_unsent {
                    true => Error::Connect { why },
                    false if error.is_parse() => Error::Broken { why },
                    false => Error::Lost { why },
                }
            })
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
