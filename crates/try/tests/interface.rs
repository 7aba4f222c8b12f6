//! The callers' interface over HTTP, against a whole installation in this process.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use bytes::Bytes;
use hyper::Method;
use rattanmast_fakes::data;
use rattanmast_host::config::Traces;
use rattanmast_model::preset::Preset;
use rattanmast_state::{accept, intent, plan};
use rattanmast_try::{
    call::{Answer, Caller},
    installation::Installation,
    intent::render,
};
use rattanmast_wire::store;
use serde_json::Value;

const SEARCH: &str = "/v1/searches/blade-profile-registry";
const ORDER: &str = "/v1/orders/club-billing";

async fn installation() -> Installation {
    let started = Installation::start(Preset::norway(), 7, &Traces::Off).await;
    let mut installation = started.unwrap();
    let text = render(&installation.data.config());
    let intent = intent::parse("intent.toml", &text).unwrap();
    let platform = store::Client::new(installation.platform);
    let current = accept::current(&platform).await.unwrap();
    let plan = plan::make(&current.record.config, &intent);
    accept::confirm(&platform, &plan, "test", 1).await.unwrap();
    installation.ready().await;
    installation
}

async fn post(installation: &Installation, key: &str, path: &str, body: &str) -> Answer {
    let host = installation.data.hosts[0].http;
    let body = Bytes::from(body.to_owned());
    let caller = Caller::new(key);
    let idempotency_key = path.starts_with("/v1/orders").then_some("no-uuid");
    let answer = caller.call(host, Method::POST, path, idempotency_key, body);
    answer.await.unwrap()
}

/// Returns status, outcome header, and the fields that every problem document has.
fn summary(answer: &Answer) -> String {
    let problem: Value = serde_json::from_slice(&answer.body).unwrap();
    let text = |field: &str| problem[field].as_str().unwrap_or("-").to_owned();
    assert_eq!(problem["status"], answer.status.as_u16(), "{problem}");
    assert!(!text("remedy").is_empty(), "{problem}");
    format!(
        "{} {} {}: {}",
        answer.status.as_u16(),
        answer.outcome,
        text("reason"),
        text("detail")
    )
}

/// Guards against bad input that is answered without a true outcome, or that ends a host.
#[tokio::test]
async fn bad_input_is_refused_as_not_run() {
    let installation = installation().await;
    let good = r#"{"text":"profile-01"}"#;
    let large = format!(r#"{{"text":"{}"}}"#, "x".repeat(70_000));
    let order = r#"{"action":"bill","record":"club-7"}"#;
    let desk = data::key("desk");
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
        seen.push(summary(&post(&installation, key, path, body).await));
    }
    insta::assert_snapshot!(seen.join("\n"));
    let runs = installation
        .fleet
        .leafs()
        .iter()
        .map(|leaf| leaf.runs().len())
        .sum::<usize>();
    assert_eq!(runs, 0);
    let answer = post(&installation, &desk, SEARCH, good).await;
    assert_eq!(
        (answer.status.as_u16(), answer.outcome.as_str()),
        (200, "done")
    );
    installation.stop().await;
}

/// Guards against a trace that ends at a hop: leafs must see the caller's trace identifier.
#[tokio::test]
async fn the_trace_reaches_the_leafs() {
    let installation = installation().await;
    let host = installation.data.hosts[0].http;
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let parent = format!("00-{trace}-00f067aa0ba902b7-01");
    let caller = Caller::new(data::key("bench")).traced(&parent);
    let body = Bytes::from_static(br#"{"text":"profile-01","rank":"urgent"}"#);
    let call = caller.call(host, Method::POST, SEARCH, None, body);
    assert_eq!(call.await.unwrap().status.as_u16(), 200);
    let leafs = installation.fleet.leafs();
    let seen = leafs.iter().filter_map(|leaf| leaf.trace());
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
