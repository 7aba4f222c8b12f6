//! Tests of the callers' HTTP interface against a complete installation in this process.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rattanmast_fakes::data;
use rattanmast_host::{
    Host, Listeners,
    config::{Config, Traces},
};
use rattanmast_model::preset::Preset;
use rattanmast_try::{
    client::{Caller, Response},
    installation::Installation,
};
use serde_json::Value;
use tokio::time::sleep;

const SEARCH: &str = "/v1/searches/blade-profile-registry";
const ORDER: &str = "/v1/orders/club-billing";

async fn start_installation() -> Installation {
    let started = Installation::start(Preset::norway(), 7, &Traces::Off).await;
    let mut installation = started.unwrap();
    let plan = installation.plan().await.unwrap();
    installation.confirm(&plan, "test").await.unwrap();
    installation.wait_until_ready().await;
    installation
}

async fn post(installation: &Installation, key: &str, path: &str, body: &str) -> Response {
    let host = installation.data.hosts[0].http;
    let body = Bytes::from(body.to_owned());
    let caller = Caller::new(key);
    let idempotency_key = path.starts_with("/v1/orders").then_some("no-uuid");
    let answer = caller.call(host, Method::POST, path, idempotency_key, body);
    answer.await.unwrap()
}

/// Returns the status, the outcome header, and the fields that every problem document has.
fn problem_summary(response: &Response) -> String {
    let problem: Value = serde_json::from_slice(&response.body).unwrap();
    let text = |field: &str| problem[field].as_str().unwrap_or("-").to_owned();
    assert_eq!(problem["status"], response.status.as_u16(), "{problem}");
    assert!(!text("remedy").is_empty(), "{problem}");
    format!(
        "{} {} {}: {}",
        response.status.as_u16(),
        response.outcome,
        text("reason"),
        text("detail")
    )
}

/// Guards against invalid input that gets a wrong outcome, runs on a leaf, or crashes a host.
#[tokio::test]
async fn bad_input_is_refused_as_not_run() {
    let installation = start_installation().await;
    let good = r#"{"text":"profile-01"}"#;
    let large = format!(r#"{{"text":"{}"}}"#, "x".repeat(70_000));
    let order = r#"{"action":"bill","record":"club-7"}"#;
    let desk = data::caller_key("desk");
    let cases = [
        ("nobody", SEARCH, good),
        (desk.as_str(), "/v1/searches/none", good),
        (&desk, SEARCH, "{"),
        (&desk, SEARCH, r#"{"text":1}"#),
        (&desk, SEARCH, r#"{"text":"a","rank":"highest"}"#),
        (&desk, SEARCH, &large),
        (&desk, SEARCH, r#"{"text":"profile-01","rank":"urgent"}"#),
        (&desk, ORDER, order),
        (&desk, "/v1/orders/none", order),
        (&desk, "/v1/none", good),
        (&desk, "/", good),
    ];
    let mut seen = Vec::new();
    for (key, path, body) in cases {
        seen.push(problem_summary(&post(&installation, key, path, body).await));
    }
    insta::assert_snapshot!(seen.join("\n"));
    let runs = installation
        .fleet
        .leafs()
        .iter()
        .map(|leaf| leaf.runs().len())
        .sum::<usize>();
    assert_eq!(runs, 0);
    let response = post(&installation, &desk, SEARCH, good).await;
    assert_eq!(
        (response.status.as_u16(), response.outcome.as_str()),
        (200, "done")
    );
    installation.stop().await;
}

/// Guards against a host that becomes ready under a configuration that does not list it, for
/// instance that of another installation whose hosts it was given as seeds.
#[tokio::test]
async fn an_unlisted_host_does_not_serve() {
    let installation = start_installation().await;
    let mut config = Config {
        host: installation.data.hosts[0].clone(),
        platform: installation.platform,
        seeds: vec![installation.data.hosts[1].exchange],
        lame_duck: Duration::from_millis(1),
        max_stop: Duration::from_secs(5),
        traces: Traces::Off,
        seed: 3,
    };
    config.host.name = "stranger".into();
    let free = data::loopback(0);
    (config.host.http, config.host.hop, config.host.exchange) = (free, free, free);
    let listeners = Listeners::bind(&config.host).await.unwrap();
    let [http, ..] = listeners.addresses().unwrap();
    let host = Host::start(config, listeners).unwrap();
    let caller = Caller::new(data::caller_key("bench"));
    let get = async |path: &str| {
        let call = caller.call(http, Method::GET, path, None, Bytes::new());
        call.await.unwrap()
    };
    // The host receives the configuration and proves it, but must not become ready.
    loop {
        let status: Value = serde_json::from_slice(&get("/v1/status").await.body).unwrap();
        if status["version"] == 1 && status["serving"] == true {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    for _ in 0..50 {
        assert_eq!(get("/readyz").await.status.as_u16(), 503);
        sleep(Duration::from_millis(20)).await;
    }
    host.stop().await;
    installation.stop().await;
}

/// Guards against a trace context that is lost at a hop: leafs must get the trace identifier of
/// the caller, under a new parent span.
#[tokio::test]
async fn the_trace_reaches_the_leafs() {
    let installation = start_installation().await;
    let host = installation.data.hosts[0].http;
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let parent = format!("00-{trace}-00f067aa0ba902b7-01");
    let caller = Caller::new(data::caller_key("bench")).with_traceparent(&parent);
    let body = Bytes::from_static(br#"{"text":"profile-01","rank":"urgent"}"#);
    let call = caller.call(host, Method::POST, SEARCH, None, body);
    assert_eq!(call.await.unwrap().status.as_u16(), 200);
    let leafs = installation.fleet.leafs();
    let seen = leafs.iter().filter_map(|leaf| leaf.last_trace());
    let seen: Vec<String> = seen.map(|t| t.to_string()).collect();
    assert!(seen.len() >= 20, "{} leafs saw a trace", seen.len());
    for text in seen {
        assert!(
            text.contains(trace) && !text.contains("00f067aa0ba902b7"),
            "{text}"
        );
    }
    installation.stop().await;
}
