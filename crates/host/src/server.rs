//! The HTTP server for callers, operators and the load balancer.

use std::time::Duration;

use hyper::{Request, Response, StatusCode, body::Incoming};
use rattanmast_state::{node::Node, stop::Phase};
use rattanmast_wire::{
    exchange,
    http::{self, FullBody},
    server::{self, Limits},
    store,
};
use tokio::{net::TcpListener, sync::watch};
use tokio_util::sync::CancellationToken;

use crate::{api::Api, scrape::Scrape};

/// Limits of an HTTP connection.
const CONNECTION_LIMITS: Limits = Limits {
    head_timeout: Duration::from_secs(10),
    max_head_bytes: 64 << 10,
};

/// The HTTP request handler.
#[derive(Clone)]
pub struct Service {
    /// The API for callers.
    pub api: Api,
    /// The state node of this host.
    pub node: Node<store::Client, exchange::Client>,
    /// Collects the metrics.
    pub scrape: Scrape,
}

impl Service {
    async fn handle(&self, request: Request<Incoming>) -> Response<FullBody> {
        match request.uri().path() {
            "/readyz" => self.readiness(),
            "/metrics" => {
                let text = self.scrape.render();
                http::with_content_type(StatusCode::OK, "text/plain; version=0.0.4", text.into())
            }
            "/v1/status" => http::json(StatusCode::OK, &self.node.status()),
            _ => self.api.handle(request).await,
        }
    }

    fn readiness(&self) -> Response<FullBody> {
        let serving = self.api.serving_config.borrow().serving;
        let phase = *self.api.stop.phase.borrow();
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
        http::with_content_type(status, "text/plain", text.into())
    }
}

/// Serves connections until `stop` is cancelled, then completes the requests in flight.
pub async fn serve(listener: TcpListener, service: Service, stop: CancellationToken) {
    let (_limits_sender, limits) = watch::channel(CONNECTION_LIMITS);
    let handler = move |request| {
        let service = service.clone();
        async move { service.handle(request).await }
    };
    server::serve(listener, limits, handler, stop).await;
}
