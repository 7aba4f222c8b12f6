//! The accept loop of an HTTP/1.1 server.

use std::{
    convert::Infallible,
    future::Future,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::http::FullBody;

/// Delay before accepting again after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Minimum buffer size for the head of a request; hyper panics on a smaller one.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// The position of a request on its connection, added to the extensions of each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The number of the connection, counted from zero at each server.
    pub connection: u64,
    /// The number of earlier requests on the connection.
    pub request: u64,
    /// When the connection was accepted.
    pub accepted: Instant,
}

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time within which the head of the next request must arrive, including idle time.
    pub head_timeout: Duration,
    /// Maximum size of the head of a request, in bytes.
    pub max_head_bytes: usize,
}

/// Serves requests with `handler` until `stop` is cancelled, then waits for those in flight.
///
/// A change of `limits` applies to connections that are accepted after it. When a caller closes
/// its connection, the future that `handler` returned is dropped.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: watch::Receiver<Limits>,
    handler: H,
    stop: CancellationToken,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<FullBody>> + Send,
{
    let graceful = GracefulShutdown::new();
    let mut next_connection = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("failed to accept a connection ({error}); raise the open file limit");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("failed to set TCP_NODELAY on a caller's connection: {error}");
            continue;
        }
        let handler = handler.clone();
        let connection = next_connection;
        next_connection += 1;
        let (next_number, accepted) = (AtomicU64::new(0), Instant::now());
        let service = service_fn(move |mut request: Request<Incoming>| {
            let number = next_number.fetch_add(1, Ordering::Relaxed);
            request.extensions_mut().insert(Position {
                connection,
                request: number,
                accepted,
            });
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let Limits {
            head_timeout,
            max_head_bytes,
        } = *limits.borrow();
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(head_timeout)
            .max_buf_size(max_head_bytes.max(MIN_HEAD_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let served = graceful.watch(served);
        tokio::spawn(async move {
            if let Err(error) = served.await {
                log::debug!("server connection failed: {error}");
            }
        });
    }
    graceful.shutdown().await;
}
