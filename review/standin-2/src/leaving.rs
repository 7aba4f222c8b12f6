//! A leaf that has just started again leaves while the store is away.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    clock::elapsed,
    fleet::{Fleet, SLOTS},
    http::Message,
    leaf::{Act, Handler, Leaf},
    record::Record,
};

/// Time that a leaf works on a request.
const WORK: Duration = Duration::from_millis(20);

/// Interval between two requests, and number of callers.
const INTERVAL: Duration = Duration::from_millis(20);
const CALLERS: usize = 8;

/// The events, as times after the start. The leaf is `LEAVER`.
const CRASH_AT: Duration = Duration::ZERO;
const CRASH_TIME: Duration = Duration::from_millis(1_500);
const OTHER_LEAF_AT: Duration = Duration::from_millis(1_450);
const REGISTER_AT: Duration = Duration::from_millis(1_550);
const OUTAGE_AT: Duration = Duration::from_millis(1_900);
const LEAVE_AT: Duration = Duration::from_millis(2_200);
const OUTAGE_TIME: Duration = Duration::from_millis(4_500);
const END_AT: Duration = Duration::from_millis(9_500);

/// `heartbeat_interval_ms` and `drain_timeout_ms` of the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

const SERVICE: &str = "club-billing";
const LEAVER: &str = "i-club-billing-0";

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-fetch","host":"shop.example","path_prefix":"/fetch/","type":"idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":2,"service":"club-billing","max_attempts":2}],
"services":[{"name":"club-billing","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// What is known of the requests.
#[derive(Default)]
struct Seen {
    /// When each request was sent, and to which host.
    sent: BTreeMap<String, (Duration, usize)>,
    /// The requests that reached the leaf while it was leaving.
    reached: Vec<String>,
    /// When each host first passed on an answer in which the leaf said that it is leaving.
    passed_on: BTreeMap<usize, Duration>,
}

/// Runs the case; returns whether the rule held.
pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(root, 3).map_err(|error| error.to_string())?;
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let is_leaving = Arc::new(AtomicBool::new(false));
    let handler: Handler = {
        let (seen, is_leaving) = (seen.clone(), is_leaving.clone());
        Arc::new(move |leaf, request: &Message| {
            let leaves = leaf.name == LEAVER && is_leaving.load(Ordering::SeqCst);
            if leaves {
                let id = request.header("request-id").to_owned();
                seen.lock().unwrap().reached.push(id);
            }
            thread::sleep(WORK);
            let mut answer = leaf.result(request, 200, b"whole");
            if leaves {
                answer
                    .headers
                    .push(("server-leaving".to_owned(), "1".to_owned()));
            }
            Act::Answer(answer)
        })
    };
    fleet
        .add_service(SERVICE, 4, &handler)
        .map_err(|error| error.to_string())?;
    fleet.store.put("config", "main", CONFIG);
    fleet.start()?;
    let leaver = fleet.leafs.iter().find(|leaf| leaf.name == LEAVER).cloned();
    let leaver = leaver.ok_or("the leaf is missing")?;
    let other = Leaf::start("i-club-billing-4", SERVICE, "oslo-a", handler);
    let other = other.map_err(|error| error.to_string())?;

    let (ended, number) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while !ended.load(Ordering::SeqCst) {
                    call(&fleet, record, &seen, number.fetch_add(1, Ordering::SeqCst));
                    thread::sleep(INTERVAL);
                }
            });
        }
        thread::sleep(Duration::from_secs(6));
        record.line("all hosts are ready, and in touch");
        let start = elapsed();
        let wait = |at: Duration| thread::sleep((start + at).saturating_sub(elapsed()));
        wait(CRASH_AT);
        record.line(&format!("leaf {LEAVER} crashes"));
        scope.spawn(|| leaver.crash(CRASH_TIME));
        wait(OTHER_LEAF_AT);
        record.line(&format!("leaf {} is added", other.name));
        fleet
            .store
            .put("servers", &other.name, &other.entry("ready", SLOTS, 1));
        wait(REGISTER_AT);
        record.line(&format!("leaf {LEAVER} is back, and its entry says so"));
        fleet
            .store
            .put("servers", LEAVER, &leaver.entry("ready", SLOTS, 1));
        wait(OUTAGE_AT);
        if trouble {
            record.line("the store is down");
            fleet.store.set_down(true);
        }
        wait(LEAVE_AT);
        record.line(&format!("leaf {LEAVER} leaves, and says so in its answers"));
        is_leaving.store(true, Ordering::SeqCst);
        let back = OUTAGE_AT + OUTAGE_TIME;
        let mut beat = REGISTER_AT;
        let mut is_down = trouble;
        let mut is_reported = false;
        while beat < END_AT {
            beat += HEARTBEAT_INTERVAL;
            if is_down && beat > back {
                wait(back);
                record.line("the store is back");
                fleet.store.set_down(false);
                is_down = false;
            }
            wait(beat.min(END_AT));
            if !is_down && !is_reported && beat < END_AT {
                record.line(&format!("leaf {LEAVER} reports that it is draining"));
                fleet
                    .store
                    .put("servers", LEAVER, &leaver.entry("draining", SLOTS, 2));
                is_reported = true;
            }
        }
        ended.store(true, Ordering::SeqCst);
    });

    let seen = seen.lock().unwrap();
    let mut late = Vec::new();
    for id in &seen.reached {
        let Some((sent, host)) = seen.sent.get(id) else {
            continue;
        };
        let passed_on = seen
            .passed_on
            .get(host)
            .filter(|at| **at + DRAIN_TIMEOUT < *sent);
        if let Some(at) = passed_on {
            let name = &fleet.hosts[*host].name;
            late.push(format!(
                "{id} from {name} {:.3} s",
                (*sent - *at).as_secs_f64()
            ));
        }
    }
    record.line(&format!(
        "{} hosts passed on that {LEAVER} leaves; requests that were sent over {} s later and reached it: {} {late:?}",
        seen.passed_on.len(),
        DRAIN_TIMEOUT.as_secs(),
        late.len(),
    ));
    Ok(late.is_empty())
}

/// Sends a request to one host after the other.
fn call(fleet: &Fleet, record: &Record, seen: &Mutex<Seen>, number: usize) {
    let host = number % fleet.hosts.len();
    let id = format!("f{number}");
    seen.lock()
        .unwrap()
        .sent
        .insert(id.clone(), (elapsed(), host));
    let answer = fleet.hosts[host].call("GET", &format!("/fetch/{number}"), &id, 3000);
    let name = &fleet.hosts[host].name;
    match answer {
        Some(answer) if answer.header("server-leaving") == "1" => {
            record.line(&format!(
                "{name} answers {id} with {}, and that the leaf leaves",
                answer.status()
            ));
            seen.lock()
                .unwrap()
                .passed_on
                .entry(host)
                .or_insert_with(elapsed);
        }
        Some(answer) if answer.status() == 200 => {}
        answer => {
            let status = answer.map_or(0, |answer| answer.status());
            record.line(&format!("{name} answers {id} with {status}"));
        }
    }
}
