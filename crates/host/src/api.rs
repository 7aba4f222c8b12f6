//! The HTTP API for callers: routes, each with a chain of filters.

use std::{marker::PhantomData, sync::Arc, time::Duration};

use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use opentelemetry::trace::SpanKind;
use rattanmast_gather::Gatherer;
use rattanmast_model::{
    config::{Caller, Config},
    outcome::{Outcome, Reason},
    query::Query,
    trace,
};
use rattanmast_observe::metrics::Metrics;
use rattanmast_order::Orders;
use rattanmast_state::stop::Phase;
use rattanmast_wire::{
    api,
    http::{self, FullBody},
    store,
};
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};
use tokio::{sync::watch, time::Instant};

use crate::{
    auth::{self, Callers},
    filter::Filter,
    peers::Peers,
    problem::{self, Refusal, Result},
    spans::{Span, Tracer},
    stop,
};

/// Timeout of an order if the caller sets none.
const DEFAULT_ORDER_TIMEOUT_MS: u32 = 2_000;

/// Maximum timeout that a caller can set for an order.
const MAX_ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// The configuration that requests are served with.
#[derive(Clone, Debug, Default)]
pub struct ServingConfig {
    /// The configuration in force.
    pub config: Arc<Config>,
    /// The callers of this configuration.
    pub callers: Arc<Callers>,
    /// Whether this host may serve: the configuration is proven and lists it, and the wait for the
    /// initial state is over.
    pub serving: bool,
}

/// Handler of requests from callers.
#[derive(Clone)]
pub struct Api {
    /// Executes queries.
    pub gatherer: Gatherer<Peers>,
    /// Submits orders.
    pub orders: Orders<store::Client, Peers>,
    /// Starts trace spans.
    pub tracer: Tracer,
    /// Records the request metrics.
    pub metrics: Metrics,
    /// The configuration in force.
    pub serving_config: watch::Receiver<ServingConfig>,
    /// Observes the stop of the host.
    pub stop: stop::Handle,
}

/// A request before any filter.
struct Received {
    request: Request<Incoming>,
    serving_config: ServingConfig,
    phase: Phase,
}

/// A request from an authenticated caller.
struct Authenticated {
    request: Request<Incoming>,
    config: Arc<Config>,
    caller: Caller,
}

/// A request with its parsed body.
struct Parsed<T> {
    headers: HeaderMap,
    config: Arc<Config>,
    caller: Caller,
    body: T,
}

/// Refuses requests while the host is draining or cannot prove its configuration.
struct Admit;

impl Filter<Received> for Admit {
    type Out = Received;

    async fn apply(&self, received: Received) -> Result<Received> {
        match received.phase {
            Phase::Draining | Phase::Done => {
                Err(Refusal::from_outcome(crate::local::stopping_outcome()))
            }
            Phase::Ready | Phase::LameDuck if !received.serving_config.serving => {
                Err(Refusal::from_outcome(Outcome::NotRun {
                    reason: Reason::Stale,
                    remedy:
                        "send the request again through the load balancer; operators: see `status`"
                            .into(),
                }))
            }
            Phase::Ready | Phase::LameDuck => Ok(received),
        }
    }
}

/// Authenticates the caller by its API key.
struct Authenticate;

impl Filter<Received> for Authenticate {
    type Out = Authenticated;

    async fn apply(&self, received: Received) -> Result<Authenticated> {
        let caller = received
            .serving_config
            .callers
            .authenticate(received.request.headers())?;
        Ok(Authenticated {
            caller: caller.clone(),
            config: received.serving_config.config,
            request: received.request,
        })
    }
}

/// Parses the JSON body as `T`.
struct ParseBody<T>(PhantomData<fn() -> T>);

impl<T: DeserializeOwned + Send> Filter<Authenticated> for ParseBody<T> {
    type Out = Parsed<T>;

    async fn apply(&self, authenticated: Authenticated) -> Result<Parsed<T>> {
        let (head, body) = authenticated.request.into_parts();
        let bytes = http::read_body(body, api::MAX_BODY_BYTES).await;
        let body = bytes.and_then(|bytes| http::parse(&bytes));
        Ok(Parsed {
            headers: head.headers,
            config: authenticated.config,
            caller: authenticated.caller,
            body: body.map_err(invalid_body)?,
        })
    }
}

fn invalid_body(error: http::Error) -> Refusal {
    let status = match error {
        http::Error::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        http::Error::Broken { .. } | http::Error::Malformed { .. } => StatusCode::BAD_REQUEST,
        http::Error::Memory { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    let remedy = "send the JSON that README.md describes";
    Refusal::not_run(status, Reason::Invalid, error.to_string(), remedy)
}

/// Checks that the caller may run the search, and converts the request into a query.
struct AuthorizeSearch {
    name: SmolStr,
}

impl Filter<Parsed<api::Search>> for AuthorizeSearch {
    type Out = Query;

    async fn apply(&self, parsed: Parsed<api::Search>) -> Result<Query> {
        let name = &self.name;
        let search = parsed.config.search(name).ok_or_else(|| {
            let remedy = "ask the operators for the names of the searches";
            not_found(format_smolstr!("there is no search {name}"), remedy)
        })?;
        let caller = &parsed.caller;
        if !caller.searches.contains(name) {
            return Err(auth::denied(
                format_smolstr!("{} may not run the search {name}", caller.name),
                "ask the operators to add the search to the `searches` of the caller's entry in the \
                 intent"
                    .into(),
            ));
        }
        auth::check_rank(caller, parsed.body.rank)?;
        Ok(Query {
            search: search.clone(),
            text: parsed.body.text,
            rank: parsed.body.rank,
            timeout: effective_timeout(parsed.body.timeout_ms, search.longest_wait()),
            trace: None,
        })
    }
}

/// Checks that the caller may send orders to the collection, and converts the request.
struct AuthorizeOrder {
    collection: SmolStr,
}

impl Filter<Parsed<api::Order>> for AuthorizeOrder {
    type Out = rattanmast_order::Request;

    async fn apply(&self, parsed: Parsed<api::Order>) -> Result<rattanmast_order::Request> {
        let name = &self.collection;
        let caller = &parsed.caller;
        if parsed.config.collection(name).is_none() {
            let remedy = "ask the operators for the names of the collections";
            return Err(not_found(
                format_smolstr!("there is no collection {name}"),
                remedy,
            ));
        }
        if !caller.orders.contains(name) {
            return Err(auth::denied(
                format_smolstr!("{} may not send orders to {name}", caller.name),
                "ask the operators to add the collection to the `orders` of the caller's entry in the \
                 intent"
                    .into(),
            ));
        }
        auth::check_rank(caller, parsed.body.rank)?;
        let key = parsed.headers.get(api::IDEMPOTENCY_KEY_HEADER);
        let key = key.and_then(|key| key.to_str().ok()).ok_or_else(|| {
            Refusal::not_run(
                StatusCode::BAD_REQUEST,
                Reason::Key,
                "the header Idempotency-Key is missing",
                "send a new UUIDv7 or a ticket, and the same one on every retry",
            )
        })?;
        Ok(rattanmast_order::Request {
            caller: caller.name.clone(),
            key: key.into(),
            collection: name.clone(),
            action: parsed.body.action,
            record: parsed.body.record,
            rank: parsed.body.rank,
            timeout: effective_timeout(
                parsed.body.timeout_ms.or(Some(DEFAULT_ORDER_TIMEOUT_MS)),
                MAX_ORDER_TIMEOUT,
            ),
            trace: None,
        })
    }
}

fn not_found(detail: SmolStr, remedy: &str) -> Refusal {
    Refusal::not_run(StatusCode::NOT_FOUND, Reason::Invalid, detail, remedy)
}

fn effective_timeout(requested_ms: Option<u32>, limit: Duration) -> Duration {
    requested_ms.map_or(limit, |ms| Duration::from_millis(ms.into()).min(limit))
}

impl Api {
    /// Handles a request to a path under `/v1/`.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<FullBody> {
        let _in_flight = self.stop.in_flight.track();
        let path = request.uri().path().to_owned();
        let mut segments = path.trim_start_matches("/v1/").splitn(2, '/');
        let (kind, name) = (segments.next().unwrap_or(""), segments.next().unwrap_or(""));
        let response = match (request.method(), kind) {
            (&Method::POST, "searches") => self.search(name, request).await,
            (&Method::POST, "orders") => self.order(name, request).await,
            (&Method::GET, "orders") => self.recall(name, request).await,
            (&Method::POST, "tickets") => self.ticket(request).await,
            _ => Err(not_found(
                format_smolstr!("there is no {} {path}", request.method()),
                "see README.md for the paths",
            )),
        };
        response.unwrap_or_else(Refusal::response)
    }

    fn received(&self, request: Request<Incoming>) -> Received {
        Received {
            request,
            serving_config: self.serving_config.borrow().clone(),
            phase: *self.stop.phase.borrow(),
        }
    }

    /// Starts the span of a request, as a child of the caller's span if the request carries one.
    fn start_span(&self, name: &'static str, headers: &HeaderMap) -> Span {
        let parent = headers.get("traceparent").and_then(|v| v.to_str().ok());
        let parent = parent.and_then(|text| text.parse::<trace::Context>().ok());
        self.tracer.start(name, SpanKind::Server, parent)
    }

    async fn search(&self, name: &str, request: Request<Incoming>) -> Result<Response<FullBody>> {
        let started = Instant::now();
        let mut span = self.start_span("search", request.headers());
        let authorize = AuthorizeSearch { name: name.into() };
        let chain = Admit
            .then(Authenticate)
            .then(ParseBody(PhantomData))
            .then(authorize);
        let mut query = chain.apply(self.received(request)).await?;
        query.trace = Some(span.context());
        let rank = query.rank;
        let result = tokio::select! {
            result = self.gatherer.query(query) => result,
            () = self.stop.forced.cancelled() => {
                Err(unknown_outcome("send the search again through the load balancer"))
            }
        };
        let elapsed = started.elapsed();
        let outcome = result.as_ref().map_or_else(Outcome::name, |_| "done");
        span.set_attribute("outcome", outcome);
        self.metrics
            .observe_request("search", rank, outcome, elapsed);
        let answer = result.map_err(Refusal::from_outcome)?;
        self.metrics.observe_coverage(answer.coverage);
        let found = api::SearchReply {
            outcome: outcome.into(),
            answer,
            total_us: u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX),
        };
        Ok(with_outcome(http::json(StatusCode::OK, &found), outcome))
    }

    async fn order(&self, name: &str, request: Request<Incoming>) -> Result<Response<FullBody>> {
        let started = Instant::now();
        let mut span = self.start_span("order", request.headers());
        let authorize = AuthorizeOrder {
            collection: name.into(),
        };
        let chain = Admit
            .then(Authenticate)
            .then(ParseBody(PhantomData))
            .then(authorize);
        let mut order = chain.apply(self.received(request)).await?;
        order.trace = Some(span.context());
        let rank = order.rank;
        // A separate task completes the order even if the caller disconnects.
        let orders = self.orders.clone();
        let task = tokio::spawn(async move { orders.submit(order).await });
        let outcome = tokio::select! {
            outcome = task => outcome.unwrap_or_else(|error| {
                log::error!("order task failed: {error}; report this as a defect");
                unknown_outcome("ask for the outcome by its key; see this host's log")
            }),
            () = self.stop.forced.cancelled() => unknown_outcome("ask for the outcome by its key"),
        };
        span.set_attribute("outcome", outcome.name());
        let elapsed = started.elapsed();
        self.metrics
            .observe_request("order", rank, outcome.name(), elapsed);
        order_response(outcome)
    }

    async fn recall(&self, key: &str, request: Request<Incoming>) -> Result<Response<FullBody>> {
        let chain = Admit.then(Authenticate);
        let authenticated = chain.apply(self.received(request)).await?;
        match self.orders.outcome(&authenticated.caller.name, key).await {
            Some(outcome) => Ok(with_outcome(
                http::json(StatusCode::OK, &outcome),
                outcome.name(),
            )),
            None => Err(not_found(
                format_smolstr!("no order with the key {key} is known"),
                "send the order with this key; it runs at most once",
            )),
        }
    }

    async fn ticket(&self, request: Request<Incoming>) -> Result<Response<FullBody>> {
        let chain = Admit.then(Authenticate);
        let authenticated = chain.apply(self.received(request)).await?;
        let ticket = self.orders.issue_ticket(&authenticated.caller.name);
        let body = http::json(StatusCode::CREATED, &api::Ticket { ticket });
        Ok(with_outcome(body, "done"))
    }
}

/// Returns the outcome of a request whose result is not known.
fn unknown_outcome(remedy: &'static str) -> Outcome {
    Outcome::Unknown {
        remedy: remedy.into(),
    }
}

/// Converts the outcome of an order into a response.
fn order_response(outcome: Outcome) -> Result<Response<FullBody>> {
    match outcome {
        Outcome::Done { .. } | Outcome::AlreadyDone { .. } => Ok(with_outcome(
            http::json(StatusCode::OK, &outcome),
            outcome.name(),
        )),
        Outcome::NotRun { .. } | Outcome::Unknown { .. } => Err(Refusal::from_outcome(outcome)),
    }
}

fn with_outcome(mut response: Response<FullBody>, outcome: &'static str) -> Response<FullBody> {
    problem::set_outcome_header(&mut response, outcome);
    response
}
