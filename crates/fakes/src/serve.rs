//! HTTP/1.1 servers of the stand-ins.

use std::{fmt, io, net::SocketAddr};

use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use rattanmast_wire::http::{self, Whole};
use serde::Serialize;
use snafu::{ResultExt as _, Snafu};
use tokio::net::{TcpListener, TcpStream};

/// A result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a server cannot run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address is taken or not this machine's.
    #[snafu(display("cannot listen on {address}: {source}; choose another address or port 0"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system returned.
        source: io::Error,
    },
}

/// The largest body of an admin request, in bytes.
pub const MAX_ADMIN_BODY_BYTES: usize = 1 << 20;

/// The connection is to be closed without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection is closed without an answer, as the fault in force asks")
    }
}

impl std::error::Error for Closed {}

/// What a handler returns.
pub type Answer = std::result::Result<Response<Whole>, Closed>;

/// An error of an admin path.
#[derive(Serialize)]
struct Problem<'a> {
    error: &'a str,
}

/// Listens on `address`; returns where.
///
/// # Errors
///
/// Returns [`Error::Listen`] if it is taken.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    let actual = listener.local_addr().context(ListenSnafu { address })?;
    Ok((listener, actual))
}

/// Accepts the next connection; failed attempts are logged.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("a connection ended before it was set up: {error}");
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
    A: Future<Output = Answer>,
{
    let service = service_fn(handler);
    let io = TokioIo::new(stream);
    if let Err(error) = http1::Builder::new().serve_connection(io, service).await {
        log::debug!("a connection ended: {error}");
    }
}

/// Answers all connections of `listener` with `handler`, for good.
pub async fn forever<F, A>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    loop {
        let stream = accept(&listener).await;
        tokio::spawn(connection(stream, handler.clone()));
    }
}

/// Returns an answer that says what is wrong.
pub fn problem(status: StatusCode, error: &str) -> Response<Whole> {
    http::json(status, &Problem { error })
}
