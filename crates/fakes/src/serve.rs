//! HTTP/1.1 server functions shared by the stand-ins.

use std::{fmt, io, net::SocketAddr};

use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use rattanmast_wire::http::{self, FullBody};
use serde::Serialize;
use snafu::{ResultExt as _, Snafu};
use tokio::net::{TcpListener, TcpStream};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// An error that prevents a server from running.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address is in use or does not belong to this machine.
    #[snafu(display("cannot listen on {address}: {source}; choose another address or port 0"))]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// The maximum size of the body of an admin request.
pub const MAX_ADMIN_BODY_BYTES: usize = 1 << 20;

/// Signals that the connection must be closed without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without a response because of a fault")
    }
}

impl std::error::Error for Closed {}

/// The result of a request handler.
pub type HandlerResult = std::result::Result<Response<FullBody>, Closed>;

/// The body of an error response.
#[derive(Serialize)]
struct Problem<'a> {
    error: &'a str,
}

/// Listens on `address`; returns the listener and its actual address.
///
/// # Errors
///
/// Returns [`Error::Listen`] if the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    let actual = listener.local_addr().context(ListenSnafu { address })?;
    Ok((listener, actual))
}

/// Accepts the next connection; logs failures and retries after a short delay.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("connection ended before TCP_NODELAY was set: {error}");
                }
                return stream;
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

/// Answers the requests of one connection with `handler`.
pub async fn connection<F, A>(stream: TcpStream, handler: F)
where
    F: Fn(Request<Incoming>) -> A,
    A: Future<Output = HandlerResult>,
{
    let service = service_fn(handler);
    let io = TokioIo::new(stream);
    if let Err(error) = http1::Builder::new().serve_connection(io, service).await {
        log::debug!("connection failed: {error}");
    }
}

/// Answers the requests of all connections to `listener` with `handler`, forever.
pub async fn serve_connections<F, A>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = HandlerResult> + Send + 'static,
{
    loop {
        let stream = accept(&listener).await;
        tokio::spawn(connection(stream, handler.clone()));
    }
}

/// Returns a response whose JSON body contains `error`.
pub fn problem(status: StatusCode, error: &str) -> Response<FullBody> {
    http::json(status, &Problem { error })
}
