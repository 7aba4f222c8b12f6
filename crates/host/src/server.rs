//! The HTTP server towards callers, operators and the balancer.

use std::{convert::Infallible, time::Duration};

use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use rattanmast_state::{node::Node, stop::Phase};
use rattanmast_wire::{
    exchange,
    http::{self, Whole},
    store,
};
use tokio::{net::TcpListener, time};
use tokio_util::sync::CancellationToken;

use crate::{api::Api, scrape::Scrape};

/// Time within which a caller must send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time to wait before accepting again after the system refused to.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the server answers with.
#[derive(Clone)]
pub struct Service {
    /// The callers' interface.
    pub api: Api,
    /// The state of the host.
    pub node: Node<store::Client, exchange::Client>,
    /// Brings the metrics up to date.
    pub scrape: Scrape,
}

impl Service {
    async fn answer(&self, request: Request<Incoming>) -> Response<Whole> {
        match request.uri().path() {
            "/readyz" => self.ready(),
            "/metrics" => {
                let text = self.scrape.render();
                http::typed(StatusCode::OK, "text/plain; version=0.0.4", text.into())
            }
            "/v1/status" => http::json(StatusCode::OK, &self.node.status()),
            _ => self.api.answer(request).await,
        }
    }

    fn ready(&self) -> Response<Whole> {
        let serving = self.api.world.borrow().serving;
        let phase = *self.api.signs.phase.borrow();
        let (status, text) = match phase {
            Phase::Ready if serving => (StatusCode::OK, "ready\n"),
            Phase::Ready => (
                StatusCode::SERVICE_UNAVAILABLE,
                "configuration is not proven\n",
            ),
            Phase::LameDuck | Phase::Draining | Phase::Done => {
                (StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
            }
        };
        http::typed(status, "text/plain", text.into())
    }
}

/// Serves until `stop`, then finishes what is in flight.
pub async fn serve(listener: TcpListener, service: Service, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("no connection can be accepted now ({error}); raise the file limit");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("a caller's connection broke at once: {error}");
            continue;
        }
        let service = service.clone();
        let answer = service_fn(move |request| {
            let service = service.clone();
            async move { Ok::<_, Infallible>(service.answer(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), answer);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("a caller's connection ended: {error}");
            }
        });
    }
    graceful.shutdown().await;
}
