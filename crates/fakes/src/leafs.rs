//! HTTP/1.1 servers for several leafs in one process.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Body, header::HeaderMap};
use rattanmast_model::{
    catalog::Snapshot,
    leaf::{Error, Load, Name, Order, Result, Search},
    range::Set,
    request, trace,
};
use rattanmast_wire::{
    http::{self, FullBody},
    leaf::{Cancel, Refusal},
};
use serde::Serialize;
use smol_str::SmolStr;
use tokio::{net::TcpListener, time::sleep};

use crate::{
    clock::Wall,
    config,
    connection::Connection,
    data::Data,
    exit,
    fleet::Fleet,
    model::{Counters, Faults, Leaf, Settings},
    serve::{self, Closed, HandlerResult, MAX_ADMIN_BODY_BYTES, problem},
};

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The listening addresses that the process prints at startup.
#[derive(Debug, Serialize)]
struct Listening {
    admin: SocketAddr,
    leafs: BTreeMap<Name, SocketAddr>,
}

/// The state of a leaf in the response to `GET /leafs/<name>`.
#[derive(Debug, Serialize)]
struct View {
    up: bool,
    connections: u32,
    load: Load,
    counters: Counters,
    faults: Faults,
    runs: BTreeMap<SmolStr, u64>,
    trace: Option<String>,
}

/// Serves the leafs and the admin paths forever.
///
/// # Errors
///
/// Fails if an address is already in use.
pub async fn run(config: config::Leaf) -> serve::Result<()> {
    let data = Data::new(config.preset);
    let settings = Settings {
        median: config.median,
        ..Settings::default()
    };
    let fleet = Fleet::new(&data, settings, Wall::System, config.seed);
    let (admin, admin_addr) = serve::listen(config.admin).await?;
    let selected = data.leafs.leafs.iter().skip(config.first);
    let selected = selected.step_by(config.step);
    let mut leafs = BTreeMap::new();
    let mut addrs = BTreeMap::new();
    let mut listen = config.listen;
    for leaf in selected.take(config.leafs.unwrap_or(usize::MAX)) {
        let (listener, addr) = serve::listen(listen).await?;
        if listen.port() > 0 {
            listen.set_port(listen.port().wrapping_add(1));
        }
        let model = fleet.leaf(&leaf.name).clone();
        addrs.insert(leaf.name.clone(), addr);
        leafs.insert(leaf.name.clone(), model.clone());
        tokio::spawn(serve(listener, model));
    }
    log::info!("serving {} leafs", leafs.len());
    exit::announce(&Listening {
        admin: admin_addr,
        leafs: addrs,
    });
    let leafs = Arc::new(leafs);
    serve::serve_connections(admin, move |request| {
        let leafs = Arc::clone(&leafs);
        async move { Ok(answer_admin(&leafs, request).await) }
    })
    .await;
    Ok(())
}

/// Serves the connections of one leaf forever; immediately closes those that the leaf refuses.
///
/// The listener of a stopped leaf stays open, and every new connection is closed.
pub async fn serve(listener: TcpListener, leaf: Leaf) {
    let open_delay = Duration::from_millis(leaf.limits().open_ms.into());
    loop {
        let stream = serve::accept(&listener).await;
        match leaf.connect() {
            Err(error) => log::debug!("leaf {}: {error}", leaf.name()),
            Ok(connection) => {
                let leaf = leaf.clone();
                tokio::spawn(async move {
                    sleep(open_delay).await;
                    let served = serve::connection(stream, |r| handle(&leaf, &connection, r));
                    tokio::select! {
                        () = connection.broken() => {}
                        () = served => {}
                    }
                });
            }
        }
    }
}

/// Answers one request on `connection`.
///
/// # Errors
///
/// Returns [`Closed`] if the connection must be closed without a response.
pub async fn handle<B>(leaf: &Leaf, connection: &Connection, request: Request<B>) -> HandlerResult
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (head, body) = request.into_parts();
    record_trace(leaf, &head.headers);
    let body = match http::read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return Ok(bad_request(&error)),
    };
    match (head.method, head.uri.path()) {
        (Method::POST, "/search") => match http::parse::<Search>(&body) {
            Ok(search) => result_response(search.id, connection.search(&search).await),
            Err(error) => Ok(bad_request(&error)),
        },
        (Method::POST, "/orders") => match http::parse::<Order>(&body) {
            Ok(order) => result_response(order.id, connection.order(&order).await),
            Err(error) => Ok(bad_request(&error)),
        },
        (Method::POST, "/cancel") => match http::parse::<Cancel>(&body) {
            Ok(cancel) => result_response(cancel.id, connection.cancel(cancel.id).await),
            Err(error) => Ok(bad_request(&error)),
        },
        (Method::GET, "/health") => Ok(http::json(StatusCode::OK, &leaf.load())),
        _ => {
            let why = "no such path; see section 7 of docs/design.md".into();
            Ok(http::json(StatusCode::NOT_FOUND, &Error::Failed { why }))
        }
    }
}

fn record_trace(leaf: &Leaf, headers: &HeaderMap) {
    let Some(value) = headers.get("traceparent") else {
        return;
    };
    match value.to_str().unwrap_or_default().parse::<trace::Context>() {
        Ok(context) => leaf.record_trace(context),
        Err(error) => log::debug!("leaf {}: {error}", leaf.name()),
    }
}

fn bad_request(error: &http::Error) -> Response<FullBody> {
    let why = SmolStr::new(error.to_string());
    http::json(StatusCode::BAD_REQUEST, &Error::Failed { why })
}

fn result_response<T: Serialize>(id: request::Id, result: Result<T>) -> HandlerResult {
    let error = match result {
        Ok(found) => return Ok(http::json(StatusCode::OK, &found)),
        Err(error) => error,
    };
    let status = match error {
        Error::Shed { .. } | Error::Leaving { .. } | Error::Expired { .. } => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Error::Gone { .. } => StatusCode::GONE,
        Error::Failed { .. } => StatusCode::INTERNAL_SERVER_ERROR,
        Error::Connect { .. } | Error::Full | Error::Broken { .. } | Error::Lost { .. } => {
            return Err(Closed);
        }
    };
    Ok(http::json(status, &Refusal { id, error }))
}

/// Answers one request to the admin paths.
///
/// - `GET /runs` returns the number of order executions per key, summed over all
///   leafs of the process.
/// - `GET /leafs/<name>` returns the state of a leaf.
/// - `POST /leafs/<name>/faults` and `PUT /leafs/<name>/holdings` replace the faults
///   or holdings of a leaf.
/// - `POST /leafs/<name>/drain|undrain|silence|stop|restart` performs that action.
///
/// The name `*` selects all leafs.
pub async fn answer_admin<B>(
    leafs: &BTreeMap<Name, Leaf>,
    request: Request<B>,
) -> Response<FullBody>
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    if head.method == Method::GET && path == "/runs" {
        return http::json(StatusCode::OK, &sum_runs(leafs.values()));
    }
    let rest = path.strip_prefix("/leafs/").unwrap_or_default();
    let (name, action) = rest.split_once('/').unwrap_or((rest, ""));
    let selected: Vec<&Leaf> = leafs
        .iter()
        .filter(|(n, _)| name == "*" || *n == name)
        .map(|(_, leaf)| leaf)
        .collect();
    if selected.is_empty() {
        let error = "no such leaf in this process; GET /leafs/* lists them";
        return problem(StatusCode::NOT_FOUND, error);
    }
    let result = match http::read_body(body, MAX_ADMIN_BODY_BYTES).await {
        Ok(body) if head.method != Method::GET => apply_action(&selected, action, &body),
        Ok(_) => Ok(()),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(()) => {
            let views = selected.iter().map(|leaf| (leaf.name(), view(leaf)));
            http::json(StatusCode::OK, &views.collect::<BTreeMap<_, _>>())
        }
        Err(error) => problem(StatusCode::BAD_REQUEST, &error),
    }
}

fn apply_action(leafs: &[&Leaf], action: &str, body: &Bytes) -> std::result::Result<(), String> {
    let for_each_leaf = |apply: &dyn Fn(&Leaf)| leafs.iter().for_each(|leaf| apply(leaf));
    match action {
        "drain" => for_each_leaf(&|leaf| leaf.set_draining(true)),
        "undrain" => for_each_leaf(&|leaf| leaf.set_draining(false)),
        "silence" => for_each_leaf(&Leaf::silence_connections),
        "stop" => for_each_leaf(&Leaf::stop),
        "restart" => for_each_leaf(&Leaf::restart),
        "faults" => {
            let faults: Faults = http::parse(body).map_err(|e| e.to_string())?;
            for_each_leaf(&|leaf| leaf.set_faults(faults));
        }
        "holdings" => {
            let held: Vec<(Snapshot, Set)> = http::parse(body).map_err(|e| e.to_string())?;
            for_each_leaf(&|leaf| leaf.set_holdings(held.clone()));
        }
        _ => {
            let known = "faults, holdings, drain, undrain, silence, stop or restart";
            return Err(format!("no such action; use one of {known}"));
        }
    }
    log::info!("applied {action} to {} leafs", leafs.len());
    Ok(())
}

fn view(leaf: &Leaf) -> View {
    View {
        up: leaf.is_up(),
        connections: leaf.connections(),
        load: leaf.load(),
        counters: leaf.counters(),
        faults: leaf.faults(),
        runs: leaf.runs(),
        trace: leaf.last_trace().map(|t| t.to_string()),
    }
}

fn sum_runs<'a>(leafs: impl Iterator<Item = &'a Leaf>) -> BTreeMap<SmolStr, u64> {
    let mut sum = BTreeMap::new();
    for (key, count) in leafs.flat_map(Leaf::runs) {
        *sum.entry(key).or_default() += count;
    }
    sum
}
