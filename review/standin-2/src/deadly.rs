//! A request that crashes each leaf that begins to run it comes again, at one host after the other.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    clock::elapsed,
    fleet::Fleet,
    http::Message,
    leaf::{Act, Handler},
    record::Record,
};

/// Time after which a crashed leaf is back.
const CRASH_TIME: Duration = Duration::from_secs(2);

/// Time that a leaf works on another request, and interval between these.
const WORK: Duration = Duration::from_millis(150);
const OTHER_INTERVAL: Duration = Duration::from_millis(40);

/// `stability_window_ms` of the settings.
const STABILITY_WINDOW: Duration = Duration::from_secs(5);

/// Retries that may reach leafs later than that after the third crash.
const MAX_RETRIES: usize = 3;

/// When and how often the request comes.
pub struct Plan {
    /// The method and path of the route.
    pub method: &'static str,
    pub path: &'static str,
    /// The times of the request, from the start of the case.
    pub times: Vec<Duration>,
    /// Whether a leaf crashes when it has sent half of its answer, or else before that.
    pub midway: bool,
}

/// The answer of a leaf.
const BODY: [u8; 6_000] = [b'x'; 6_000];

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-order","host":"shop.example","path_prefix":"/order/","type":"non_idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":2,"service":"club-billing","max_attempts":2},
{"name":"r-fetch","host":"shop.example","path_prefix":"/fetch/","type":"idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":2,"service":"club-billing","max_attempts":2}],
"services":[{"name":"club-billing","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Runs the case; returns whether the rule held.
pub fn run(root: &Path, record: &Record, trouble: bool, plan: &Plan) -> Result<bool, String> {
    let mut fleet = Fleet::new(root, 3).map_err(|error| error.to_string())?;
    let runs: Arc<Mutex<Vec<(Duration, String)>>> = Arc::default();
    let handler: Handler = {
        let (runs, record, midway) = (runs.clone(), record.clone(), plan.midway);
        Arc::new(move |leaf, request: &Message| {
            let (id, target) = (request.header("request-id"), request.target());
            if !target.contains("deadly") {
                thread::sleep(WORK);
                return Act::Answer(leaf.result(request, 200, &BODY));
            }
            record.line(&format!("leaf {} runs {id} {target}", leaf.name));
            runs.lock().unwrap().push((elapsed(), id.to_owned()));
            match trouble {
                true => {
                    record.line(&format!("leaf {} crashes", leaf.name));
                    match midway {
                        true => Act::CrashMidway(leaf.result(request, 200, &BODY), CRASH_TIME),
                        false => Act::Crash(CRASH_TIME),
                    }
                }
                false => Act::Answer(leaf.result(request, 200, &BODY)),
            }
        })
    };
    fleet
        .add_service("club-billing", 4, &handler)
        .map_err(|error| error.to_string())?;
    fleet.store.put("config", "main", CONFIG);
    fleet.start()?;
    record.line("all hosts are ready");

    let ended = AtomicBool::new(false);
    let start = elapsed() + STABILITY_WINDOW + Duration::from_secs(1);
    let mut sent = Vec::new();
    // The answers to other orders, by status.
    let others: Mutex<BTreeMap<u16, usize>> = Mutex::default();
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut number = 0;
            while !ended.load(Ordering::SeqCst) {
                let id = format!("o{number}");
                let (fleet, record, others) = (&fleet, record, &others);
                let host = &fleet.hosts[number % fleet.hosts.len()];
                scope.spawn(move || {
                    let answer = host.call("POST", &format!("/order/{id}"), &id, 3000);
                    let status = answer.map_or(0, |answer| answer.status());
                    if status != 200 {
                        record.line(&format!("caller gets {status} for {id}, another order"));
                    }
                    *others.lock().unwrap().entry(status).or_insert(0) += 1;
                });
                number += 1;
                thread::sleep(OTHER_INTERVAL);
            }
        });
        for (number, at) in plan.times.iter().enumerate() {
            thread::sleep((start + *at).saturating_sub(elapsed()));
            let host = &fleet.hosts[number % fleet.hosts.len()];
            let (id, path) = (format!("d{number}"), plan.path);
            record.line(&format!("caller sends {id} {path} to {}", host.name));
            sent.push((id.clone(), elapsed()));
            let answer = host.call(plan.method, path, &id, 3000);
            let status = answer.as_ref().map_or(0, Message::status);
            let retry_after = answer
                .as_ref()
                .map_or("", |a| a.header("retry-after"))
                .to_owned();
            record.line(&format!(
                "caller gets {status} for {id}, retry-after {retry_after:?}"
            ));
        }
        ended.store(true, Ordering::SeqCst);
    });

    let others = others.into_inner().unwrap();
    record.line(&format!(
        "other orders, by the status of the answer: {others:?}"
    ));
    let runs = runs.lock().unwrap().clone();
    let crashes: Vec<Duration> = runs.iter().map(|(at, _)| *at).collect();
    let Some(third) = crashes.get(2).filter(|_| trouble) else {
        record.line(&format!(
            "{} crashes; the rule held",
            if trouble { crashes.len() } else { 0 }
        ));
        return Ok(true);
    };
    let late = sent
        .iter()
        .filter(|(_, at)| *at > *third + STABILITY_WINDOW);
    let reached = late.filter(|(id, _)| runs.iter().any(|(_, known)| known == id));
    let reached: Vec<&str> = reached.map(|(id, _)| id.as_str()).collect();
    record.line(&format!(
        "{} crashes, the third at {:.3}; retries sent over {} s later that reached leafs: {} {reached:?}; \
         {MAX_RETRIES} may",
        crashes.len(),
        third.as_secs_f64(),
        STABILITY_WINDOW.as_secs(),
        reached.len(),
    ));
    Ok(reached.len() <= MAX_RETRIES)
}
