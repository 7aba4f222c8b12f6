//! Property tests of the request handlers with arbitrary input.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;

use bolero::{Driver as _, generator::bolero_generator::driver};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, header};
use rand::{SeedableRng as _, rngs::SmallRng};
use rattanmast_fakes::{
    clock::Wall,
    leafs,
    model::{Leaf, Settings},
    platform, proxy,
    store::Store,
};
use rattanmast_model::leaf::Limits;

const LIMITS: Limits = Limits {
    slots: 2,
    connections: 25,
    open_ms: 6,
};

/// The number of generated requests per handler.
const CASES: u64 = 5_000;

const METHODS: [&str; 4] = ["GET", "PUT", "POST", "DELETE"];

/// Known paths; arbitrary text is appended to each.
const PATHS: [&str; 12] = [
    "/",
    "/objects",
    "/objects?prefix=",
    "/objects/a?after=1&wait_ms=",
    "/objects/",
    "/faults",
    "/search",
    "/orders",
    "/cancel",
    "/leafs/*/",
    "/leafs/*/faults",
    "/routes/",
];

/// Generated values for all parts of a request that a client controls.
type Parts = (u8, u8, String, Option<Vec<u8>>, Option<Vec<u8>>, Vec<u8>);

/// Builds the request; `None` if hyper rejects it.
fn request(parts: Parts) -> Option<Request<Full<Bytes>>> {
    let (method, path, suffix, tag, trace, body) = parts;
    let path = PATHS[usize::from(path) % PATHS.len()];
    let mut builder = Request::builder()
        .method(METHODS[usize::from(method) % METHODS.len()])
        .uri(format!("{path}{suffix}"));
    if let Some(tag) = tag {
        builder = builder.header(header::IF_MATCH, tag);
    }
    if let Some(trace) = trace {
        builder = builder.header("traceparent", trace);
    }
    builder.body(Full::new(Bytes::from(body))).ok()
}

/// Prints the seed of the current case if it panics.
struct Seed(u64);

impl Drop for Seed {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("case with seed {} failed", self.0);
        }
    }
}

/// Runs `handle` on requests generated from fixed seeds.
///
/// Bolero's own engine would use new seeds in each run.
fn check(handle: impl AsyncFn(Request<Full<Bytes>>) -> Option<Response<Full<Bytes>>>) {
    let mut understood = 0;
    for seed in 0..CASES {
        let _seed = Seed(seed);
        let rng = SmallRng::seed_from_u64(seed);
        let options = driver::Options::default().with_max_len(256);
        let parts = driver::Rng::new(rng, &options).produce();
        let Some(request) = parts.and_then(request) else {
            continue;
        };
        understood += 1;
        let runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = { runtime }.enable_time().start_paused(true).build();
        runtime.unwrap().block_on(handle(request));
    }
    assert!(
        understood > CASES / 10,
        "only {understood} requests were valid HTTP"
    );
}

/// Guards against requests that make the platform's stand-in panic or hang.
#[test]
fn platform_answers_any_request() {
    check(async |request| {
        let store = Store::new(1);
        platform::handle(&store, request).await.ok()
    });
}

/// Guards against requests that make a leaf panic, hang or begin an order that it cannot read.
#[test]
fn leaf_answers_any_request() {
    check(async |request| {
        let leaf = Leaf::new("a".into(), LIMITS, Settings::default(), Wall::System, 1);
        let connection = leaf.connect().unwrap();
        let answer = leafs::handle(&leaf, &connection, request).await.ok();
        let ran = answer.as_ref().is_some_and(|a| a.status().is_success());
        assert!(ran || leaf.runs().is_empty());
        answer
    });
}

/// Guards against admin requests that make a stand-in panic or hang.
#[test]
fn admin_paths_answer_any_request() {
    check(async |request| {
        let leaf = Leaf::new("a".into(), LIMITS, Settings::default(), Wall::System, 1);
        let leafs = BTreeMap::from([(leaf.name(), leaf)]);
        Some(leafs::answer_admin(&leafs, request).await)
    });
    check(async |request| Some(proxy::answer_admin(&[], request).await));
}
